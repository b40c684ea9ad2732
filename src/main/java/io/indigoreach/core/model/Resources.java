package io.indigoreach.core.model;

/** An amount of resources: what a task requires, or what a machine has in total or free. */
public record Resources(double cores, double gpus, double ramGb) {
    public static final Resources NONE = new Resources(0, 0, 0);
    /** Sums of fractional amounts may differ by rounding errors. */
    private static final double ROUNDING_TOLERANCE = 1e-6;
    /** The result of {@link #countFittingIn} for a task that requires no resources. */
    private static final double MAX_COUNT = 1e6;

    public Resources plus(Resources other) {
        return new Resources(cores + other.cores, gpus + other.gpus, ramGb + other.ramGb);
    }

    public Resources minus(Resources other) {
        return new Resources(cores - other.cores, gpus - other.gpus, ramGb - other.ramGb);
    }

    /** The resources that {@code count} tasks require together. */
    public Resources times(int count) {
        return new Resources(cores * count, gpus * count, ramGb * count);
    }

    /** Whether these resources fit into {@code available}. */
    public boolean fitsIn(Resources available) {
        return cores <= available.cores + ROUNDING_TOLERANCE
                && gpus <= available.gpus + ROUNDING_TOLERANCE
                && ramGb <= available.ramGb + ROUNDING_TOLERANCE;
    }

    /** The dominant share: the largest fraction of {@code total} that this takes of any single resource. */
    public double dominantShareOf(Resources total) {
        return Math.max(
                fraction(cores, total.cores), Math.max(fraction(gpus, total.gpus), fraction(ramGb, total.ramGb)));
    }

    private static double fraction(double used, double total) {
        return used <= ROUNDING_TOLERANCE ? 0 : used / total;
    }

    /** Returns how many tasks that require these resources fit into {@code available} together. */
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
