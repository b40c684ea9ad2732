package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Span;

/**
 * Periods and timeouts on which the safety of the protocol depends.
 *
 * @param workerLease a worker kills its tasks after this long without an answer
 * @param heartbeatPeriod period of the workers' heartbeats
 * @param cancellationTime time within which all tasks of a cancelled job must have ended
 * @param listingLag usual lag of the cloud's listing of machines; the lag can reach twice this value
 */
public record SafetyTimes(Span workerLease, Span heartbeatPeriod, Span cancellationTime, Span listingLag) {
    private static final Span LEASE_MARGIN = Span.seconds(0.3);
    /** The longest interval between two heartbeats, as a multiple of their period. */
    private static final double LONGEST_INTERVAL_FACTOR = 1.25;
    /** Allowance of the suspicion timeout beyond the longest interval, as a multiple of the heartbeat period. */
    private static final double SUSPICION_ALLOWANCE_FACTOR = 0.5;

    /**
     * Time without an answered heartbeat after which no task runs on a machine: its lease plus clock drift and a
     * margin.
     */
    public Span leaseBound() {
        return workerLease.plusClockDrift().plus(LEASE_MARGIN);
    }

    /**
     * How long a leader may continue to renew leases without reading cancellations. The workers' leases, plus a margin,
     * then still end within the cancellation time.
     */
    public Span maxCancellationAge() {
        return cancellationTime.minus(leaseBound()).minus(Span.seconds(4));
    }

    /** Time after which a worker without an answer tries the next node. */
    public Span responseTimeout() {
        return Span.seconds(4);
    }

    /**
     * Time within which a worker whose node has failed finds the leader: its response timeout, one second to try the
     * next node, half a second to move to the leader, and latency.
     */
    public Span leaderDiscovery() {
        return responseTimeout().plus(Span.seconds(2.5));
    }

    /** Time after the previous heartbeat at which the next one is overdue: the longest interval plus latency. */
    public Span heartbeatOverdue() {
        return heartbeatPeriod.times(LONGEST_INTERVAL_FACTOR).plusClockDrift().plus(Span.seconds(1));
    }

    /**
     * Time without a heartbeat after which a machine is presumed to hang or to be dead: the longest interval, half a
     * regular interval, and a second of latency.
     */
    public Span suspicionTimeout() {
        return heartbeatPeriod
                .times(LONGEST_INTERVAL_FACTOR + SUSPICION_ALLOWANCE_FACTOR)
                .plusClockDrift()
                .plus(Span.seconds(1));
    }

    /** How old the state in a listing can be at most, counted back from the time of the request. */
    public Span oldestListing() {
        return listingLag.times(2).plusClockDrift().plus(Span.seconds(1));
    }
}
