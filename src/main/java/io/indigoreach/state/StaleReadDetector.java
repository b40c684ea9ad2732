package io.indigoreach.state;

/**
 * Detects stale reads: responses of the state service that are older than an earlier one. The revision of the store only grows, so
 * a response with a lower revision than this node had seen when it sent the request is stale. After a stale read, the next
 * {@link #READS_TO_CONFIRM} reads must be confirmed.
 */
final class StaleReadDetector {
    /** The number of reads to confirm after a stale read. */
    static final int READS_TO_CONFIRM = 1000;

    private long highestRevision;
    private int readsToConfirm;

    /** The highest revision seen so far; callers save it when they send a request. */
    long highestRevision() {
        return highestRevision;
    }

    /** Records the revision of a response; {@code knownWhenSent} is the value of {@link #highestRevision} when the request was sent. */
    void observe(long knownWhenSent, long revision) {
        if (revision < knownWhenSent) {
            suspectReads();
        }
        highestRevision = Math.max(highestRevision, revision);
    }

    /** Resets the highest revision after the service has lost data and continues from a lower one. */
    void restartAt(long revision) {
        highestRevision = revision;
    }

    void suspectReads() {
        readsToConfirm = READS_TO_CONFIRM;
    }

    /** Counts one read; true if it must be confirmed. */
    boolean shouldConfirm() {
        return readsToConfirm > 0 && readsToConfirm-- > 0;
    }
}
