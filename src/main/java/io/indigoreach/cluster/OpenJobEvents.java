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

/** Applies the watched changes of open jobs' records: written, deleted. Bound to the node's event loop. */
final class OpenJobEvents {
    /** Until the reason for a deletion is looked up again after a failure. */
    private static final Span LOOKUP_RETRY = Span.seconds(0.5);

    private final NodeContext context;
    private final JobRecordLookup lookup;
    private final SchedulerCore core;
    private final OpenJobs openJobs;
    private final JobRecordWriter writer;
    private final FinishedJobs finishedJobs;
    private final CancellationHorizon horizon;

    OpenJobEvents(JobStoreComponents jobs, CancellationHorizon horizon) {
        this.context = jobs.writes().context();
        this.lookup = new JobRecordLookup(context.state());
        this.core = jobs.core();
        this.openJobs = jobs.openJobs();
        this.writer = jobs.writer();
        this.finishedJobs = jobs.finishedJobs();
        this.horizon = horizon;
    }

    /**
     * The record of an open job was written: a new job, or one of this leader's own writes. An unreadable record must not keep the
     * leader from the other changes, cancellations in particular. If its job is known here, it is written again.
     */
    void onWritten(JobId id, Fields value, Revision revision) {
        Job job = core.job(id);
        if (job != null) {
            core.revisionSeen(job, revision);
            if (!RecordListing.readOrLog(RecordKeys.openKey(id), () -> JobRecordCodec.readJob(id, value, revision))) {
                writer.markDirty(job);
            }
        } else if (!finishedJobs.contains(id)) {
            boolean readable = RecordListing.readOrLog(
                    RecordKeys.openKey(id), () -> openJobs.addReported(JobRecordCodec.readJob(id, value, revision)));
            if (readable) {
                openJobs.markReadable(id);
            } else {
                openJobs.markUnreadable(id);
            }
            writer.wake();
        }
    }

    /** The record of an open job was deleted: its user has cancelled it, unless this leader has just written its completion. */
    void onDeleted(JobId id) {
        Job job = core.job(id);
        if (writer.isCancelled() || job == null || (writer.isWriting(id) && job.isComplete())) {
            horizon.resolved(id);
            return;
        }
        if (job.isComplete()) {
            // The completion was written without a response, or the user cancelled first: the next write will show.
            writer.markDirty(job);
            horizon.resolved(id);
            return;
        }
        horizon.recordGone(id);
        readReason(id).onComplete(reason -> onReasonRead(job, reason));
    }

    private void onReasonRead(Job job, AsyncResult<DeletionReason> reason) {
        JobId id = job.id();
        if (writer.isCancelled()) {
            return;
        }
        if (reason.failed()) {
            // Until the state service gives the reason, tasks may run although the user was told of the cancellation.
            context.vertx().setTimer(LOOKUP_RETRY.ms(), timer -> onDeleted(id));
            return;
        }
        if (core.job(id) == job) {
            switch (reason.result()) {
                case CANCELLED -> openJobs.onCancelled(id);
                case LOST -> context.state().recordMissing(RecordKeys.openKey(id));
                case STILL_OPEN -> {}
            }
        }
        horizon.resolved(id);
    }

    /** Why an open record was reported as deleted. */
    private enum DeletionReason {
        /** Its user cancelled the job, which leaves a final record. */
        CANCELLED,
        /** The state service has lost data. */
        LOST,
        /** The change is from before a data loss was repaired. */
        STILL_OPEN
    }

    private Future<DeletionReason> readReason(JobId id) {
        return lookup.finalRecord(id)
                .compose(record ->
                        record != null ? Future.succeededFuture(DeletionReason.CANCELLED) : readWithoutFinalRecord(id));
    }

    private Future<DeletionReason> readWithoutFinalRecord(JobId id) {
        return lookup.openRecord(id)
                .compose(
                        record -> record != null ? Future.succeededFuture(DeletionReason.STILL_OPEN) : confirmLost(id));
    }

    private Future<DeletionReason> confirmLost(JobId id) {
        return lookup.confirmAbsent(id)
                .compose(absent -> absent
                        ? Future.succeededFuture(DeletionReason.LOST)
                        : Future.failedFuture(new WireException(JobRecordLookup.STALE_READ)));
    }
}
