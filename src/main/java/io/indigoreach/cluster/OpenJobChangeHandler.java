package io.indigoreach.cluster;

import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.Fields;
import io.indigoreach.net.WireException;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;

/** Applies the writes and deletions of open jobs' records that the watch reports. Bound to the node's event loop. */
final class OpenJobChangeHandler {
    /** Delay before the reason for a deletion is looked up again after a failed lookup. */
    private static final Span LOOKUP_RETRY_DELAY = Span.seconds(0.5);

    private final NodeContext context;
    private final JobRecordLookup lookup;
    private final SchedulerCore core;
    private final OpenJobs openJobs;
    private final JobRecordWriter writer;
    private final FinishedJobs finishedJobs;
    private final CancellationHorizon horizon;

    OpenJobChangeHandler(JobStoreComponents jobs, CancellationHorizon horizon) {
        this.context = jobs.writes().context();
        this.lookup = new JobRecordLookup(context.state());
        this.core = jobs.core();
        this.openJobs = jobs.openJobs();
        this.writer = jobs.writer();
        this.finishedJobs = jobs.finishedJobs();
        this.horizon = horizon;
    }

    /**
     * Handles a written record: a new job, or one of this leader's own writes. An unreadable record must not prevent the leader
     * from applying other changes, in particular cancellations. If its job is open on this leader, the record is written again.
     */
    void onWritten(JobId id, Fields value, Revision revision) {
        Job job = core.job(id);
        if (job != null) {
            core.onRevisionSeen(job, revision);
            if (!RecordListing.readOrLog(RecordKeys.openKey(id), () -> JobRecordCodec.readJob(id, value, revision))) {
                writer.markDirty(job);
            }
        } else if (!finishedJobs.contains(id)) {
            boolean readable = RecordListing.readOrLog(
                    RecordKeys.openKey(id), () -> openJobs.addFromWatch(JobRecordCodec.readJob(id, value, revision)));
            if (readable) {
                openJobs.markReadable(id);
            } else {
                openJobs.markUnreadable(id);
            }
            writer.wake();
        }
    }

    /** Handles a deleted record: the user has cancelled the job, unless this leader has just written its completion. */
    void onDeleted(JobId id) {
        Job job = core.job(id);
        if (writer.isCancelled() || job == null || (writer.hasWriteInFlight(id) && job.isComplete())) {
            horizon.onMissingRecordResolved(id);
            return;
        }
        if (job.isComplete()) {
            // Either the completion was written without a response, or the user cancelled first. The next write finds
            // out.
            writer.markDirty(job);
            horizon.onMissingRecordResolved(id);
            return;
        }
        horizon.onRecordMissing(id);
        findDeletionReason(id).onComplete(reason -> onDeletionReason(job, reason));
    }

    private void onDeletionReason(Job job, AsyncResult<DeletionReason> reason) {
        JobId id = job.id();
        if (writer.isCancelled()) {
            return;
        }
        if (reason.failed()) {
            // Tasks may still run although the cancellation was confirmed to the user, so the lookup is repeated.
            context.vertx().setTimer(LOOKUP_RETRY_DELAY.ms(), timer -> onDeleted(id));
            return;
        }
        if (core.job(id) == job) {
            switch (reason.result()) {
                case CANCELLED -> openJobs.onCancelled(id);
                case RECORD_LOST -> context.state().reportMissingRecord(RecordKeys.openKey(id));
                case STILL_OPEN -> {}
            }
        }
        horizon.onMissingRecordResolved(id);
    }

    /** The reason why the watch reported an open record as deleted. */
    private enum DeletionReason {
        /** The user cancelled the job, which leaves a final record. */
        CANCELLED,
        /** The state service has lost data. */
        RECORD_LOST,
        /** The change predates the repair of a data loss, and the record exists again. */
        STILL_OPEN
    }

    private Future<DeletionReason> findDeletionReason(JobId id) {
        return lookup.finalRecord(id)
                .compose(record ->
                        record != null ? Future.succeededFuture(DeletionReason.CANCELLED) : checkOpenRecord(id));
    }

    private Future<DeletionReason> checkOpenRecord(JobId id) {
        return lookup.openRecord(id)
                .compose(record ->
                        record != null ? Future.succeededFuture(DeletionReason.STILL_OPEN) : confirmRecordLost(id));
    }

    private Future<DeletionReason> confirmRecordLost(JobId id) {
        return lookup.confirmAbsent(id)
                .compose(absent -> absent
                        ? Future.succeededFuture(DeletionReason.RECORD_LOST)
                        : Future.failedFuture(new WireException(JobRecordLookup.STALE_READ)));
    }
}
