package io.indigoreach.state;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import java.util.function.Supplier;

/**
 * The pledges that this node has given: promises to a leader not to campaign for {@link #PLEDGE_TIME}. Pledges are kept in
 * memory only, so a process that has just started reckons with one that its predecessor may have given. Bound to the node's
 * event loop.
 */
final class GivenPledges {
    /** For how long a pledge binds: some pledge requests, and no longer than a process takes to start. */
    static final Span PLEDGE_TIME = Span.seconds(2);

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

    /** {@code whetherNobodyLeads}: asks all peers; true if all have answered that they do not lead. */
    void setLeaderlessQuery(Supplier<Future<Boolean>> query) {
        leaderlessQuery = query;
    }

    /** Promises not to campaign for {@link #PLEDGE_TIME} from now on. */
    void give() {
        boundUntil = clock.now().plus(PLEDGE_TIME);
    }

    /** Whether a pledge of this process still binds. */
    boolean isBound() {
        return clock.now().isBefore(boundUntil);
    }

    /**
     * Whether a pledge of the process before this one may still bind, unless the deployment is new. It does not once its time
     * is over, nor if nobody leads to whom it was given: whoever leads from now on asks this process.
     */
    Future<Boolean> mayPredecessorBeBound() {
        predecessorMayHavePledged &= clock.now().isBefore(startedAt.plus(PLEDGE_TIME));
        if (!predecessorMayHavePledged) {
            return Future.succeededFuture(false);
        }
        return leaderlessQuery.get().map(noPeerLeads -> {
            predecessorMayHavePledged &= !noPeerLeads;
            return predecessorMayHavePledged;
        });
    }
}
