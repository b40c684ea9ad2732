package io.indigoreach.core;

/** Shows who may give orders: the leader's number, higher for each new leader. */
public record Token(long value) {
    public static final Token NONE = new Token(0);

    public Token next() {
        return new Token(value + 1);
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
