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
 * A leader's access to the records of jobs: loads them at a failover ({@link JobLoader}), applies changes that other nodes make
 * ({@link OpenJobChangeHandler}), and writes progress, start bounds and completions ({@link JobRecordWriter}). Bound to the
 * node's event loop.
 */
final class JobStore {
    private final NodeContext context;
    private final JobStoreComponents jobs;
    private final CompletionBlockStore completionBlocks;
    private final JobLoader loader;
    private final OpenJobChangeHandler changeHandler;

    /**
     * @param machineStore receives the machine records that are loaded along with the jobs
     * @param startBoundsTrusted whether no earlier leader started a task at or above a job's recorded start bound
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
        this.changeHandler = new OpenJobChangeHandler(jobs, horizon);
    }

    void start() {
        jobs.writer().start();
        completionBlocks.start();
    }

    void cancel() {
        jobs.writer().cancel();
        completionBlocks.cancel();
    }

    /** Schedules a write of the job's record. */
    void scheduleWrite(Job job) {
        jobs.writer().markDirty(job);
    }

    /** Loads all open jobs and machines, and returns the revision from which to watch the open jobs. */
    Future<Long> load() {
        return loader.load();
    }

    /** Reads the open jobs again after the watch has lost its position, and returns the revision at which it continues. */
    Future<Long> resynchronize() {
        Set<JobId> presentJobs = new HashSet<>();
        return RecordListing.readAll(
                        context.state(),
                        jobs.writes().leadershipRevision(),
                        RecordKeys.OPEN_JOBS,
                        entry -> RecordListing.readOrLog(entry.key(), () -> {
                            JobId id = RecordKeys.jobOfOpenKey(entry.key());
                            presentJobs.add(id);
                            changeHandler.onWritten(id, entry.value(), entry.revision());
                        }))
                .map(revision -> {
                    handleDeletedRecords(presentJobs, revision);
                    return revision;
                });
    }

    private void handleDeletedRecords(Set<JobId> presentJobs, long revision) {
        for (Job job : List.copyOf(jobs.core().jobs())) {
            if (!presentJobs.contains(job.id()) && job.revision().value() <= revision) {
                changeHandler.onDeleted(job.id());
            }
        }
    }

    /** Handles a written record that the watch reports; see {@link OpenJobChangeHandler#onWritten}. */
    void onOpenRecordWritten(JobId id, Fields value, Revision revision) {
        changeHandler.onWritten(id, value, revision);
    }

    /** Handles a deleted record that the watch reports; see {@link OpenJobChangeHandler#onDeleted}. */
    void onOpenRecordDeleted(JobId id) {
        changeHandler.onDeleted(id);
    }

    /** Handles a confirmed cancellation; see {@link OpenJobs#onCancelled}. */
    void onCancelled(JobId id) {
        jobs.openJobs().onCancelled(id);
    }

    /** Adds the jobs that finished during this term. */
    void addTo(RememberedState rememberedState) {
        jobs.finishedJobs().addTo(rememberedState);
    }

    /** Adds one job if it finished during this term. */
    void addTo(RememberedState rememberedState, JobId id) {
        jobs.finishedJobs().addTo(rememberedState, id);
    }
}
