package io.indigoreach.state;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;

/**
 * Determines until when a leader may act. Its lease time counts from the sending of the last renewal that succeeded, less clock
 * drift, so the leader stops before the state service can expire the lease and let another node lead. During an outage of the
 * state service, pledges of all peers extend this time. Bound to the node's event loop.
 */
final class LeadershipValidity {
    /** Time without a successful renewal after which the leader requests pledges from its peers. */
    private static final Span RENEWAL_OVERDUE = Span.seconds(1.5);
    /** Safety margin that is subtracted from the time of a lease or pledge, in addition to clock drift. */
    private static final long MARGIN_MS = 200;

    /** The clocks of two machines drift apart by at most one part in this many of the elapsed time. */
    private static final long DRIFT_DIVISOR = 1000;

    private final SteadyClock clock;
    private final LeaseRenewer renewer;
    private final Span leaseTime;
    private Moment pledgedUntil = Moment.NEVER;

    LeadershipValidity(SteadyClock clock, LeaseRenewer renewer, Span leaseTime) {
        this.clock = clock;
        this.renewer = renewer;
        this.leaseTime = leaseTime;
    }

    /** Whether the lease or the peers' pledges allow the leader to act now. */
    boolean isValid() {
        Moment now = clock.now();
        return now.isBefore(leaseValidUntil()) || now.isBefore(pledgedUntil);
    }

    /** The time until which the lease alone allows the leader to act. */
    Moment leaseValidUntil() {
        return renewer.renewedAt().plus(safeTime(leaseTime));
    }

    /**
     * Whether the last successful lease renewal is so long before {@code now} that the leader should request pledges.
     */
    boolean isRenewalOverdue(Moment now) {
        return now.since(renewer.renewedAt()).compareTo(RENEWAL_OVERDUE) >= 0;
    }

    /** Extends the validity after all peers have given the pledges that were requested at {@code requestedAt}. */
    void extendByPledges(Moment requestedAt) {
        pledgedUntil = requestedAt.plus(safeTime(GivenPledges.PLEDGE_DURATION));
    }

    /** Discards the pledges received so far, because leadership was gained or lost. */
    void clearPledges() {
        pledgedUntil = Moment.NEVER;
    }

    private static Span safeTime(Span time) {
        return new Span(time.ms() - time.ms() / DRIFT_DIVISOR - MARGIN_MS);
    }
}
