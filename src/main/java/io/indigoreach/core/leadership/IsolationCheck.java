package io.indigoreach.core.leadership;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.List;
import java.util.Objects;

/**
 * Why the state service does not answer this node, judged by what the other nodes report. If one of them is served, this node alone is refused. If
 * any answers and none is served, it is an outage, in which all stay ready. If none answers, this node is cut off, or an outage coincides with a
 * partition between all nodes: it cannot tell which, and nobody can be served by it in either case, so it is not ready. In a deployment of one
 * node, with nobody to ask, everything counts as an outage.
 *
 * <p>A removal by the load balancer costs users at least 3 s after the node is healthy again, and twice as much each time within two minutes. So a
 * second verdict of being cut off needs a longer silence: a node with an unstable connection is removed once, and later only for
 * partitions that are longer than the pause that they cause.
 */
public final class IsolationCheck {
    /** The state of this node. */
    public enum Verdict {
        /** Served, or unserved together with all other nodes. */
        TOGETHER,
        /** The state service serves others but not this node. */
        REFUSED_ALONE,
        /** Neither the state service nor another node answers. */
        CUT_OFF
    }

    /** Silence of all others before a node counts as cut off: longer than the loss of one request. */
    static final Span CUT_OFF_AFTER = Span.seconds(4);
    /** The same for a node that was cut off within {@link #REMOVAL_REMEMBERED}. */
    static final Span CUT_OFF_AGAIN_AFTER = Span.seconds(15);
    /** For how long the load balancer remembers that it has removed a node. */
    static final Span REMOVAL_MEMORY = Span.seconds(120);

    private Verdict verdict = Verdict.TOGETHER;
    private Moment silentSince = Moment.NEVER;
    private Moment lastCutOffAt = Moment.NEVER;

    /** Whether users are better served by another node. */
    public boolean isOutOfService() {
        return verdict != Verdict.TOGETHER;
    }

    public boolean isCutOff() {
        return verdict == Verdict.CUT_OFF;
    }

    /** The state service answers; true if this ends a verdict. */
    public boolean onStateServiceResponded() {
        boolean wasOutOfService = isOutOfService();
        verdict = Verdict.TOGETHER;
        silentSince = Moment.NEVER;
        return wasOutOfService;
    }

    /**
     * The state service surely does not answer.
     *
     * @param others for each other node whether it is served, null if it does not answer
     */
    public Verdict onStateServiceUnresponsive(List<Boolean> peersServed, Moment now) {
        boolean allSilent = !peersServed.isEmpty() && peersServed.stream().allMatch(Objects::isNull);
        if (!allSilent) {
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
