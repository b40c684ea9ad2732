package io.indigoreach.cluster;

import io.indigoreach.core.JobId;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Span;
import io.indigoreach.net.Duty;
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

    private final Reign.Surroundings env;
    private final Ledger ledger;
    private final Duty duty;
    private long since;
    private boolean readAgain;
    private Moment fresh;

    JobWatch(Reign.Surroundings env, Ledger ledger) {
        this.env = env;
        this.ledger = ledger;
        this.duty = new Duty(env.vertx(), "job watch", PAUSE, this::step);
        this.fresh = env.clock().now();
    }

    void start(long revision) {
        since = revision;
        fresh = env.clock().now();
        duty.start();
    }

    void cancel() {
        duty.cancel();
    }

    /** Everything that happened before this moment has been heard. */
    Moment freshAt() {
        return fresh;
    }

    private Future<Span> step() {
        Moment sent = env.clock().now();
        if (readAgain) {
            return ledger.readAgain().map(revision -> {
                since = revision;
                readAgain = false;
                fresh = sent;
                return Span.ZERO;
            });
        }
        return env.state().watch(RecordCodec.OPEN, since, waitFor(env.config().rules().horizonAge())).map(changes -> {
            if (duty.isCancelled()) {
                return PAUSE;
            }
            if (changes.tooOld()) {
                readAgain = true;
                return Span.ZERO;
            }
            since = Math.max(since, changes.revision());
            fresh = sent;
            for (StateClient.Change change : changes.changes()) {
                Ledger.unlessUnreadable(change.key(), () -> apply(change));
            }
            return Span.ZERO;
        });
    }

    /**
     * How long one watch may stay open. The leader answers workers only while its last finished watch is younger than
     * {@code hearing}, so where that is short watches must end often, or a quiet service would look like a deaf one.
     */
    static Span waitFor(Span hearing) {
        Span part = hearing.times(0.25);
        return part.compareTo(LONGEST_WAIT) < 0 ? part : LONGEST_WAIT;
    }

    private void apply(StateClient.Change change) {
        JobId id = RecordCodec.jobOf(change.key());
        if (change.value() != null) {
            ledger.heard(id, change.value(), change.stamp());
        } else {
            ledger.heardGone(id);
        }
        LOG.debug("heard of {} at {}", change.key(), change.stamp().value());
    }
}
