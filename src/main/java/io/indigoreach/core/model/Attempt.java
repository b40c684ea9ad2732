package io.indigoreach.core.model;

/** Tells one start of a task from every other start of it. */
public record Attempt(long value) {
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
