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
 * Which waiting jobs need which others. A need is settled only by a durable end: {@link #done} and {@link #cancelled} are
 * called for ends that the state service has acknowledged or was read to hold, never for what a leader believes. Both ends are
 * final and a job has only one of them, so that every leader comes to the same result.
 *
 * <p>Every edge is walked once when it is entered and once when it is settled: the cost of an event grows with the edges
 * it settles, not with what is open.
 */
public final class DependencyGraph {
    /** Of each waiting job, the needs that are not known to be done. */
    private final Map<JobId, Set<JobId>> needs = new HashMap<>();
    /** The same edges from the other end. */
    private final Map<JobId, Set<JobId>> dependants = new HashMap<>();
    /** Needs that are not open here: their ends are to be read. */
    private final Set<JobId> lookUps = new LinkedHashSet<>();
    /** Waiting jobs below a cancelled one whose own ends are to be written. */
    private final Set<JobId> doomed = new LinkedHashSet<>();

    private final List<JobId> released = new ArrayList<>();

    /** A waiting job; {@code isOpen}: whether a need is open here, so that its end will be heard of. */
    public void add(JobId job, Collection<JobId> named, Predicate<JobId> isOpen) {
        needs.put(job, new LinkedHashSet<>(named));
        boolean below = false;
        for (JobId need : named) {
            dependants.computeIfAbsent(need, n -> new LinkedHashSet<>()).add(job);
            below |= doomed.contains(need);
            if (!isOpen.test(need)) {
                lookUps.add(need);
            }
        }
        if (below) {
            doom(List.of(job));
        }
    }

    /** The job is open here from now on: no look-up is needed as long as it is. */
    public void opened(JobId job) {
        lookUps.remove(job);
    }

    /** The job is open here no longer, and how it ended has not been read. */
    public void ended(JobId job) {
        removeWaiting(job);
        if (dependants.getOrDefault(job, Set.of()).stream().anyMatch(d -> !doomed.contains(d))) {
            lookUps.add(job);
        }
    }

    /** The end of this job as done is durable. */
    public void done(JobId job) {
        removeWaiting(job);
        for (JobId dependant : settled(job)) {
            Set<JobId> left = needs.get(dependant);
            left.remove(job);
            if (left.isEmpty()) {
                needs.remove(dependant);
                released.add(dependant);
            }
        }
    }

    /** The end of this job as cancelled is durable: nothing that needs it, directly or through others, can ever start. */
    public void cancelled(JobId job) {
        removeWaiting(job);
        doom(settled(job));
    }

    /** A job that waits no longer, whatever else is known of its needs. */
    public void removeWaiting(JobId job) {
        doomed.remove(job);
        Set<JobId> left = needs.remove(job);
        if (left != null) {
            left.forEach(need -> removeEdge(need, job));
        }
    }

    private void removeEdge(JobId need, JobId job) {
        Set<JobId> those = dependants.get(need);
        if (those != null && those.remove(job) && those.isEmpty()) {
            dependants.remove(need);
            lookUps.remove(need);
        }
    }

    private Collection<JobId> settled(JobId need) {
        lookUps.remove(need);
        Set<JobId> those = dependants.remove(need);
        return those == null ? List.of() : those;
    }

    /** In the order of distance, so that no job is swept long before those between it and the cancelled one. */
    private void doom(Collection<JobId> first) {
        Deque<JobId> queue = new ArrayDeque<>(first);
        while (!queue.isEmpty()) {
            JobId job = queue.poll();
            if (needs.containsKey(job) && doomed.add(job)) {
                queue.addAll(dependants.getOrDefault(job, Set.of()));
            }
        }
    }

    /** Jobs all of whose needs are done since this was last asked. */
    public List<JobId> takeReleased() {
        List<JobId> out = List.copyOf(released);
        released.clear();
        return out;
    }

    public Set<JobId> lookUps() {
        return Collections.unmodifiableSet(lookUps);
    }

    public Set<JobId> doomed() {
        return Collections.unmodifiableSet(doomed);
    }

    /** Needs of a waiting job that are not known to be done. */
    public Set<JobId> outstanding(JobId job) {
        return Collections.unmodifiableSet(needs.getOrDefault(job, Set.of()));
    }

    public boolean isEmpty() {
        return needs.isEmpty();
    }

    /** Forgets everything: what is open is read anew. */
    public void clear() {
        needs.clear();
        dependants.clear();
        lookUps.clear();
        doomed.clear();
        released.clear();
    }

    /**
     * Every edge that matters yet, from a job to what it needs, those nearest to the chains' ends first: a job's own needs come after all
     * edges that lead to it.
     */
    public List<Edge> fromTheEnds() {
        Map<JobId, Integer> left = new HashMap<>();
        dependants.forEach((need, those) -> left.put(need, those.size()));
        Deque<JobId> queue = new ArrayDeque<>();
        needs.keySet().stream().filter(job -> !left.containsKey(job)).forEach(queue::add);
        List<Edge> out = new ArrayList<>();
        while (!queue.isEmpty()) {
            JobId job = queue.poll();
            for (JobId need : needs.getOrDefault(job, Set.of())) {
                if (!doomed.contains(job)) {
                    out.add(new Edge(job, need));
                }
                if (left.merge(need, -1, Integer::sum) == 0) {
                    queue.add(need);
                }
            }
        }
        return out;
    }

    /** {@code job} waits for {@code need}. */
    public record Edge(JobId job, JobId need) {}
}
