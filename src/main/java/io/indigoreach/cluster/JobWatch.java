package io.indigoreach.cluster;

import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells the leader of jobs that any node has accepted or cancelled. */
final class JobWatch {
    private static final Logger LOG = LoggerFactory.getLogger(JobWatch.class);
    private static final Span LONGEST_WAIT = Span.seconds(2);
    private static final Span PAUSE = Span.seconds(0.3);

    private final NodeContext env;
    private final JobStore ledger;
    private final PeriodicTask duty;
    private long since;
    private boolean readAgain;
    private final CancellationHorizon horizon;

    JobWatch(NodeContext env, JobStore ledger, CancellationHorizon horizon) {
        this.env = env;
        this.ledger = ledger;
        this.duty = new PeriodicTask(env.vertx(), "job watch", PAUSE, this::step);
        this.horizon = horizon;
    }

    /** Goes on from where {@link #catchUp} has come to. */
    void start() {
        duty.start();
    }

    void cancel() {
        duty.cancel();
    }

    /**
     * Hears of what has changed since {@code revision} without waiting for more. Before the first order of a leadership: what
     * was cancelled after the jobs had been listed, while the rest of the records was read, would else be started.
     */
    Future<Void> catchUp(long revision) {
        since = revision;
        return step(Span.ZERO)
                .compose(v -> readAgain ? step(Span.ZERO) : Future.succeededFuture())
                .mapEmpty();
    }

    private Future<Span> step() {
        return step(waitFor(env.config().rules().maxCancellationAge()));
    }

    /** One watch that stays open for {@code longest} at most. */
    private Future<Span> step(Span longest) {
        Moment sent = env.clock().now();
        if (readAgain) {
            return ledger.resynchronize().map(revision -> {
                since = revision;
                readAgain = false;
                horizon.advanceTo(sent);
                return Span.ZERO;
            });
        }
        return env.state().watch(RecordCodec.OPEN, since, longest).map(changes -> {
            if (duty.isCancelled()) {
                return PAUSE;
            }
            if (changes.tooOld()) {
                readAgain = true;
                return Span.ZERO;
            }
            since = Math.max(since, changes.revision());
            // First what it brings: a job that is gone holds the horizon until it is known why.
            for (StateClient.Change change : changes.changes()) {
                JobStore.readOrLog(change.key(), () -> apply(change));
            }
            horizon.advanceTo(sent);
            return Span.ZERO;
        });
    }

    /**
     * How long one watch may stay open. The leader answers workers only while its last finished watch is younger than
     * {@code horizonAge}, so where that is short watches must end often, or a quiet service would look like a deaf one.
     */
    static Span waitFor(Span horizonAge) {
        Span part = horizonAge.times(0.25);
        return part.compareTo(LONGEST_WAIT) < 0 ? part : LONGEST_WAIT;
    }

    private void apply(StateClient.Change change) {
        JobId id = RecordCodec.jobOfOpenKey(change.key());
        if (change.value() != null) {
            ledger.onOpenRecordWritten(id, change.value(), change.stamp());
        } else {
            ledger.onOpenRecordDeleted(id);
        }
        LOG.debug("heard of {} at {}", change.key(), change.stamp().value());
    }
}
