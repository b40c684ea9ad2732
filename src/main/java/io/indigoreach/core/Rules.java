package io.indigoreach.core;

/**
 * Times of the platform that safety rests on.
 *
 * @param workerLease a worker without an answer for this long has killed its tasks
 * @param report period of the workers' reports
 * @param cancel a cancelled job's tasks must be gone after this long
 */
public record Rules(Span workerLease, Span report, Span cancel) {
    private static final Span MARGIN = Span.seconds(0.3);

    /** After this long without an answered report, nothing runs on a machine: its lease, drift and a margin. */
    public Span leaseBound() {
        return workerLease.withDrift().plus(MARGIN);
    }
}
