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
    private static final Span EVENT_LOOP_TIMEOUT = Span.seconds(10);

    private static final Span IDLE_INTERVAL = Span.seconds(0.25);

    /**
     * A held lease and the time at which its last successful renewal was sent. Each lease has its own instance, so a late response
     * for an earlier lease does not change the state of the next one.
     */
    private static final class HeldLease {
        final long leaseId;
        /** Runs on the node's event loop when the state service reports that the lease has expired. */
        final Runnable onExpired;

        volatile Moment renewedAt;

        HeldLease(long leaseId, Runnable onExpired, Moment renewedAt) {
            this.leaseId = leaseId;
            this.onExpired = onExpired;
            this.renewedAt = renewedAt;
        }
    }

    private final Vertx nodeVertx;
    private final Vertx renewalVertx;
    private final StateClient state;
    private final SteadyClock clock;
    private final Span interval;
    private final Span timeout;
    private final PeriodicTask renewalTask;
    private volatile HeldLease heldLease;
    private volatile Moment lastEventLoopTurn;

    /** {@code nodeVertx} runs the node's event loop; renewals run on the event loop of {@code renewals}. */
    LeaseRenewer(Vertx nodeVertx, StateAccess renewals, SteadyClock clock, Span leaseTime) {
        this.nodeVertx = nodeVertx;
        this.renewalVertx = renewals.vertx();
        this.state = renewals.client();
        this.clock = clock;
        // Short, because the time that a lease bridges an outage counts from the last renewal before the outage.
        this.interval = Span.seconds(Math.min(1, leaseTime.seconds() * 0.2));
        this.timeout = leaseTime.times(0.3);
        this.lastEventLoopTurn = clock.now();
        this.renewalTask = new PeriodicTask(renewalVertx, "lease renewal", interval, this::step);
        renewalVertx.runOnContext(v -> renewalTask.start());
    }

    void startRenewing(long leaseId, Moment sentAt, Runnable onExpired) {
        recordEventLoopTurn();
        heldLease = new HeldLease(leaseId, onExpired, sentAt);
    }

    void stopRenewing() {
        heldLease = null;
    }

    /** The time at which the last successful renewal was sent. */
    Moment renewedAt() {
        HeldLease current = heldLease;
        return current == null ? Moment.NEVER : current.renewedAt;
    }

    /** Records that the node's event loop is running. */
    void recordEventLoopTurn() {
        lastEventLoopTurn = clock.now();
    }

    void close() {
        heldLease = null;
        renewalVertx.runOnContext(v -> renewalTask.cancel());
    }

    private Future<Span> step() {
        HeldLease renewedLease = heldLease;
        Moment sentAt = clock.now();
        if (renewedLease == null || sentAt.since(lastEventLoopTurn).compareTo(EVENT_LOOP_TIMEOUT) > 0) {
            return Future.succeededFuture(IDLE_INTERVAL);
        }
        return state.renewLease(renewedLease.leaseId, timeout).map(alive -> {
            if (alive) {
                renewedLease.renewedAt = sentAt;
            } else {
                // Compared on the node's event loop: meanwhile it may have released this lease and gained another.
                nodeVertx.runOnContext(v -> {
                    if (heldLease == renewedLease) {
                        renewedLease.onExpired.run();
                    }
                });
            }
            return interval;
        });
    }
}
