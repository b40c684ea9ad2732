package io.indigoreach.core.model;

/**
 * A team with its guaranteed resources and its limits.
 *
 * @param guaranteedCores the guaranteed cores
 * @param maxCores the maximum number of cores that the team's tasks may use in total; 0 means no limit
 * @param guaranteedGpus the guaranteed GPUs
 * @param maxGpus the maximum number of GPUs that the team's tasks may use in total; 0 means no limit
 */
public record Team(String name, double guaranteedCores, double maxCores, double guaranteedGpus, double maxGpus) {
    /** Sums of fractional amounts may differ by rounding errors. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** Whether the given usage is within the team's limits. */
    public boolean isWithinLimits(double coresInUse, double gpusInUse) {
        return (maxCores <= 0 || coresInUse <= maxCores + ROUNDING_TOLERANCE)
                && (maxGpus <= 0 || gpusInUse <= maxGpus + ROUNDING_TOLERANCE);
    }

    public boolean hasLimits() {
        return maxCores > 0 || maxGpus > 0;
    }

    public boolean isWithinGuarantee(double coresInUse, double gpusInUse) {
        return coresInUse <= guaranteedCores + ROUNDING_TOLERANCE && gpusInUse <= guaranteedGpus + ROUNDING_TOLERANCE;
    }
}
