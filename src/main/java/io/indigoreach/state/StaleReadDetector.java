package io.indigoreach.state;

/**
 * Detects stale reads: answers of the state service that are older than one before. Its revision only grows; an answer
 * with a lower one than this node knew when it asked is stale, and then reads are confirmed for a while.
 */
final class StaleReadDetector {
    /** So many reads are confirmed after a sign that the service answers with the past. */
    static final int READS_TO_CONFIRM = 1000;

    private long highestRevision;
    private int readsToConfirm;

    /** The highest revision seen so far, to be taken note of as a request is sent. */
    long highestRevision() {
        return highestRevision;
    }

    /** An answer had this revision; {@code known} is what {@link #highest} was as its request was sent. */
    void observe(long knownWhenSent, long revision) {
        if (revision < knownWhenSent) {
            suspectReads();
        }
        highestRevision = Math.max(highestRevision, revision);
    }

    /** The service has gone back for good: later answers are compared with this. */
    void restartAt(long revision) {
        highestRevision = revision;
    }

    void suspectReads() {
        readsToConfirm = READS_TO_CONFIRM;
    }

    /** Counts a read: true if it is to be confirmed. */
    boolean shouldConfirm() {
        return readsToConfirm > 0 && readsToConfirm-- > 0;
    }
}
