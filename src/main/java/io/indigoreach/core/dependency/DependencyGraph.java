package io.indigoreach.core.dependency;

import io.indigoreach.core.model.JobId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Which waiting jobs depend on which others. A dependency is settled only by a durable end: {@link #done} and {@link #cancelled} are
 * called for ends that the state service has acknowledged or was read to hold, never for what a leader believes. Both ends are
 * final and a job has only one of them, so that every leader comes to the same result.
 *
 * <p>Every edge is visited once when it is added and once when it is settled: the cost of an event grows with the edges
 * it settles, not with what is open.
 */
public final class DependencyGraph {
    /** Of each waiting job, the required jobs that are not known to be done. */
    private final Map<JobId, Set<JobId>> unmet = new HashMap<>();
    /** The same edges from the other end. */
    private final Map<JobId, Set<JobId>> dependents = new HashMap<>();
    /** Required jobs that are not open here: their ends are to be read. */
    private final Set<JobId> jobsToLookUp = new LinkedHashSet<>();
    /** Waiting jobs below a cancelled one whose own ends are to be written. */
    private final Set<JobId> jobsToCancel = new LinkedHashSet<>();

    private final List<JobId> released = new ArrayList<>();

    /** Adds a waiting job; {@code isOpen}: whether a required job is open here, so that its end will be observed. */
    public void add(JobId job, Collection<JobId> requiredJobs, Predicate<JobId> isOpen) {
        unmet.put(job, new LinkedHashSet<>(requiredJobs));
        boolean dependsOnCancelled = false;
        for (JobId required : requiredJobs) {
            dependents.computeIfAbsent(required, id -> new LinkedHashSet<>()).add(job);
            dependsOnCancelled |= jobsToCancel.contains(required);
            if (!isOpen.test(required)) {
                jobsToLookUp.add(required);
            }
        }
        if (dependsOnCancelled) {
            markForCancellation(List.of(job));
        }
    }

    /** The job is open here from now on: no look-up is needed as long as it is. */
    public void onOpened(JobId job) {
        jobsToLookUp.remove(job);
    }

    /** The job is open here no longer, and how it ended has not been read. */
    public void onEnded(JobId job) {
        removeWaiting(job);
        if (dependents.getOrDefault(job, Set.of()).stream().anyMatch(dependent -> !jobsToCancel.contains(dependent))) {
            jobsToLookUp.add(job);
        }
    }

    /** The end of this job as done is durable. */
    public void onDone(JobId job) {
        removeWaiting(job);
        for (JobId dependent : removeDependents(job)) {
            Set<JobId> unmetJobs = unmet.get(dependent);
            unmetJobs.remove(job);
            if (unmetJobs.isEmpty()) {
                unmet.remove(dependent);
                released.add(dependent);
            }
        }
    }

    /** The end of this job as cancelled is durable: nothing that needs it, directly or through others, can ever start. */
    public void onCancelled(JobId job) {
        removeWaiting(job);
        markForCancellation(removeDependents(job));
    }

    /** A job that waits no longer, whatever else is known of its dependencies. */
    public void removeWaiting(JobId job) {
        jobsToCancel.remove(job);
        Set<JobId> unmetJobs = unmet.remove(job);
        if (unmetJobs != null) {
            unmetJobs.forEach(required -> removeEdge(required, job));
        }
    }

    private void removeEdge(JobId required, JobId job) {
        Set<JobId> waiting = dependents.get(required);
        if (waiting != null && waiting.remove(job) && waiting.isEmpty()) {
            dependents.remove(required);
            jobsToLookUp.remove(required);
        }
    }

    private Collection<JobId> removeDependents(JobId required) {
        jobsToLookUp.remove(required);
        Set<JobId> waiting = dependents.remove(required);
        return waiting == null ? List.of() : waiting;
    }

    /** In the order of distance, so that no job is cancelled long before those between it and the cancelled one. */
    private void markForCancellation(Collection<JobId> roots) {
        Deque<JobId> queue = new ArrayDeque<>(roots);
        while (!queue.isEmpty()) {
            JobId job = queue.poll();
            if (unmet.containsKey(job) && jobsToCancel.add(job)) {
                queue.addAll(dependents.getOrDefault(job, Set.of()));
            }
        }
    }

    /** Jobs whose last dependency was done since the previous call. */
    public List<JobId> takeReleased() {
        List<JobId> taken = List.copyOf(released);
        released.clear();
        return taken;
    }

    public Set<JobId> jobsToLookUp() {
        return Collections.unmodifiableSet(jobsToLookUp);
    }

    public Set<JobId> jobsToCancel() {
        return Collections.unmodifiableSet(jobsToCancel);
    }

    /** Required jobs of a waiting job that are not known to be done. */
    public Set<JobId> unmetDependencies(JobId job) {
        return Collections.unmodifiableSet(unmet.getOrDefault(job, Set.of()));
    }

    public boolean isEmpty() {
        return unmet.isEmpty();
    }

    /** Forgets everything: what is open is read anew. */
    public void clear() {
        unmet.clear();
        dependents.clear();
        jobsToLookUp.clear();
        jobsToCancel.clear();
        released.clear();
    }

    /**
     * Every edge that is still relevant, from a job to one that it requires, in topological order from the last jobs: a job's own edges come after all
     * edges that lead to it.
     */
    public List<Edge> edgesInTopologicalOrder() {
        Map<JobId, Integer> unvisitedDependents = new HashMap<>();
        dependents.forEach((required, waiting) -> unvisitedDependents.put(required, waiting.size()));
        Deque<JobId> queue = new ArrayDeque<>();
        unmet.keySet().stream()
                .filter(job -> !unvisitedDependents.containsKey(job))
                .forEach(queue::add);
        List<Edge> edges = new ArrayList<>();
        while (!queue.isEmpty()) {
            JobId job = queue.poll();
            for (JobId required : unmet.getOrDefault(job, Set.of())) {
                if (!jobsToCancel.contains(job)) {
                    edges.add(new Edge(job, required));
                }
                if (unvisitedDependents.merge(required, -1, Integer::sum) == 0) {
                    queue.add(required);
                }
            }
        }
        return edges;
    }

    /** {@code job} depends on {@code requiredJob}. */
    public record Edge(JobId job, JobId requiredJob) {}
}
