package io.indigoreach.state;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fencing tokens under which this process has led, compared with the counter in the state service: whether another
 * leadership came between, and how long to wait where the counter has lost data. Bound to the node's event loop.
 */
final class OwnTokens {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    private final SteadyClock clock;
    private final Span leaseTime;
    private final TokenGenerator tokens;
    /** Until then nobody else may have led, as far as the time of this node's own last lease tells. */
    private Moment ledUntil = Moment.NEVER;

    private FencingToken last = FencingToken.NONE;
    /** A campaign without an answer, before which nobody else had led since {@link #last}; null if there was none. */
    private FencingToken unanswered;

    private Moment regressionSeenAt = Moment.NEVER;

    OwnTokens(SteadyClock clock, Span leaseTime, TokenGenerator tokens) {
        this.clock = clock;
        this.leaseTime = leaseTime;
        this.tokens = tokens;
    }

    /** The counter was read: if it shows the token of the unanswered campaign, that one did succeed. */
    void counterRead(FencingToken counted) {
        if (counted.equals(unanswered)) {
            // That campaign did take the key, and nobody has led since: no leadership of another's comes between.
            last = unanswered;
        }
    }

    /** Whether the highest token in use before a campaign was this process's own: nobody else has led since. */
    boolean isLast(FencingToken highestBefore) {
        return highestBefore.equals(last);
    }

    /** A campaign got no answer, so that {@code token} may or may not have been taken. */
    void campaignUnanswered(FencingToken token, FencingToken highestBefore) {
        if (isLast(highestBefore)) {
            unanswered = token;
        }
    }

    void gained(FencingToken token) {
        last = token;
        tokens.observe(token);
        regressionSeenAt = Moment.NEVER;
    }

    /** {@code validUntil}: until when the lease would have allowed this node to lead. */
    void lost(Moment validUntil) {
        ledUntil = validUntil;
    }

    /**
     * The counter is below a token that was in use: data were lost. Whoever led may not have noticed and go on until its
     * lease's time is over, unless it was this node.
     */
    boolean mayCampaignAfterRegression() {
        Moment now = clock.now();
        if (regressionSeenAt.equals(Moment.NEVER)) {
            regressionSeenAt = now;
            LOG.warn("token counter regressed");
        }
        boolean wasLeader = now.isBefore(ledUntil) && !tokens.hasObservedAfter(last);
        return wasLeader || now.since(regressionSeenAt).compareTo(leaseTime.plusClockDrift()) >= 0;
    }

    /** The regression was a stale read: nothing is lost. */
    void regressionRefuted() {
        regressionSeenAt = Moment.NEVER;
    }
}
