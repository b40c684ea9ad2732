package io.indigoreach.core.model;

/** Identifies one start of a task; each start of the same task has a different value. */
public record Attempt(long value) {
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
