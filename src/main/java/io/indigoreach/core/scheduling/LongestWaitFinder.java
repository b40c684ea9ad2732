package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.Comparator;
import java.util.Optional;

/** Finds the job that has waited longest for its first task, so that the log shows what keeps it from starting. */
final class LongestWaitFinder {
    /**
     * A job that has waited longest.
     *
     * @param topJob the top job of the job's queue; empty if no job of the queue may start
     */
    record LongestWait(JobId job, Span waited, WaitReason reason, Optional<JobId> topJob) {}

    private final Cluster cluster;
    private final DispatchRules rules;
    private final WaitExplainer waitExplainer;

    LongestWaitFinder(Cluster cluster, DispatchRules rules, WaitExplainer waitExplainer) {
        this.cluster = cluster;
        this.rules = rules;
        this.waitExplainer = waitExplainer;
    }

    /** Returns the longest wait among the jobs of teams that are not at their limits; empty if none of them waits. */
    Optional<LongestWait> find(Moment now) {
        return cluster.jobs.values().stream()
                .filter(this::waitsForFirstTask)
                .min(Comparator.comparing((Job job) -> job.eligibleSince).thenComparing(Job::id))
                .flatMap(job -> waitExplainer
                        .reason(job, now)
                        .map(reason ->
                                new LongestWait(job.id(), now.since(job.eligibleSince), reason, topJob(job, now))));
    }

    private boolean waitsForFirstTask(Job job) {
        return job.hasWaiting()
                && job.placements().isEmpty()
                && !job.spec.isWarmPoolHolder()
                && !cluster.isTeamAtLimit(job);
    }

    private Optional<JobId> topJob(Job job, Moment now) {
        return rules.reservations().topJob(cluster.queueOf(job), now).map(Job::id);
    }
}
