package io.indigoreach.core.leadership;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Span;

/**
 * Generates fencing tokens of which none is used twice, whatever the state service answers: its counter may be gone or
 * come from an older copy. A hybrid logical clock (Kulkarni and others, "Logical Physical Clocks", 2014): the next token
 * is above the counter, above every token that this process has seen, and not below the time of day in seconds; its
 * lowest bits identify the node, so that two nodes cannot choose the same one.
 *
 * <p>By the time alone a node could choose the token of its own previous process in the same second: so the second in
 * which this process began, by the worst clock, is left out. Tokens run ahead of the time only where leaderships change, or campaigns
 * stay unanswered, more than once a second on average; a campaign that was rejected gives its token back.
 */
public final class TokenGenerator {
    /** Start of 2020 in seconds since 1970. Beside 28 bits for attempts and those for nodes, 30 bits are left: until 2054. */
    private static final long EPOCH_S = 1_577_836_800L;

    private static final int NODE_BITS = 5;

    private final long nodeIndex;
    private final long earliestSecond;
    /** The highest token known to have been in use. */
    private long highestKnown;
    /** The highest token that this process has campaigned with; it may be in use or not. */
    private long lastCampaigned;
    /** {@link #lastTried} before the last campaign. */
    private long previouslyCampaigned;

    /**
     * @param node this node's index among all nodes, in the order of their names
     * @param startedMs when this process began, in milliseconds since 1970
     * @param clockOff how far any clock may be from true time
     */
    public TokenGenerator(int nodeIndex, long startedMs, Span maxClockError) {
        this.nodeIndex = nodeIndex & ((1 << NODE_BITS) - 1);
        this.earliestSecond = secondsSinceEpoch(startedMs + 2 * maxClockError.ms()) + 1;
    }

    private static long secondsSinceEpoch(long timeOfDayMs) {
        return Math.max(0, timeOfDayMs / 1000 - EPOCH_S);
    }

    /** A token that was in use, from whatever source: later ones are above it. */
    public void observe(FencingToken token) {
        highestKnown = Math.max(highestKnown, token.value());
    }

    /** The highest token known to have been in use. */
    public FencingToken highestKnown() {
        return new FencingToken(highestKnown);
    }

    /** The state service's counter is below what it was, or gone. */
    public boolean isCounterBehind(FencingToken counter) {
        return counter.value() < highestKnown;
    }

    /** Whether this process knows of a leadership after that one. */
    public boolean hasObservedAfter(FencingToken token) {
        return highestKnown > token.value();
    }

    /** The next leadership's token; {@code timeOfDayMs} in milliseconds since 1970. */
    public FencingToken next(FencingToken counter, long timeOfDayMs) {
        long nextSecond = (Math.max(counter.value(), Math.max(highestKnown, lastCampaigned)) >> NODE_BITS) + 1;
        long tokenSecond = Math.max(nextSecond, Math.max(secondsSinceEpoch(timeOfDayMs), earliestSecond));
        previouslyCampaigned = lastCampaigned;
        lastCampaigned = tokenSecond << NODE_BITS | nodeIndex;
        return new FencingToken(lastCampaigned);
    }

    /**
     * The last campaign surely was not and will not be executed, so its token is free. Guards against tokens that run minutes ahead of
     * the time where a service rejects two campaigns a second: the next process of this node could choose one of them again.
     */
    public void release(FencingToken token) {
        if (lastCampaigned == token.value()) {
            lastCampaigned = previouslyCampaigned;
        }
    }
}
