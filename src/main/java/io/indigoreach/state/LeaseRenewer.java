package io.indigoreach.state;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * Renews the leader's lease on a separate event loop and connection. On the node's event loop, renewals queue behind other work:
 * a newly started node gained leadership, received reports of 450 machines at once and did not renew for 4.5 s, so that the
 * leadership passed to another newly started node under the same load. Renewals still stop when the node's event loop hangs, so
 * that a hanging node loses its lease.
 */
final class LeaseRenewer {
    /** Time without a turn of the node's event loop after which renewals stop, so that another node can lead. */
    private static final Span HUNG = Span.seconds(10);

    private static final Span IDLE = Span.seconds(0.25);

    /**
     * A held lease and the time at which its last successful renewal was sent. Each lease has its own instance, so a late response
     * for an earlier lease does not change the state of the next one.
     */
    private static final class Held {
        final long lease;
        /** Runs on the node's event loop when the state service reports that the lease has expired. */
        final Runnable ended;

        volatile Moment renewed;

        Held(long lease, Runnable ended, Moment renewed) {
            this.lease = lease;
            this.ended = ended;
            this.renewed = renewed;
        }
    }

    private final Vertx nodeVertx;
    private final Vertx renewalVertx;
    private final StateClient state;
    private final SteadyClock clock;
    private final Span interval;
    private final Span timeout;
    private final PeriodicTask renewalTask;
    private volatile Held held;
    private volatile Moment lastTurn;

    /** {@code nodeVertx} runs the node's event loop; renewals run on the event loop of {@code renewals}. */
    LeaseRenewer(Vertx nodeVertx, StateAccess renewals, SteadyClock clock, Span leaseTime) {
        this.nodeVertx = nodeVertx;
        this.renewalVertx = renewals.vertx();
        this.state = renewals.client();
        this.clock = clock;
        // Short, because the time that a lease bridges an outage counts from the last renewal before the outage.
        this.interval = Span.seconds(Math.min(1, leaseTime.seconds() * 0.2));
        this.timeout = leaseTime.times(0.3);
        this.lastTurn = clock.now();
        this.renewalTask = new PeriodicTask(renewalVertx, "lease renewal", interval, this::step);
        renewalVertx.runOnContext(v -> renewalTask.start());
    }

    void renew(long lease, Moment sent, Runnable ended) {
        eventLoopTurned();
        held = new Held(lease, ended, sent);
    }

    void stopRenewing() {
        held = null;
    }

    /** The time at which the last successful renewal was sent. */
    Moment renewedAt() {
        Held now = held;
        return now == null ? Moment.NEVER : now.renewed;
    }

    /** Records that the node's event loop is running. */
    void eventLoopTurned() {
        lastTurn = clock.now();
    }

    void close() {
        held = null;
        renewalVertx.runOnContext(v -> renewalTask.cancel());
    }

    private Future<Span> step() {
        Held mine = held;
        Moment sent = clock.now();
        if (mine == null || sent.since(lastTurn).compareTo(HUNG) > 0) {
            return Future.succeededFuture(IDLE);
        }
        return state.renew(mine.lease, timeout).map(alive -> {
            if (alive) {
                mine.renewed = sent;
            } else {
                // Compared on the node's event loop: meanwhile it may have released this lease and gained another.
                nodeVertx.runOnContext(v -> {
                    if (held == mine) {
                        mine.ended.run();
                    }
                });
            }
            return interval;
        });
    }
}
