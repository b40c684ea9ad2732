package io.indigoreach.core.leadership;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.List;

/**
 * What a node is to think of itself that the state service surely does not answer, by what the other nodes say. If one of them
 * is served, this node alone is refused. If any answers and none is served, it is an outage, in which all stay ready. If none
 * answers, this node is cut off, or an outage meets a cut between all nodes. It cannot tell which, and nobody can be
 * served by it in either, so it is not ready. A deployment of one node has nobody to ask: to it everything is an outage.
 *
 * <p>A removal costs users at least 3 s after the node is healthy again, and twice as much each time within two minutes. So a
 * second verdict of being cut off needs a long silence: a node that is in and out of touch is removed once, and later only for
 * cuts that are longer than the pause that they bring.
 */
public final class IsolationCheck {
    /** What the node is. */
    public enum Verdict {
        TOGETHER,
        REFUSED_ALONE,
        CUT_OFF
    }

    /** Silence of all others before a node calls itself cut off: more than one question of theirs lost. */
    static final Span SILENT = Span.seconds(4);
    /** The same for a node that was cut off within {@link #REMEMBERED}. */
    static final Span SILENT_AGAIN = Span.seconds(15);
    /** For how long the balancer remembers that it has removed a node. */
    static final Span REMEMBERED = Span.seconds(120);

    private Verdict verdict = Verdict.TOGETHER;
    private Moment silentSince = Moment.NEVER;
    private Moment lastCutOff = Moment.NEVER;

    /** Whether users are better off with another node. */
    public boolean isOutOfService() {
        return verdict != Verdict.TOGETHER;
    }

    public boolean isCutOff() {
        return verdict == Verdict.CUT_OFF;
    }

    /** The state service answers; true if this ends a verdict. */
    public boolean served() {
        boolean ends = isOutOfService();
        verdict = Verdict.TOGETHER;
        silentSince = Moment.NEVER;
        return ends;
    }

    /**
     * The state service surely does not answer.
     *
     * @param others for each other node whether it is served, null if it does not answer
     */
    public Verdict unserved(List<Boolean> others, Moment now) {
        boolean silent = !others.isEmpty() && others.stream().allMatch(o -> o == null);
        if (!silent) {
            silentSince = Moment.NEVER;
            verdict = others.contains(true) ? Verdict.REFUSED_ALONE : Verdict.TOGETHER;
            return verdict;
        }
        if (silentSince.equals(Moment.NEVER)) {
            silentSince = now;
        }
        boolean again =
                !lastCutOff.equals(Moment.NEVER) && now.since(lastCutOff).compareTo(REMEMBERED) < 0;
        Span enough = again && verdict != Verdict.CUT_OFF ? SILENT_AGAIN : SILENT;
        if (now.since(silentSince).compareTo(enough) >= 0) {
            verdict = Verdict.CUT_OFF;
            lastCutOff = now;
        }
        return verdict;
    }
}
