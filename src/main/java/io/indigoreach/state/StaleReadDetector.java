package io.indigoreach.state;

/**
 * Whether the state service keeps its word that no answer is older than one before. Its revision only grows; an answer
 * with a lower one than this node knew when it asked comes from the past, and then reads are doubted for a while.
 */
final class StaleReadDetector {
    /** So many reads are confirmed after a sign that the service answers with the past. */
    static final int READS_TO_CONFIRM = 1000;

    private long highest;
    private int readsToConfirm;

    /** The highest revision told so far, to be taken note of as a request is sent. */
    long highest() {
        return highest;
    }

    /** An answer told its revision; {@code known} is what {@link #highest} was as its request was sent. */
    void observe(long known, long revision) {
        if (revision < known) {
            suspectReads();
        }
        highest = Math.max(highest, revision);
    }

    /** The service has gone back for good: what it tells from now on is measured by this. */
    void restartAt(long revision) {
        highest = revision;
    }

    void suspectReads() {
        readsToConfirm = READS_TO_CONFIRM;
    }

    /** Counts a read: true if it is to be confirmed. */
    boolean shouldConfirm() {
        return readsToConfirm > 0 && readsToConfirm-- > 0;
    }
}
