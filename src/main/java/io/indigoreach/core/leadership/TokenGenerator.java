package io.indigoreach.core.leadership;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Span;

/**
 * Generates fencing tokens that are unique even if the state service loses its token counter or restores it from an older copy. The
 * tokens are a hybrid logical clock (Kulkarni and others, "Logical Physical Clocks", 2014): the next token is above the counter, above every
 * token that this process has observed, and not below the time of day in seconds. Its lowest bits identify the node, so two nodes cannot
 * choose the same token.
 *
 * <p>From the time alone a process could choose a token that an earlier process of the same node chose in the same second. So tokens start
 * after the second in which this process started, with the largest clock error allowed for. Tokens run ahead of the time only if leaderships
 * change, or campaigns stay unanswered, more than once a second on average; a rejected campaign releases its token.
 */
public final class TokenGenerator {
    /** Start of 2020 in seconds since 1970. Attempts take 28 bits; the 30 bits left besides those of the node last until 2054. */
    private static final long EPOCH_S = 1_577_836_800L;

    private static final int NODE_BITS = 5;

    private final long nodeIndex;
    private final long earliestSecond;
    /** The highest token known to have been in use. */
    private long highestKnown;
    /** The highest token that this process has campaigned with; it may or may not be in use. */
    private long lastCampaignToken;
    /** The highest token that this process had campaigned with before its last campaign. */
    private long previousCampaignToken;

    /**
     * @param nodeIndex this node's index among all nodes, in the order of their names
     * @param startedMs when this process started, in milliseconds since 1970
     * @param maxClockError the largest error of any node's clock
     */
    public TokenGenerator(int nodeIndex, long startedMs, Span maxClockError) {
        this.nodeIndex = nodeIndex & ((1 << NODE_BITS) - 1);
        this.earliestSecond = secondsSinceEpoch(startedMs + 2 * maxClockError.ms()) + 1;
    }

    private static long secondsSinceEpoch(long timeOfDayMs) {
        return Math.max(0, timeOfDayMs / 1000 - EPOCH_S);
    }

    /** Records a token that has been in use; all later tokens will be above it. */
    public void observe(FencingToken token) {
        highestKnown = Math.max(highestKnown, token.value());
    }

    /** The highest token known to have been in use. */
    public FencingToken highestKnown() {
        return new FencingToken(highestKnown);
    }

    /**
     * Whether the state service has lost or reset the counter, that is, whether the counter is below a token already in
     * use.
     */
    public boolean isCounterBehind(FencingToken counter) {
        return counter.value() < highestKnown;
    }

    /** Whether this process knows of a leadership term after that of {@code token}. */
    public boolean hasObservedAfter(FencingToken token) {
        return highestKnown > token.value();
    }

    /**
     * Returns the token for the next campaign.
     *
     * @param counter the state service's counter
     * @param timeOfDayMs the time of day in milliseconds since 1970
     */
    public FencingToken next(FencingToken counter, long timeOfDayMs) {
        long nextSecond = (Math.max(counter.value(), Math.max(highestKnown, lastCampaignToken)) >> NODE_BITS) + 1;
        long tokenSecond = Math.max(nextSecond, Math.max(secondsSinceEpoch(timeOfDayMs), earliestSecond));
        previousCampaignToken = lastCampaignToken;
        lastCampaignToken = tokenSecond << NODE_BITS | nodeIndex;
        return new FencingToken(lastCampaignToken);
    }

    /**
     * Releases the token of the last campaign, which was rejected and can no longer be executed. Without this, a service that rejects
     * two campaigns a second would drive the tokens minutes ahead of the time, and the next process of this node could choose one of them
     * again.
     */
    public void release(FencingToken token) {
        if (lastCampaignToken == token.value()) {
            lastCampaignToken = previousCampaignToken;
        }
    }
}
