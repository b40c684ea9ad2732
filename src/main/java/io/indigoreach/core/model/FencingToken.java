package io.indigoreach.core.model;

/** The leader's number, higher for each new leader; workers discard commands under lower ones. */
public record FencingToken(long value) {
    public static final FencingToken NONE = new FencingToken(0);

    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    /** The {@code count}-th attempt handed out under this token; no two leaders can hand out the same one. */
    public Attempt newAttempt(long sequenceNumber) {
        return new Attempt((value << 28) | (sequenceNumber & 0xfffffffL));
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
