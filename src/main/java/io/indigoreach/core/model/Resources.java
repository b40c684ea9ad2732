package io.indigoreach.core.model;

/** The resources that a task needs of its machine, or that a machine offers. */
public record Resources(double cores, double gpus, double ramGb) {
    public static final Resources NONE = new Resources(0, 0, 0);
    private static final double ROUNDING_TOLERANCE = 1e-6;
    private static final double MAX_COUNT = 1e6;

    public Resources plus(Resources other) {
        return new Resources(cores + other.cores, gpus + other.gpus, ramGb + other.ramGb);
    }

    public Resources minus(Resources other) {
        return new Resources(cores - other.cores, gpus - other.gpus, ramGb - other.ramGb);
    }

    public boolean fitsIn(Resources available) {
        return cores <= available.cores + ROUNDING_TOLERANCE
                && gpus <= available.gpus + ROUNDING_TOLERANCE
                && ramGb <= available.ramGb + ROUNDING_TOLERANCE;
    }

    /** The part of {@code whole} that this takes, of what it takes most of. */
    public double dominantShareOf(Resources total) {
        return Math.max(
                fraction(cores, total.cores), Math.max(fraction(gpus, total.gpus), fraction(ramGb, total.ramGb)));
    }

    private static double fraction(double used, double total) {
        return used <= ROUNDING_TOLERANCE ? 0 : used / total;
    }

    /** How many times this fits into {@code room}. */
    public int countFittingIn(Resources available) {
        double count = MAX_COUNT;
        if (cores > ROUNDING_TOLERANCE) {
            count = Math.min(count, (available.cores + ROUNDING_TOLERANCE) / cores);
        }
        if (gpus > ROUNDING_TOLERANCE) {
            count = Math.min(count, (available.gpus + ROUNDING_TOLERANCE) / gpus);
        }
        if (ramGb > ROUNDING_TOLERANCE) {
            count = Math.min(count, (available.ramGb + ROUNDING_TOLERANCE) / ramGb);
        }
        return (int) Math.max(0, Math.floor(count));
    }
}
