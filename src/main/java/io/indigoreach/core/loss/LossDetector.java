package io.indigoreach.core.loss;

import io.indigoreach.core.model.FencingToken;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects that the state service has lost data that it had acknowledged. A single read proves nothing, as it may be stale ({@code
 * state.StaleReadDetector}); nor does an outage, a lagging listing or a watch that lost its place. What a transaction has compared is evidence.
 * The era is a record that only a leader writes, under its token, when it begins a new deployment or has rebuilt a lost one: while it is the one
 * that this process knows, no older copy can have replaced the data as a whole; when it is absent or older, everything may be lost.
 *
 * <p>Until a loss is rebuilt no user is told that a job does not exist, and nothing is accepted that may have been there before. A later era ends
 * the loss.
 */
public final class LossDetector {
    /** Evidence of a loss, in words for the operators. */
    public record Finding(String what, long wanted, long found) {
        @Override
        public String toString() {
            return what + ": " + found + " where " + wanted + " was known";
        }
    }

    private static final int MAX_FINDINGS = 20;

    private final List<Finding> findings = new ArrayList<>();
    private long era;
    private boolean holding;

    /** The newest era that this process knows; 0 as long as it knows none. */
    public long era() {
        return era;
    }

    /** Whether data were lost and have not been rebuilt yet. */
    public boolean isHolding() {
        return holding;
    }

    /** The evidence, the latest last. */
    public List<Finding> findings() {
        return List.copyOf(findings);
    }

    /**
     * The era as a transaction has confirmed it, 0 if there is none. True if it shows a loss that was not known.
     */
    public boolean era(long confirmed) {
        if (confirmed > era) {
            era = confirmed;
            holding = false;
            return false;
        }
        return confirmed < era && found(new Finding("era", era, confirmed));
    }

    /** A transaction was given a revision, after an answer with revision {@code known}: revisions only grow. */
    public boolean revision(long known, long given) {
        return given < known && found(new Finding("revision", known, given));
    }

    /** The token counter as leadership is gained, and the highest token that this process has seen in use. */
    public boolean counter(FencingToken seen, FencingToken counted) {
        return counted.value() < seen.value() && found(new Finding("counter of tokens", seen.value(), counted.value()));
    }

    /** A transaction has confirmed that a record is absent that nobody has removed. */
    public boolean recordGone(String key) {
        return found(new Finding("record " + key, 1, 0));
    }

    /** Another controller has found a loss in an era; one before the era that this process knows has been rebuilt already. */
    public boolean reportedByPeer(long otherEra) {
        return otherEra >= era && era > 0 && found(new Finding("another controller's word on era", era, otherEra));
    }

    private boolean found(Finding finding) {
        if (findings.size() >= MAX_FINDINGS) {
            findings.remove(0);
        }
        findings.add(finding);
        boolean is = !holding;
        holding = true;
        return is;
    }
}
