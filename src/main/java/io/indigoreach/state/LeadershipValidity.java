package io.indigoreach.state;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;

/**
 * Until when a leader may act. Its lease counts from when the last answered renewal was sent, less clock drift, so that the
 * leader stops before the state service can let another one in. While the state service answers nobody, the pledges of all
 * peers extend this time. Bound to the node's event loop.
 */
final class LeadershipValidity {
    /** Renewals that have not been answered for so long are reason to ask the peers for pledges. */
    private static final Span RENEWAL_OVERDUE = Span.seconds(1.5);
    /** A lease or pledge is used for its time less this margin and less {@link #DRIFT_DIVISOR}. */
    private static final long MARGIN_MS = 200;

    /** Clocks of two machines differ by no more than this part of a time. */
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

    /** Whether the lease or the peers' pledges allow a leader to act at this moment. */
    boolean isValid() {
        Moment now = clock.now();
        return now.isBefore(leaseValidUntil()) || now.isBefore(pledgedUntil);
    }

    /** Until when the lease alone allows it. */
    Moment leaseValidUntil() {
        return renewer.renewedAt().plus(safeTime(leaseTime));
    }

    /** Whether renewals have gone unanswered for so long at {@code now} that the peers should be asked for pledges. */
    boolean isRenewalOverdue(Moment now) {
        return now.since(renewer.renewedAt()).compareTo(RENEWAL_OVERDUE) >= 0;
    }

    /** All peers have given the pledges for which they were asked at {@code askedAt}. */
    void extendByPledges(Moment requestedAt) {
        pledgedUntil = requestedAt.plus(safeTime(GivenPledges.PLEDGE_TIME));
    }

    /** Pledges received so far count no more, as leadership was gained or lost. */
    void clearPledges() {
        pledgedUntil = Moment.NEVER;
    }

    private static Span safeTime(Span time) {
        return new Span(time.ms() - time.ms() / DRIFT_DIVISOR - MARGIN_MS);
    }
}
