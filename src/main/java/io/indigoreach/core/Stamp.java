package io.indigoreach.core;

/** The version of a key in the state service: the revision of its last change, or 0 if there is no such key. */
public record Stamp(long value) {
    public static final Stamp ABSENT = new Stamp(0);

    public boolean isAfter(Stamp other) {
        return value > other.value;
    }
}
