package io.indigoreach.core.leadership;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.List;
import java.util.Objects;

/**
 * Determines why the state service does not respond to this node, from the reports of the other nodes:
 *
 * <ul>
 *   <li>If the state service responds to another node, only this node is refused.
 *   <li>If other nodes respond but the state service responds to none of them, there is an outage, during which all
 *       nodes stay ready.
 *   <li>If no node responds, this node is cut off, or an outage coincides with a partition between all nodes. The node
 *       cannot distinguish these cases and can serve no user in either, so it is not ready.
 * </ul>
 *
 * <p>In a deployment of one node every failure counts as an outage.
 *
 * <p>When the load balancer removes a node, users lose it for at least 3 s after it is healthy again, and for twice as
 * long with each further removal within two minutes. So a second verdict of being cut off needs a longer silence: a
 * node with an unstable connection is removed once, and later only for partitions that last longer than the removal.
 */
public final class IsolationCheck {
    /** How this node is connected. */
    public enum Verdict {
        /** The state service serves this node, or no node that responds. */
        TOGETHER,
        /** The state service serves other nodes but not this one. */
        REFUSED_ALONE,
        /** Neither the state service nor another node responds. */
        CUT_OFF
    }

    /** How long all other nodes must be silent before this node counts as cut off; one lost request takes less. */
    static final Span CUT_OFF_AFTER = Span.seconds(4);
    /** The required silence if this node was cut off within the last {@link #REMOVAL_MEMORY}. */
    static final Span CUT_OFF_AGAIN_AFTER = Span.seconds(15);
    /** How long the load balancer remembers that it removed a node. */
    static final Span REMOVAL_MEMORY = Span.seconds(120);

    private Verdict verdict = Verdict.TOGETHER;
    private Moment silentSince = Moment.NEVER;
    private Moment lastCutOffAt = Moment.NEVER;

    /** Whether the load balancer should send users to other nodes. */
    public boolean isOutOfService() {
        return verdict != Verdict.TOGETHER;
    }

    /** Whether neither the state service nor another node responds. */
    public boolean isCutOff() {
        return verdict == Verdict.CUT_OFF;
    }

    /** Records that the state service responds; true if this node was out of service until now. */
    public boolean onStateServiceResponded() {
        boolean wasOutOfService = isOutOfService();
        verdict = Verdict.TOGETHER;
        silentSince = Moment.NEVER;
        return wasOutOfService;
    }

    /**
     * Updates the verdict while the state service does not respond.
     *
     * @param peersServed for each other node whether the state service serves it, or null if the node does not respond
     */
    public Verdict onStateServiceUnresponsive(List<Boolean> peersServed, Moment now) {
        boolean allPeersSilent = !peersServed.isEmpty() && peersServed.stream().allMatch(Objects::isNull);
        if (!allPeersSilent) {
            silentSince = Moment.NEVER;
            verdict = peersServed.contains(true) ? Verdict.REFUSED_ALONE : Verdict.TOGETHER;
            return verdict;
        }
        if (silentSince.equals(Moment.NEVER)) {
            silentSince = now;
        }
        boolean recentlyCutOff =
                !lastCutOffAt.equals(Moment.NEVER) && now.since(lastCutOffAt).compareTo(REMOVAL_MEMORY) < 0;
        Span requiredSilence = recentlyCutOff && verdict != Verdict.CUT_OFF ? CUT_OFF_AGAIN_AFTER : CUT_OFF_AFTER;
        if (now.since(silentSince).compareTo(requiredSilence) >= 0) {
            verdict = Verdict.CUT_OFF;
            lastCutOffAt = now;
        }
        return verdict;
    }
}
