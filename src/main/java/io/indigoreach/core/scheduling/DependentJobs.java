package io.indigoreach.core.scheduling;

import io.indigoreach.core.dependency.DependencyGraph;
import io.indigoreach.core.dependency.TargetPropagation;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobTarget;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the jobs that depend on others during one leadership term, and releases them. A job with unmet dependencies is
 * in no queue; it therefore holds no reservation and triggers no scale-out. It is enqueued when the completion of all
 * required jobs is durable. Its waiting time counts from then, but its deadline counts from the submission.
 */
public final class DependentJobs {
    private static final Span TARGET_INTERVAL = Span.seconds(1);

    private final Cluster cluster;
    private final Estimates estimates;
    private final DependencyGraph graph = new DependencyGraph();
    /** Waiting jobs submitted before this leadership term. An earlier leader may have released them. */
    private final Set<Job> inheritedWaitingJobs = new HashSet<>();
    /** Required jobs that currently have a target derived from their dependents. */
    private Set<JobId> jobsWithTarget = Set.of();

    private Moment targetsDerivedAt = Moment.NEVER;

    DependentJobs(Cluster cluster, Estimates estimates) {
        this.cluster = cluster;
        this.estimates = estimates;
    }

    void onJobAdded(Job job) {
        graph.onOpened(job.id());
        if (job.hasUnmetDependencies()) {
            graph.add(job.id(), job.spec.dependencies().requiredJobs(), cluster.jobs::containsKey);
            if (job.inherited) {
                inheritedWaitingJobs.add(job);
            }
        }
    }

    /** Removes a job that has ended or is no longer served. If others require it, its end is read from its record. */
    void onJobRemoved(Job job) {
        inheritedWaitingJobs.remove(job);
        graph.onEnded(job.id());
    }

    void clear() {
        graph.clear();
        inheritedWaitingJobs.clear();
        jobsWithTarget = Set.of();
    }

    /** Notes that the state service has recorded the job as done. */
    public void onJobDone(JobId id) {
        graph.onDone(id);
    }

    /** Notes that the state service has recorded the job as cancelled. */
    public void onJobCancelled(JobId id) {
        graph.onCancelled(id);
    }

    /** Required jobs that are not open on this leader; their outcome must be read from the state service. */
    public Set<JobId> jobsToLookUp() {
        return graph.jobsToLookUp();
    }

    /** Jobs that depend on a cancelled job and must be recorded as cancelled too. */
    public Set<JobId> jobsToCancel() {
        return graph.jobsToCancel();
    }

    /** Enqueues released jobs, and once a second derives the targets of required jobs from their dependents. */
    public void advance(Moment now, long timeOfDayMs) {
        graph.takeReleased().forEach(id -> release(id, now, timeOfDayMs));
        if (now.since(targetsDerivedAt).compareTo(TARGET_INTERVAL) >= 0) {
            targetsDerivedAt = now;
            // Only a leader that had released the job can have started a task of it. So the required jobs were done,
            // even if their ends were lost with data of the state service.
            Set.copyOf(inheritedWaitingJobs).stream().filter(Job::hasStarted).forEach(job -> {
                graph.removeWaiting(job.id());
                release(job.id(), now, timeOfDayMs);
            });
            deriveTargets();
        }
    }

    private void release(JobId id, Moment now, long timeOfDayMs) {
        Job job = cluster.jobs.get(id);
        if (job != null && job.hasUnmetDependencies()) {
            inheritedWaitingJobs.remove(job);
            job.releaseFromDependencies(now, timeOfDayMs);
            cluster.enqueue(job);
        }
    }

    private void deriveTargets() {
        if (graph.isEmpty() && jobsWithTarget.isEmpty()) {
            return;
        }
        Map<JobId, JobTarget> targets = TargetPropagation.propagate(
                graph, id -> cluster.jobs.get(id).ownTarget(), id -> runTime(cluster.jobs.get(id)));
        for (JobId id : jobsWithTarget) {
            if (!targets.containsKey(id)) {
                setDependentsTarget(id, null);
            }
        }
        targets.forEach(this::setDependentsTarget);
        jobsWithTarget = Set.copyOf(targets.keySet());
    }

    /** The expected run time; zero for a service, which meets its deadline when it starts. */
    private Span runTime(Job job) {
        return job.spec.isService() ? Span.ZERO : estimates.runTime(job);
    }

    private void setDependentsTarget(JobId id, JobTarget target) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            job.setDependentsTarget(target);
        }
    }
}
