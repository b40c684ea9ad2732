package io.indigoreach.core.model;

/**
 * A team with its guaranteed resources and its limits.
 *
 * @param cores the guaranteed cores
 * @param coresMax the most cores that the team's tasks may use together; 0 if there is no limit
 * @param gpus the guaranteed GPUs
 * @param gpusMax the most GPUs that the team's tasks may use together; 0 if there is no limit
 */
public record Team(String name, double cores, double coresMax, double gpus, double gpusMax) {
    /** Sums of fractional amounts may differ by rounding errors. */
    private static final double ROUNDING = 1e-6;

    /** Whether the given usage is within the team's limits. */
    public boolean allows(double coresInUse, double gpusInUse) {
        return (coresMax <= 0 || coresInUse <= coresMax + ROUNDING) && (gpusMax <= 0 || gpusInUse <= gpusMax + ROUNDING);
    }

    public boolean isLimited() {
        return coresMax > 0 || gpusMax > 0;
    }

    public boolean isWithinGuarantee(double coresInUse, double gpusInUse) {
        return coresInUse <= cores + ROUNDING && gpusInUse <= gpus + ROUNDING;
    }
}
