package io.indigoreach.core.model;

/** The priority of a job, in order of decreasing urgency. */
public enum Urgency {
    PRODUCTION,
    HIGH,
    STANDARD,
    BEST_EFFORT;

    public boolean isMoreUrgentThan(Urgency other) {
        return ordinal() < other.ordinal();
    }
}
