package io.indigoreach.core.model;

/** Shows who may give orders: the leader's number, higher for each new leader. */
public record FencingToken(long value) {
    public static final FencingToken NONE = new FencingToken(0);

    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    /** The n-th attempt handed out under this token; no two leaders can hand out the same one. */
    public Attempt attempt(long n) {
        return new Attempt((value << 28) | (n & 0xfffffffL));
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
