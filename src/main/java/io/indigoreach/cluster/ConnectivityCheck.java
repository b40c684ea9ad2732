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
 * Checks every second whether this node can reach the state service. A node cannot tell an outage of the service from a
 * failure that affects only itself, so it queries its peers ({@link IsolationCheck}). If only this node is affected, or
 * if it is isolated, it reports itself as not ready, and the load balancer sends users to other nodes. During an outage
 * it stays ready, as removing all nodes and adding them again would cost more than the outage does. A leader that alone
 * cannot reach the service resigns and requests that a peer remove its leadership key, so that its successor need not
 * wait for the lease to expire. Bound to the node's event loop.
 */
final class ConnectivityCheck {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectivityCheck.class);
    private static final Span PERIOD = Span.seconds(1);
    /** Age from which a response of the state service no longer shows that the service is reachable. */
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
    /** Whether the last request to the state service failed. */
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

    /** Triggers a check now, or as soon as the check in progress has ended. */
    void checkNow() {
        task.wake();
    }

    /**
     * Whether other nodes should serve users: only this node cannot reach the state service, or this node is isolated.
     */
    boolean isOutOfService() {
        return isolation.isOutOfService();
    }

    /** Whether the last request to the state service failed. */
    boolean isStateUnreachable() {
        return stateUnreachable;
    }

    /**
     * Whether the last request to the state service succeeded, within {@link #MAX_RESPONSE_AGE}. During the first
     * second of an outage, nodes still report the service as reachable; a leader therefore queries them twice.
     */
    boolean isStateReachable() {
        return !stateUnreachable && clock.now().since(lastResponseAt).compareTo(MAX_RESPONSE_AGE) < 0;
    }

    /**
     * Whether the state service has been unreachable for so long that, if this is an outage, the peers have detected it
     * as well. False if this node's event loop was blocked in that time, because that could be the cause.
     */
    private boolean isUnreachableLongEnough() {
        Span requiredUnreachableTime = MAX_RESPONSE_AGE.times(2);
        return loopMonitor.hasRunWithoutPauseFor(requiredUnreachableTime)
                && clock.now().since(lastResponseAt).compareTo(requiredUnreachableTime) >= 0;
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
     * Logs a changed verdict; true if two verdicts in a row are that only this node cannot reach the state service.
     * Guards against a leader whose requests fail just before an outage: its peers had not detected the outage yet and
     * reported that they reached the service, so the leader resigned when no other node could be elected, and all
     * running work was lost. Waiting for the second verdict has no cost, as the lease expires by then in any case.
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
