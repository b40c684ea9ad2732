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

/** Watches the open jobs' records, by which the leader learns of jobs that any node accepts or cancels. Bound to the event loop. */
final class JobWatch {
    private static final Logger LOG = LoggerFactory.getLogger(JobWatch.class);
    private static final Span MAX_WATCH_TIME = Span.seconds(2);
    /** Part of the age that the cancellation horizon may reach which one watch may take. */
    private static final double WATCH_TIME_SHARE = 0.25;

    private static final Span PAUSE = Span.seconds(0.3);

    private final NodeContext context;
    private final JobStore jobStore;
    private final CancellationHorizon horizon;
    private final PeriodicTask watchTask;
    /** The revision from which the next watch begins. */
    private long nextRevision;
    /** The state service no longer has the changes since {@code nextRevision}. */
    private boolean mustResynchronize;

    JobWatch(NodeContext context, JobStore jobStore, CancellationHorizon horizon) {
        this.context = context;
        this.jobStore = jobStore;
        this.horizon = horizon;
        this.watchTask = new PeriodicTask(context.vertx(), "job watch", PAUSE, this::step);
    }

    /** Continues from where {@link #catchUp} ended. */
    void start() {
        watchTask.start();
    }

    void cancel() {
        watchTask.cancel();
    }

    /**
     * Applies the changes since {@code revision} without waiting for more. Called before the first command of a leadership term:
     * tasks of jobs that were cancelled while the other records were loaded must not start.
     */
    Future<Void> catchUp(long revision) {
        nextRevision = revision;
        return watch(Span.ZERO)
                .compose(wait -> mustResynchronize ? watch(Span.ZERO) : Future.succeededFuture())
                .mapEmpty();
    }

    private Future<Span> step() {
        return watch(watchTime(context.config().safetyTimes().maxCancellationAge()));
    }

    /** One watch that is answered after {@code maxTime} at the latest. */
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
            return PAUSE;
        }
        if (changes.tooOld()) {
            mustResynchronize = true;
            return Span.ZERO;
        }
        nextRevision = Math.max(nextRevision, changes.revision());
        // Before the horizon advances: a deleted job holds it back until the reason is known.
        for (StateClient.Change change : changes.changes()) {
            RecordListing.readOrLog(change.key(), () -> apply(change));
        }
        horizon.advanceTo(sentAt);
        return Span.ZERO;
    }

    /**
     * How long one watch may take. The leader answers heartbeats only while its last completed watch is younger than {@code
     * maxCancellationAge}, so watches must end often where that is short; else a quiet service would look like a partition.
     */
    static Span watchTime(Span maxCancellationAge) {
        Span share = maxCancellationAge.times(WATCH_TIME_SHARE);
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
