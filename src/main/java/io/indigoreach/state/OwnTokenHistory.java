package io.indigoreach.state;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the fencing tokens under which this process has led and compares them with the token counter in the state service. It
 * tells whether another node has led in between, and how long to wait when the counter has lost data. Bound to the node's event
 * loop.
 */
final class OwnTokenHistory {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    private final SteadyClock clock;
    private final Span leaseTime;
    private final TokenGenerator tokens;
    /** The end of this node's last lease: until then no other node can have gained leadership. */
    private Moment lastLeaseEnd = Moment.NEVER;

    private FencingToken lastToken = FencingToken.NONE;
    /**
     * The token of a campaign without a response, if no other node had led between {@link #lastToken} and that campaign; null if
     * there is none.
     */
    private FencingToken unansweredToken;

    private Moment regressionDetectedAt = Moment.NEVER;

    OwnTokenHistory(SteadyClock clock, Span leaseTime, TokenGenerator tokens) {
        this.clock = clock;
        this.leaseTime = leaseTime;
        this.tokens = tokens;
    }

    /** Records a read of the counter. If it holds the token of the unanswered campaign, that campaign did succeed. */
    void observeCounter(FencingToken counterToken) {
        if (counterToken.equals(unansweredToken)) {
            // That campaign gained the key and no other node has led since.
            lastToken = unansweredToken;
        }
    }

    /** Whether the highest token before a campaign was this process's own, so that no other node has led since. */
    boolean wasLastLeader(FencingToken highestBefore) {
        return highestBefore.equals(lastToken);
    }

    /** Records a campaign without a response, which may or may not have used {@code token}. */
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

    /** {@code validUntil}: the time at which this node's lease would have expired. */
    void leadershipLost(Moment validUntil) {
        lastLeaseEnd = validUntil;
    }

    /**
     * Whether this node may campaign although the counter is below a token that was in use, which means that data were lost. The
     * former leader may not have noticed the loss and may act until its lease expires, so this node waits for that time unless
     * it was the leader itself.
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

    /** Records that the regression was a stale read and no data were lost. */
    void clearRegression() {
        regressionDetectedAt = Moment.NEVER;
    }
}
