package io.indigoreach.core.model;

/** A job's priority, the most urgent first. */
public enum Urgency {
    PRODUCTION,
    HIGH,
    STANDARD,
    BEST_EFFORT;

    public boolean isMoreUrgentThan(Urgency other) {
        return ordinal() < other.ordinal();
    }
}
