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
    public record Evidence(String subject, long expected, long actual) {
        @Override
        public String toString() {
            return subject + ": " + actual + " where " + expected + " was known";
        }
    }

    private static final int MAX_EVIDENCE = 20;

    private final List<Evidence> evidence = new ArrayList<>();
    private long era;
    private boolean lossPending;

    /** The newest era that this process knows; 0 as long as it knows none. */
    public long era() {
        return era;
    }

    /** Whether data were lost and have not been rebuilt yet. */
    public boolean isLossPending() {
        return lossPending;
    }

    /** The evidence, the latest last. */
    public List<Evidence> evidence() {
        return List.copyOf(evidence);
    }

    /**
     * The era as a transaction has confirmed it, 0 if there is none. True if it shows a loss that was not known.
     */
    public boolean era(long confirmed) {
        if (confirmed > era) {
            era = confirmed;
            lossPending = false;
            return false;
        }
        return confirmed < era && recordLoss(new Evidence("era", era, confirmed));
    }

    /** A transaction was given a revision, after an answer with revision {@code known}: revisions only grow. */
    public boolean checkRevision(long known, long received) {
        return received < known && recordLoss(new Evidence("revision", known, received));
    }

    /** The token counter as leadership is gained, and the highest token that this process has seen in use. */
    public boolean checkCounter(FencingToken highestSeen, FencingToken counter) {
        return counter.value() < highestSeen.value()
                && recordLoss(new Evidence("counter of tokens", highestSeen.value(), counter.value()));
    }

    /** A transaction has confirmed that a record is absent that nobody has removed. */
    public boolean onRecordMissing(String key) {
        return recordLoss(new Evidence("record " + key, 1, 0));
    }

    /** Another controller has found a loss in an era; one before the era that this process knows has been rebuilt already. */
    public boolean onReportedByPeer(long peerEra) {
        return peerEra >= era && era > 0 && recordLoss(new Evidence("another controller's word on era", era, peerEra));
    }

    private boolean recordLoss(Evidence item) {
        if (evidence.size() >= MAX_EVIDENCE) {
            evidence.remove(0);
        }
        evidence.add(item);
        boolean newLoss = !lossPending;
        lossPending = true;
        return newLoss;
    }
}
