package io.indigoreach.cluster;

import io.indigoreach.core.leadership.IsolationCheck;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.EventLoopMonitor;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks each second whether the state service answers this node. A node cannot tell an outage from a refusal that only it gets,
 * so it asks its peers ({@link IsolationCheck}). Refused alone or cut off, it is not ready and users are sent elsewhere; in an
 * outage it stays ready, as being taken out and back in would cost more than the outage does. A leader that is refused alone
 * steps aside, and asks a peer to remove its key, so that its lease need not expire first. Bound to the node's event loop.
 */
final class ConnectivityCheck {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectivityCheck.class);
    private static final Span PERIOD = Span.seconds(1);
    /** An answer of the state service that is older proves nothing about now. */
    private static final Span MAX_RESPONSE_AGE = Span.seconds(2);

    private final SteadyClock clock;
    private final EventLoopMonitor loopMonitor;
    private final StateClient state;
    private final Controller controller;
    private final PeerClient peers;
    private final PeriodicTask task;
    private final IsolationCheck isolation = new IsolationCheck();
    private IsolationCheck.Verdict lastVerdict = IsolationCheck.Verdict.TOGETHER;
    private Moment lastResponseAt;
    /** The state service did not answer this node when it was last asked. */
    private boolean stateUnreachable;

    ConnectivityCheck(NodeContext context, Controller controller, PeerClient peers) {
        this.clock = context.clock();
        this.loopMonitor = context.loopMonitor();
        this.state = context.state();
        this.controller = controller;
        this.peers = peers;
        this.lastResponseAt = clock.now();
        this.task = new PeriodicTask(context.vertx(), "connectivity", PERIOD, this::step);
    }

    void start() {
        task.start();
    }

    void stop() {
        task.cancel();
    }

    /** Checks at once, or right after the check in progress. */
    void checkNow() {
        task.wake();
    }

    /** Whether users are better off elsewhere: the state service serves other nodes but not this one, or nobody answers it. */
    boolean isOutOfService() {
        return isolation.isOutOfService();
    }

    /** Whether the last request to the state service was not answered. */
    boolean isStateUnreachable() {
        return stateUnreachable;
    }

    /**
     * Whether the last request was answered, and lately. In the first second of an outage nodes still report that they are served, so a leader asks
     * them twice.
     */
    boolean isStateReachable() {
        return !stateUnreachable && clock.now().since(lastResponseAt).compareTo(MAX_RESPONSE_AGE) < 0;
    }

    /** Long enough that in an outage the peers have noticed too, and not because this node's own event loop was blocked. */
    private boolean isUnreachableLongEnough() {
        Span requiredTime = MAX_RESPONSE_AGE.times(2);
        return loopMonitor.hasRunWithoutPauseFor(requiredTime)
                && clock.now().since(lastResponseAt).compareTo(requiredTime) >= 0;
    }

    private Future<Span> step() {
        return state.checkEra()
                .map(response -> {
                    lastResponseAt = clock.now();
                    return false;
                })
                .onComplete(result -> stateUnreachable = result.failed())
                .recover(e -> isOnlyThisNodeAffected())
                .map(onlyThisNodeAffected -> {
                    applyResult(onlyThisNodeAffected);
                    return PERIOD;
                });
    }

    private Future<Boolean> isOnlyThisNodeAffected() {
        if (!isUnreachableLongEnough()) {
            return Future.succeededFuture(false);
        }
        return peers.canPeersReachState()
                .map(responses -> isolation.onStateServiceUnresponsive(responses, clock.now()))
                .map(this::isRepeatedRefusal);
    }

    /**
     * Logs a changed verdict; true if this node alone is refused, by two verdicts in a row. Guards against a leader that was refused just
     * before an outage: its peers had not noticed the outage yet and reported that they were served, so it stepped aside where nobody could
     * follow, and all work of the fleet was lost. The second verdict costs nothing, as the lease ends by then in any case.
     */
    private boolean isRepeatedRefusal(IsolationCheck.Verdict verdict) {
        boolean repeated = verdict == lastVerdict;
        if (!repeated) {
            lastVerdict = verdict;
            log(verdict);
        }
        return repeated && verdict == IsolationCheck.Verdict.REFUSED_ALONE;
    }

    private static void log(IsolationCheck.Verdict verdict) {
        switch (verdict) {
            case REFUSED_ALONE -> LOG.info("state service unreachable from this node only verdict=REFUSED_ALONE");
            case CUT_OFF -> LOG.info("node isolated verdict=CUT_OFF");
            case TOGETHER -> LOG.info("state service outage verdict=TOGETHER");
        }
    }

    private void applyResult(boolean onlyThisNodeAffected) {
        if (!stateUnreachable && isolation.onStateServiceResponded()) {
            lastVerdict = IsolationCheck.Verdict.TOGETHER;
            LOG.info("state service reachable");
        }
        controller.setIsolated(isolation.isCutOff());
        if (state.losses().isLossPending()) {
            peers.announceLoss(state.losses().era());
        }
        Revision leadershipRevision = onlyThisNodeAffected ? controller.resign() : null;
        if (leadershipRevision != null) {
            peers.requestHandover(leadershipRevision);
        }
    }
}
