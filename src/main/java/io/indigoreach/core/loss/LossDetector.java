package io.indigoreach.core.loss;

import io.indigoreach.core.model.FencingToken;
import java.util.ArrayList;
import java.util.List;

/**
 * Whether the state service has lost what it had acknowledged, judged by evidence. A single read proves nothing, as it may
 * come from the past ({@code state.Freshness}), nor does an outage, a lagging list or a watch that lost its place; what a
 * transaction has compared does. The era is a record that only a leader writes, under its token, when it begins a new
 * deployment or has rebuilt a lost one: while it is the one that this process knows, nothing older can have come back in
 * whole; when it is gone or older, everything may be gone.
 *
 * <p>While a loss is not mended nobody is told that a job does not exist, and nothing is accepted that may have been there
 * before. A later era mends it.
 */
public final class LossDetector {
    /** What showed that data were lost, in words for a person. */
    public record Finding(String what, long wanted, long found) {
        @Override
        public String toString() {
            return what + ": " + found + " where " + wanted + " was known";
        }
    }

    private static final int KEPT = 20;

    private final List<Finding> findings = new ArrayList<>();
    private long era;
    private boolean holding;

    /** The newest era that this process knows; 0 as long as it knows none. */
    public long era() {
        return era;
    }

    public boolean isHolding() {
        return holding;
    }

    /** What was found, the latest last. */
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

    /** A transaction was given a revision, after an answer that told {@code known}: revisions only grow. */
    public boolean revision(long known, long given) {
        return given < known && found(new Finding("revision", known, given));
    }

    /** The counter of tokens as a leadership is taken, beside the highest token that this process has seen in use. */
    public boolean counter(FencingToken seen, FencingToken counted) {
        return counted.value() < seen.value() && found(new Finding("counter of tokens", seen.value(), counted.value()));
    }

    /** A record that nobody has removed is gone, as a transaction has confirmed. */
    public boolean gone(String key) {
        return found(new Finding("record " + key, 1, 0));
    }

    /** Another controller has found a loss in the era that this process knows too; later ones are mended already. */
    public boolean told(long otherEra) {
        return otherEra >= era && era > 0 && found(new Finding("another controller's word on era", era, otherEra));
    }

    private boolean found(Finding finding) {
        if (findings.size() >= KEPT) {
            findings.remove(0);
        }
        findings.add(finding);
        boolean is = !holding;
        holding = true;
        return is;
    }
}
