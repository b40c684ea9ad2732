package io.indigoreach.core.loss;

import io.indigoreach.core.model.FencingToken;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects that the state service has lost data that it had acknowledged. Only the comparisons of a transaction are evidence: a single read may be
 * stale ({@code state.StaleReadDetector}), and an outage, a lagging listing or a watch that lost its position prove nothing.
 *
 * <p>The era is a record that only a leader writes, under its token, when it starts a new deployment or has rebuilt lost data. While it has the
 * value that this process knows, no older copy can have replaced all the data. If it is absent or older, everything may be lost.
 *
 * <p>Until lost data are rebuilt, no response to a user says that a job does not exist, and no job is accepted that may have existed before. A
 * later era ends the loss.
 */
public final class LossDetector {
    /** Evidence of a loss for the operators: the value that was known, and the lower one that was found. */
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

    /** Returns the newest era that this process knows, or 0 if it knows none. */
    public long era() {
        return era;
    }

    /** Whether data were lost and are not rebuilt yet. */
    public boolean isLossPending() {
        return lossPending;
    }

    /** Returns the latest evidence, oldest first. */
    public List<Evidence> evidence() {
        return List.copyOf(evidence);
    }

    /**
     * Checks the era that a transaction has confirmed, 0 if the record is absent. Like the other checks, returns true if it detects a loss
     * while none was known.
     */
    public boolean era(long confirmed) {
        if (confirmed > era) {
            era = confirmed;
            lossPending = false;
            return false;
        }
        return confirmed < era && recordLoss(new Evidence("era", era, confirmed));
    }

    /**
     * Records a loss if the revision of a transaction is below {@code known}, the revision of an earlier response;
     * revisions only increase.
     */
    public boolean checkRevision(long known, long received) {
        return received < known && recordLoss(new Evidence("revision", known, received));
    }

    /** Checks the token counter, read when leadership was gained, against the highest token that this process has seen in use. */
    public boolean checkCounter(FencingToken highestSeen, FencingToken counter) {
        return counter.value() < highestSeen.value()
                && recordLoss(new Evidence("counter of tokens", highestSeen.value(), counter.value()));
    }

    /** Records that a transaction has confirmed the absence of a record that no node has removed. */
    public boolean onRecordMissing(String key) {
        return recordLoss(new Evidence("record " + key, 1, 0));
    }

    /** Records a loss that another controller detected in an era; losses in eras before this process's are already rebuilt. */
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
