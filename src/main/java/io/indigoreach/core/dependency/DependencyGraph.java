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
 * The dependencies of waiting jobs on other jobs. Only a durable end of a required job resolves a dependency: {@link #onDone} and {@link
 * #onCancelled} are called for ends that the state service has acknowledged or that were read from it, never for ends that a leader only expects.
 * An end is final and a job has only one, so all leaders come to the same result.
 *
 * <p>Each edge is visited once when it is added and once when it is resolved: the cost of an event is linear in the edges that it resolves and
 * independent of the number of open jobs.
 */
public final class DependencyGraph {
    /** For each waiting job, the required jobs that are not known to be done. */
    private final Map<JobId, Set<JobId>> unmet = new HashMap<>();
    /** The reverse edges: for each required job, the waiting jobs that depend on it. */
    private final Map<JobId, Set<JobId>> dependents = new HashMap<>();
    /** Required jobs that are not open on this leader, so their ends must be read from the state service. */
    private final Set<JobId> jobsToLookUp = new LinkedHashSet<>();
    /** Waiting jobs that depend on a cancelled job, directly or transitively, and must be cancelled too. */
    private final Set<JobId> jobsToCancel = new LinkedHashSet<>();

    private final List<JobId> released = new ArrayList<>();

    /** Adds a waiting job; {@code isOpen}: whether a required job is open on this leader, which then observes its end. */
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

    /** Records that the job is open on this leader, so its end need not be looked up. */
    public void onOpened(JobId job) {
        jobsToLookUp.remove(job);
    }

    /** Records that the job is no longer open on this leader, and that its end has not been read. */
    public void onEnded(JobId job) {
        removeWaiting(job);
        if (dependents.getOrDefault(job, Set.of()).stream().anyMatch(dependent -> !jobsToCancel.contains(dependent))) {
            jobsToLookUp.add(job);
        }
    }

    /** Records that the job is done, durably. */
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

    /** Records that the job is cancelled, durably: jobs that depend on it, directly or transitively, can never start. */
    public void onCancelled(JobId job) {
        removeWaiting(job);
        markForCancellation(removeDependents(job));
    }

    /** Removes a job that no longer waits, for example a cancelled one; it may still have unmet dependencies. */
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

    /** Marks the jobs and all their dependents in breadth-first order, so that a job is not cancelled long before the jobs that it depends on. */
    private void markForCancellation(Collection<JobId> roots) {
        Deque<JobId> queue = new ArrayDeque<>(roots);
        while (!queue.isEmpty()) {
            JobId job = queue.poll();
            if (unmet.containsKey(job) && jobsToCancel.add(job)) {
                queue.addAll(dependents.getOrDefault(job, Set.of()));
            }
        }
    }

    /** Returns the jobs whose last dependency was met since the previous call. */
    public List<JobId> takeReleased() {
        List<JobId> taken = List.copyOf(released);
        released.clear();
        return taken;
    }

    /** Returns the required jobs whose ends must be read from the state service. */
    public Set<JobId> jobsToLookUp() {
        return Collections.unmodifiableSet(jobsToLookUp);
    }

    /** Returns the waiting jobs that must be cancelled because a job that they depend on is cancelled. */
    public Set<JobId> jobsToCancel() {
        return Collections.unmodifiableSet(jobsToCancel);
    }

    /** Returns the required jobs of a waiting job that are not known to be done. */
    public Set<JobId> unmetDependencies(JobId job) {
        return Collections.unmodifiableSet(unmet.getOrDefault(job, Set.of()));
    }

    public boolean isEmpty() {
        return unmet.isEmpty();
    }

    /** Removes all jobs, before the open jobs are read again. */
    public void clear() {
        unmet.clear();
        dependents.clear();
        jobsToLookUp.clear();
        jobsToCancel.clear();
        released.clear();
    }

    /**
     * Returns the edges from waiting jobs to the jobs that they require, in topological order: a job's edges come after those of all jobs that
     * depend on it. Edges of jobs that must be cancelled are left out.
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

    /** A dependency of {@code job} on {@code requiredJob}. */
    public record Edge(JobId job, JobId requiredJob) {}
}
