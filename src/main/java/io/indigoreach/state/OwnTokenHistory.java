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
final class OwnTokenHistory {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    private final SteadyClock clock;
    private final Span leaseTime;
    private final TokenGenerator tokens;
    /** Until then nobody else may have led, as far as the time of this node's own last lease tells. */
    private Moment lastLeaseEnd = Moment.NEVER;

    private FencingToken lastToken = FencingToken.NONE;
    /** A campaign without an answer, before which nobody else had led since {@link #last}; null if there was none. */
    private FencingToken unansweredToken;

    private Moment regressionDetectedAt = Moment.NEVER;

    OwnTokenHistory(SteadyClock clock, Span leaseTime, TokenGenerator tokens) {
        this.clock = clock;
        this.leaseTime = leaseTime;
        this.tokens = tokens;
    }

    /** The counter was read: if it shows the token of the unanswered campaign, that one did succeed. */
    void observeCounter(FencingToken counterToken) {
        if (counterToken.equals(unansweredToken)) {
            // That campaign did take the key, and nobody has led since: no leadership of another's comes between.
            lastToken = unansweredToken;
        }
    }

    /** Whether the highest token in use before a campaign was this process's own: nobody else has led since. */
    boolean wasLastLeader(FencingToken highestBefore) {
        return highestBefore.equals(lastToken);
    }

    /** A campaign got no answer, so that {@code token} may or may not have been taken. */
    void recordUnansweredCampaign(FencingToken token, FencingToken highestBefore) {
        if (wasLastLeader(highestBefore)) {
            unansweredToken = token;
        }
    }

    void leadershipGained(FencingToken token) {
        lastToken = token;
        tokens.observe(token);
        regressionDetectedAt = Moment.NEVER;
    }

    /** {@code validUntil}: until when the lease would have allowed this node to lead. */
    void leadershipLost(Moment validUntil) {
        lastLeaseEnd = validUntil;
    }

    /**
     * The counter is below a token that was in use: data were lost. Whoever led may not have noticed and go on until its
     * lease's time is over, unless it was this node.
     */
    boolean mayCampaignAfterRegression() {
        Moment now = clock.now();
        if (regressionDetectedAt.equals(Moment.NEVER)) {
            regressionDetectedAt = now;
            LOG.warn("token counter regressed");
        }
        boolean wasLeader = now.isBefore(lastLeaseEnd) && !tokens.hasObservedAfter(lastToken);
        return wasLeader || now.since(regressionDetectedAt).compareTo(leaseTime.plusClockDrift()) >= 0;
    }

    /** The regression was a stale read: nothing is lost. */
    void clearRegression() {
        regressionDetectedAt = Moment.NEVER;
    }
}
