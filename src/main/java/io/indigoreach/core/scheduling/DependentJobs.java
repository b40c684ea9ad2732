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
 * The jobs of one leadership term that depend on others. While a job waits for others it is in no queue, so that it holds no
 * reservation and causes no scale-out: it is enqueued when the ends of all the jobs that it requires are durable, and its times
 * count from then, except its deadline.
 */
public final class DependentJobs {
    private static final Span LOOK_AHEAD = Span.seconds(1);

    private final Cluster cluster;
    private final Estimates estimates;
    private final DependencyGraph graph = new DependencyGraph();
    /** Waiting jobs that were there before this leader: an earlier one may have released them. */
    private final Set<Job> inherited = new HashSet<>();
    /** Jobs that others wait for, with the targets that those set. */
    private Set<JobId> targeted = Set.of();

    private Moment lookedAhead = Moment.NEVER;

    DependentJobs(Cluster cluster, Estimates estimates) {
        this.cluster = cluster;
        this.estimates = estimates;
    }

    void added(Job job) {
        graph.onOpened(job.id());
        if (job.hasUnmetDependencies()) {
            graph.add(job.id(), job.spec.dependencies().requiredJobs(), cluster.jobs::containsKey);
            if (job.inherited) {
                inherited.add(job);
            }
        }
    }

    /** The job is over or not served any more; what became of it is to be read. */
    void removed(Job job) {
        inherited.remove(job);
        graph.onEnded(job.id());
    }

    void clear() {
        graph.clear();
        inherited.clear();
        targeted = Set.of();
    }

    /** The end of a job as done is in the state service. */
    public void done(JobId id) {
        graph.onDone(id);
    }

    /** The end of a job as cancelled is in the state service. */
    public void cancelled(JobId id) {
        graph.onCancelled(id);
    }

    /** Jobs that others wait for and that are not open here: their ends are to be read. */
    public Set<JobId> jobsToLookUp() {
        return graph.jobsToLookUp();
    }

    /** Jobs below a cancelled one, whose own ends are to be written. */
    public Set<JobId> jobsToCancel() {
        return graph.jobsToCancel();
    }

    /** Enqueues the released jobs, and once a second derives targets of required jobs from the jobs that depend on them. */
    public void advance(Moment now, long timeOfDayMs) {
        graph.takeReleased().forEach(id -> release(id, now, timeOfDayMs));
        if (now.since(lookedAhead).compareTo(LOOK_AHEAD) >= 0) {
            lookedAhead = now;
            // A task of it is on a machine, which only a leader that had released it can have started: the jobs it
            // requires were done, also where a data loss has taken their ends.
            Set.copyOf(inherited).stream().filter(Job::hasBegun).forEach(job -> {
                graph.removeWaiting(job.id());
                release(job.id(), now, timeOfDayMs);
            });
            lookAhead();
        }
    }

    private void release(JobId id, Moment now, long timeOfDayMs) {
        Job job = cluster.jobs.get(id);
        if (job != null && job.hasUnmetDependencies()) {
            inherited.remove(job);
            job.releaseFromDependencies(now, timeOfDayMs);
            cluster.enqueue(job);
        }
    }

    private void lookAhead() {
        if (graph.isEmpty() && targeted.isEmpty()) {
            return;
        }
        Map<JobId, JobTarget> targets = TargetPropagation.propagate(
                graph, id -> cluster.jobs.get(id).ownTarget(), id -> runTime(cluster.jobs.get(id)));
        for (JobId id : targeted) {
            if (!targets.containsKey(id)) {
                target(id, null);
            }
        }
        targets.forEach(this::target);
        targeted = Set.copyOf(targets.keySet());
    }

    /** A service has reached what its deadline is for when it starts. */
    private Span runTime(Job job) {
        return job.spec.isService() ? Span.ZERO : estimates.run(job);
    }

    private void target(JobId id, JobTarget target) {
        Job job = cluster.jobs.get(id);
        if (job != null) {
            job.dependentsAsk(target);
        }
    }
}
