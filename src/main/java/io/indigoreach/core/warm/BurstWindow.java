package io.indigoreach.core.warm;

import io.indigoreach.core.model.Span;

/** A burst that is expected every day: minutes of the day (UTC), and how many replicas it asks for on average. */
public record BurstWindow(int from, int to, double replicas) {
    static final int DAY = 24 * 60;
    private static final long MINUTE_MS = 60_000;

    /** Whether the window is open at any moment from {@code atMs}, by the time of day, for {@code ahead}. */
    boolean opensWithin(long atMs, Span ahead) {
        return untilOpen(atMs).compareTo(ahead) <= 0;
    }

    /** Zero while it is open. One that ends before it begins goes over midnight; one that ends where it begins never ends. */
    public Span untilOpen(long atMs) {
        long dayMs = DAY * MINUTE_MS;
        long at = Math.floorMod(atMs, dayMs);
        long begins = from * MINUTE_MS;
        long length = Math.floorMod((to - from) * MINUTE_MS, dayMs);
        long since = Math.floorMod(at - begins, dayMs);
        return length == 0 || since < length ? Span.ZERO : new Span(dayMs - since);
    }
}
