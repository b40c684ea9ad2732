package io.indigoreach.core.model;

/** The version of a key in the state service: the revision of its last change, or 0 if the key does not exist. */
public record Revision(long value) {
    public static final Revision ABSENT = new Revision(0);

    public boolean isAfter(Revision other) {
        return value > other.value;
    }
}
