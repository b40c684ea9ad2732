package io.indigoreach.cluster;

import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.Fields;
import io.indigoreach.state.RecordKeys;
import io.vertx.core.Future;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A leader's access to the records of jobs: loads them at a failover ({@link JobLoader}), applies what others change
 * ({@link OpenJobEvents}), and writes progress, start bounds and completions ({@link JobRecordWriter}). Bound to the node's event
 * loop.
 */
final class JobStore {
    private final NodeContext context;
    private final JobStoreComponents jobs;
    private final CompletionBlockStore completionBlocks;
    private final JobLoader loader;
    private final OpenJobEvents events;

    /**
     * @param machineStore receives the machine records that are loaded along with the jobs
     * @param startBoundsTrusted every leader so far has respected the jobs' start bounds
     */
    JobStore(
            LeaderWriteContext writes,
            SchedulerCore core,
            MachineStore machineStore,
            boolean startBoundsTrusted,
            CancellationHorizon horizon) {
        this.context = writes.context();
        this.completionBlocks = new CompletionBlockStore(writes);
        this.jobs = JobStoreComponents.create(writes, core, completionBlocks, startBoundsTrusted);
        this.loader = new JobLoader(jobs, completionBlocks, machineStore, horizon);
        this.events = new OpenJobEvents(jobs, horizon);
    }

    void start() {
        jobs.writer().start();
        completionBlocks.start();
    }

    void cancel() {
        jobs.writer().cancel();
        completionBlocks.cancel();
    }

    /** The record of the job is to be written. */
    void markDirty(Job job) {
        jobs.writer().markDirty(job);
    }

    /** Reads every open job and every machine; the result is the revision to watch the open jobs from. */
    Future<Long> load() {
        return loader.load();
    }

    /** Reads the open jobs again after the watch has lost its position; the result is the revision to continue from. */
    Future<Long> resynchronize() {
        Set<JobId> present = new HashSet<>();
        return RecordListing.readAll(
                        context.state(),
                        jobs.writes().leadershipRevision(),
                        RecordKeys.OPEN_JOBS,
                        entry -> RecordListing.readOrLog(entry.key(), () -> {
                            JobId id = RecordKeys.jobOfOpenKey(entry.key());
                            present.add(id);
                            events.onWritten(id, entry.value(), entry.revision());
                        }))
                .map(revision -> {
                    reportDeleted(present, revision);
                    return revision;
                });
    }

    private void reportDeleted(Set<JobId> present, long revision) {
        for (Job job : List.copyOf(jobs.core().jobs())) {
            if (!present.contains(job.id()) && job.revision().value() <= revision) {
                events.onDeleted(job.id());
            }
        }
    }

    /** The watch reports a written record: see {@link OpenJobEvents#onWritten}. */
    void onOpenRecordWritten(JobId id, Fields value, Revision revision) {
        events.onWritten(id, value, revision);
    }

    /** The watch reports a deleted record: see {@link OpenJobEvents#onDeleted}. */
    void onOpenRecordDeleted(JobId id) {
        events.onDeleted(id);
    }

    /** A job is cancelled for certain: see {@link OpenJobs#onCancelled}. */
    void onCancelled(JobId id) {
        jobs.openJobs().onCancelled(id);
    }

    /** Adds the jobs that ended during this term. */
    void addTo(RememberedState rememberedState) {
        jobs.finishedJobs().addTo(rememberedState);
    }

    /** Adds one job if it ended during this term. */
    void addTo(RememberedState rememberedState, JobId id) {
        jobs.finishedJobs().addTo(rememberedState, id);
    }
}
