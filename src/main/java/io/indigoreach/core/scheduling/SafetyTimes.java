package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Span;

/**
 * Times of the platform that safety rests on.
 *
 * @param workerLease a worker without an answer for this long has killed its tasks
 * @param heartbeatPeriod period of the workers' reports
 * @param cancellationTime a cancelled job's tasks must be gone after this long
 * @param listingLag by how much the cloud's list of machines lags, sometimes up to twice that
 */
public record SafetyTimes(Span workerLease, Span heartbeatPeriod, Span cancellationTime, Span listingLag) {
    private static final Span MARGIN = Span.seconds(0.3);

    /** After this long without an answered report, nothing runs on a machine: its lease, drift and a margin. */
    public Span leaseBound() {
        return workerLease.withDrift().plus(MARGIN);
    }

    /**
     * The longest that a leader may go on without news of cancellations: then its workers' leases, and a margin, still end
     * before a cancelled job's time is over.
     */
    public Span maxCancellationAge() {
        return cancellationTime.minus(leaseBound()).minus(Span.seconds(4));
    }

    /** A worker without an answer tries the next node after this long. */
    public Span responseTimeout() {
        return Span.seconds(4);
    }

    /** A worker whose node is gone finds the leader in its patience, a second to the next node, half to move, and the way. */
    public Span leaderDiscovery() {
        return responseTimeout().plus(Span.seconds(2.5));
    }

    /** A report that has not come this long after the one before it is late: its longest interval, and the way. */
    public Span heartbeatOverdue() {
        return heartbeatPeriod.times(1.25).withDrift().plus(Span.seconds(1));
    }

    /**
     * After this long without a report a machine is most likely hanging or dead: a report at its longest interval, half a
     * usual one more, and a second for the way.
     */
    public Span suspicionTimeout() {
        return heartbeatPeriod.times(1.25 + 0.5).withDrift().plus(Span.seconds(1));
    }

    /** A list asked for now describes a moment that is at most this long ago. */
    public Span oldestListing() {
        return listingLag.times(2).withDrift().plus(Span.seconds(1));
    }
}
