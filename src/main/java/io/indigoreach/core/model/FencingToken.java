package io.indigoreach.core.model;

/** Identifies a leadership term and increases with each new one; workers discard commands with a lower token than they have seen. */
public record FencingToken(long value) {
    public static final FencingToken NONE = new FencingToken(0);

    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    /** Returns the attempt with the given sequence number under this token; no other token yields the same attempt. */
    public Attempt newAttempt(long sequenceNumber) {
        return new Attempt((value << 28) | (sequenceNumber & 0xfffffffL));
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
