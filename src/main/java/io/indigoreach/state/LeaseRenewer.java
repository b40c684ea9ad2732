package io.indigoreach.state;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * Renews the leader's lease on an event loop and a connection of its own. On the node's loop a renewal waits its turn: a
 * node that had never led took the leadership, was handed 450 machines at once, did not come to renew for 4.5 s, and the
 * leadership passed to another cold node with the same herd. The loop of the node must turn all the same: one that hangs
 * loses its lease.
 */
final class LeaseRenewer {
    /** The node's loop has not turned for so long that another node had better lead. */
    private static final Span EVENT_LOOP_TIMEOUT = Span.seconds(10);

    private static final Span IDLE_INTERVAL = Span.seconds(0.25);

    /**
     * The lease that is kept, and when its last answered renewal was sent. Each lease has its own: an answer that comes
     * after this lease was let go and another was taken says nothing about the new one.
     */
    private static final class HeldLease {
        final long leaseId;
        /** Run on the node's event loop when the service reports that the lease has ended. */
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

    /** {@code nodeVertx} runs the node's event loop; renewals run on that of {@code renewals}. */
    LeaseRenewer(Vertx nodeVertx, StateAccess renewals, SteadyClock clock, Span leaseTime) {
        this.nodeVertx = nodeVertx;
        this.renewalVertx = renewals.vertx();
        this.state = renewals.client();
        this.clock = clock;
        // Often: how long an outage is bridged counts from the last renewal before it.
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

    /** When the last renewal that was answered was sent. */
    Moment renewedAt() {
        HeldLease current = heldLease;
        return current == null ? Moment.NEVER : current.renewedAt;
    }

    /** The node's loop turns. */
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
                // Asked again there: the lease may have been let go meanwhile, and the leadership taken anew.
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
