package io.indigoreach.core.model;

/** A team: what it is guaranteed, and what its tasks may never exceed together. */
public record Team(String name, double guaranteedCores, double maxCores, double guaranteedGpus, double maxGpus) {
    /** A limit of 0 means that there is none. */
    public boolean isWithinLimits(double coresInUse, double gpusInUse) {
        return (maxCores <= 0 || coresInUse <= maxCores + 1e-6) && (maxGpus <= 0 || gpusInUse <= maxGpus + 1e-6);
    }

    public boolean hasLimits() {
        return maxCores > 0 || maxGpus > 0;
    }

    public boolean isWithinGuarantee(double coresInUse, double gpusInUse) {
        return coresInUse <= guaranteedCores + 1e-6 && gpusInUse <= guaranteedGpus + 1e-6;
    }
}
