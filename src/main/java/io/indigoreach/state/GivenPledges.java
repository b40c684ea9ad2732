package io.indigoreach.state;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import java.util.function.Supplier;

/**
 * The pledges that this node has given: promises to a leader not to campaign for {@link #PLEDGE_DURATION}. Pledges are kept in
 * memory only, so a new process assumes that the previous process of this node may have given one. Bound to the node's event
 * loop.
 */
final class GivenPledges {
    /** How long a pledge is in force: several pledge request intervals, but no longer than a process takes to start. */
    static final Span PLEDGE_DURATION = Span.seconds(2);

    private final SteadyClock clock;
    private final Moment startedAt;
    private Supplier<Future<Boolean>> leaderlessQuery = () -> Future.succeededFuture(false);
    private Moment boundUntil = Moment.NEVER;
    private boolean predecessorMayHavePledged;

    GivenPledges(SteadyClock clock, boolean hasPeers) {
        this.clock = clock;
        this.startedAt = clock.now();
        this.predecessorMayHavePledged = hasPeers;
    }

    /**
     * Sets the query for a leader among the peers.
     *
     * @param query asks all peers whether they lead; completes with true if each peer has replied that it does not
     */
    void setLeaderlessQuery(Supplier<Future<Boolean>> query) {
        leaderlessQuery = query;
    }

    /** Gives a pledge that is in force for {@link #PLEDGE_DURATION} from now on. */
    void give() {
        boundUntil = clock.now().plus(PLEDGE_DURATION);
    }

    /** Whether a pledge that this process gave is still in force. */
    boolean isBound() {
        return clock.now().isBefore(boundUntil);
    }

    /**
     * Whether a pledge of the previous process of this node may still be in force, unless the deployment is new. It is not once
     * its time has passed, nor if no peer leads: a later leader requests its pledges from this process.
     */
    Future<Boolean> mayPredecessorBeBound() {
        predecessorMayHavePledged &= clock.now().isBefore(startedAt.plus(PLEDGE_DURATION));
        if (!predecessorMayHavePledged) {
            return Future.succeededFuture(false);
        }
        return leaderlessQuery.get().map(noPeerLeads -> {
            predecessorMayHavePledged &= !noPeerLeads;
            return predecessorMayHavePledged;
        });
    }
}
