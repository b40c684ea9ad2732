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
final class OwnTokens {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    private final SteadyClock clock;
    private final Span leaseTime;
    private final TokenGenerator tokens;
    /** The end of this node's last lease: until then no other node can have gained leadership. */
    private Moment ledUntil = Moment.NEVER;

    private FencingToken last = FencingToken.NONE;
    /**
     * The token of a campaign without a response, if no other node had led between {@link #last} and that campaign; null if
     * there is none.
     */
    private FencingToken unanswered;

    private Moment regressionSeenAt = Moment.NEVER;

    OwnTokens(SteadyClock clock, Span leaseTime, TokenGenerator tokens) {
        this.clock = clock;
        this.leaseTime = leaseTime;
        this.tokens = tokens;
    }

    /** Records a read of the counter. If it holds the token of the unanswered campaign, that campaign did succeed. */
    void counterRead(FencingToken counted) {
        if (counted.equals(unanswered)) {
            // That campaign gained the key and no other node has led since.
            last = unanswered;
        }
    }

    /** Whether the highest token before a campaign was this process's own, so that no other node has led since. */
    boolean isLast(FencingToken highestBefore) {
        return highestBefore.equals(last);
    }

    /** Records a campaign without a response, which may or may not have used {@code token}. */
    void campaignUnanswered(FencingToken token, FencingToken highestBefore) {
        if (isLast(highestBefore)) {
            unanswered = token;
        }
    }

    void gained(FencingToken token) {
        last = token;
        tokens.seen(token);
        regressionSeenAt = Moment.NEVER;
    }

    /** {@code validUntil}: the time at which this node's lease would have expired. */
    void lost(Moment validUntil) {
        ledUntil = validUntil;
    }

    /**
     * Whether this node may campaign although the counter is below a token that was in use, which means that data were lost. The
     * former leader may not have noticed the loss and may act until its lease expires, so this node waits for that time unless
     * it was the leader itself.
     */
    boolean mayCampaignAfterRegression() {
        Moment now = clock.now();
        if (regressionSeenAt.equals(Moment.NEVER)) {
            regressionSeenAt = now;
            LOG.warn("token counter regressed");
        }
        boolean wasLeader = now.isBefore(ledUntil) && !tokens.hasSeenAfter(last);
        return wasLeader || now.since(regressionSeenAt).compareTo(leaseTime.withDrift()) >= 0;
    }

    /** Records that the regression was a stale read and no data were lost. */
    void regressionRefuted() {
        regressionSeenAt = Moment.NEVER;
    }
}
