package io.indigoreach.cluster;

import io.indigoreach.core.scheduling.SchedulerCore;

/**
 * The components that a {@link JobStore} shares between loading and change handling. Bound to the node's event loop.
 */
record JobStoreComponents(
        LeaderWriteContext writes,
        SchedulerCore core,
        OpenJobs openJobs,
        JobRecordWriter writer,
        FinishedJobs finishedJobs) {
    static JobStoreComponents create(
            LeaderWriteContext writes,
            SchedulerCore core,
            CompletionBlockStore completionBlocks,
            boolean startBoundsTrusted) {
        FinishedJobs finishedJobs = new FinishedJobs();
        JobRecordWriter writer = new JobRecordWriter(writes, core, completionBlocks, finishedJobs);
        OpenJobs openJobs = new OpenJobs(writes.context(), core, writer, finishedJobs, startBoundsTrusted);
        return new JobStoreComponents(writes, core, openJobs, writer, finishedJobs);
    }
}
