package io.indigoreach.cluster;

import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Watches the records of open jobs to find jobs that any node has accepted or cancelled. Bound to the node's event loop. */
final class JobWatch {
    private static final Logger LOG = LoggerFactory.getLogger(JobWatch.class);
    private static final Span MAX_WATCH_TIME = Span.seconds(2);
    /** Maximum duration of one watch request, as a fraction of the maximum age of the cancellation horizon. */
    private static final double MAX_WATCH_TIME_SHARE = 0.25;

    private static final Span RETRY_DELAY = Span.seconds(0.3);

    private final NodeContext context;
    private final JobStore jobStore;
    private final CancellationHorizon horizon;
    private final PeriodicTask watchTask;
    /** The revision at which the next watch starts. */
    private long nextRevision;
    /** Whether the state service no longer has the changes since {@code nextRevision}. */
    private boolean mustResynchronize;

    JobWatch(NodeContext context, JobStore jobStore, CancellationHorizon horizon) {
        this.context = context;
        this.jobStore = jobStore;
        this.horizon = horizon;
        this.watchTask = new PeriodicTask(context.vertx(), "job watch", RETRY_DELAY, this::watchOnce);
    }

    /** Starts watching at the revision that {@link #catchUp} reached. */
    void start() {
        watchTask.start();
    }

    void cancel() {
        watchTask.cancel();
    }

    /**
     * Applies the changes since {@code revision} without waiting for further ones. Must be called before the first
     * command of a leadership term: jobs may have been cancelled while the other records were loaded, and their tasks
     * must not start.
     */
    Future<Void> catchUp(long revision) {
        nextRevision = revision;
        return watch(Span.ZERO)
                .compose(wait -> mustResynchronize ? watch(Span.ZERO) : Future.succeededFuture())
                .mapEmpty();
    }

    private Future<Span> watchOnce() {
        return watch(maxWatchTime(context.config().safetyTimes().maxCancellationAge()));
    }

    /** Runs one watch, which the state service ends after {@code maxTime} at the latest. */
    private Future<Span> watch(Span maxTime) {
        Moment sentAt = context.clock().now();
        if (mustResynchronize) {
            return resynchronize(sentAt);
        }
        return context.state()
                .watch(RecordKeys.OPEN_JOBS, nextRevision, maxTime)
                .map(changes -> apply(changes, sentAt));
    }

    private Future<Span> resynchronize(Moment sentAt) {
        return jobStore.resynchronize().map(revision -> {
            nextRevision = revision;
            mustResynchronize = false;
            horizon.advanceTo(sentAt);
            return Span.ZERO;
        });
    }

    private Span apply(StateClient.Changes changes, Moment sentAt) {
        if (watchTask.isCancelled()) {
            return RETRY_DELAY;
        }
        if (changes.compacted()) {
            mustResynchronize = true;
            return Span.ZERO;
        }
        nextRevision = Math.max(nextRevision, changes.revision());
        // Applied before the horizon advances, as a deleted record holds the horizon until the reason is known.
        for (StateClient.Change change : changes.changes()) {
            RecordListing.readOrLog(change.key(), () -> apply(change));
        }
        horizon.advanceTo(sentAt);
        return Span.ZERO;
    }

    /**
     * Returns the maximum duration of one watch. The leader responds to heartbeats only while its last completed watch is
     * younger than {@code maxCancellationAge}. If watches took longer than that, a service without changes would look like a
     * partition.
     */
    static Span maxWatchTime(Span maxCancellationAge) {
        Span share = maxCancellationAge.times(MAX_WATCH_TIME_SHARE);
        return share.compareTo(MAX_WATCH_TIME) < 0 ? share : MAX_WATCH_TIME;
    }

    private void apply(StateClient.Change change) {
        JobId id = RecordKeys.jobOfOpenKey(change.key());
        if (change.value() != null) {
            jobStore.onOpenRecordWritten(id, change.value(), change.revision());
        } else {
            jobStore.onOpenRecordDeleted(id);
        }
        LOG.debug(
                "job change observed key={} revision={}",
                change.key(),
                change.revision().value());
    }
}
