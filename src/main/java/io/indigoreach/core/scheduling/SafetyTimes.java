package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Span;

/**
 * Times of the platform that safety rests on.
 *
 * @param workerLease a worker without an answer for this long has killed its tasks
 * @param heartbeatPeriod period of the workers' heartbeats
 * @param cancellationTime a cancelled job's tasks must be gone after this long
 * @param listingLag by how much the cloud's listing of machines lags, sometimes up to twice that
 */
public record SafetyTimes(Span workerLease, Span heartbeatPeriod, Span cancellationTime, Span listingLag) {
    private static final Span MARGIN = Span.seconds(0.3);

    /** After this long without an answered heartbeat, nothing runs on a machine: its lease, drift and a margin. */
    public Span leaseBound() {
        return workerLease.plusClockDrift().plus(MARGIN);
    }

    /**
     * The longest that a leader may go on without reading cancellations: then its workers' leases, and a margin, still end
     * before a cancelled job's time is over.
     */
    public Span maxCancellationAge() {
        return cancellationTime.minus(leaseBound()).minus(Span.seconds(4));
    }

    /** A worker without an answer tries the next node after this long. */
    public Span responseTimeout() {
        return Span.seconds(4);
    }

    /** A worker whose node has failed finds the leader within its timeout, a second to the next node, half to move, and latency. */
    public Span leaderDiscovery() {
        return responseTimeout().plus(Span.seconds(2.5));
    }

    /** A heartbeat that has not arrived this long after the previous one is overdue: its longest interval, and latency. */
    public Span heartbeatOverdue() {
        return heartbeatPeriod.times(1.25).plusClockDrift().plus(Span.seconds(1));
    }

    /**
     * After this long without a heartbeat a machine is most likely hanging or dead: a heartbeat at its longest interval, half
     * a usual one more, and a second of latency.
     */
    public Span suspicionTimeout() {
        return heartbeatPeriod.times(1.25 + 0.5).plusClockDrift().plus(Span.seconds(1));
    }

    /** A listing requested now describes a moment that is at most this long ago. */
    public Span oldestListing() {
        return listingLag.times(2).plusClockDrift().plus(Span.seconds(1));
    }
}
