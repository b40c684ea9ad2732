package io.indigoreach.core.leadership;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Span;

/**
 * Numbers for leaderships of which none is used twice, whatever the state service answers: its counter may be gone or
 * come from an older copy. A hybrid logical clock (Kulkarni and others, "Logical Physical Clocks", 2014): the next number
 * is above the counter, above every number that this process has seen, and not below the time of day in seconds; its
 * lowest bits tell the node, so that two nodes cannot choose the same one.
 *
 * <p>By the time alone a node could choose what its own process before this one did, in the same second: so the second in
 * which this one began, by the worst clock, is left out. Numbers run ahead of the time only where leaderships change, or tries
 * stay without an answer, more than once a second on average; a try that was refused gives its number back.
 */
public final class TokenGenerator {
    /** 2020 began, in seconds since 1970. With 28 bits for attempts and those for nodes 30 are left: until 2054. */
    private static final long BEGINNING_S = 1_577_836_800L;

    private static final int NODE_BITS = 5;

    private final long node;
    private final long firstS;
    /** The highest that was in use, and the highest that was tried here and may be in use or not. */
    private long highest;

    private long tried;
    /** {@link #tried} before the last try. */
    private long triedBefore;

    /**
     * @param node this node's place among all of them, in the order of their names
     * @param startedMs when this process began, in milliseconds since 1970
     * @param clockOff how far any clock may be from true time
     */
    public TokenGenerator(int node, long startedMs, Span clockOff) {
        this.node = node & ((1 << NODE_BITS) - 1);
        this.firstS = seconds(startedMs + 2 * clockOff.ms()) + 1;
    }

    private static long seconds(long timeOfDayMs) {
        return Math.max(0, timeOfDayMs / 1000 - BEGINNING_S);
    }

    /** A token that was in use, from whatever source: what follows is above it. */
    public void seen(FencingToken token) {
        highest = Math.max(highest, token.value());
    }

    /** The highest token known to have been in use. */
    public FencingToken highest() {
        return new FencingToken(highest);
    }

    /** The state service's counter is below what it was, or gone. */
    public boolean isBehind(FencingToken counted) {
        return counted.value() < highest;
    }

    /** Whether this process knows of a leadership after that one. */
    public boolean hasSeenAfter(FencingToken token) {
        return highest > token.value();
    }

    /** The next leadership's token; {@code timeOfDayMs} in milliseconds since 1970. */
    public FencingToken next(FencingToken counted, long timeOfDayMs) {
        long above = (Math.max(counted.value(), Math.max(highest, tried)) >> NODE_BITS) + 1;
        long units = Math.max(above, Math.max(seconds(timeOfDayMs), firstS));
        triedBefore = tried;
        tried = units << NODE_BITS | node;
        return new FencingToken(tried);
    }

    /**
     * The last try surely was not and will not be executed, so its number is free. Guards against numbers that run minutes ahead of
     * the time where a service refuses two tries a second: the next process of this node could choose one of them again.
     */
    public void unused(FencingToken token) {
        if (tried == token.value()) {
            tried = triedBefore;
        }
    }
}
