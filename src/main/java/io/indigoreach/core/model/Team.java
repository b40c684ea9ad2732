package io.indigoreach.core.model;

/** A team: what it is guaranteed, and what its tasks may never exceed together. */
public record Team(String name, double cores, double coresMax, double gpus, double gpusMax) {
    /** A limit of 0 means that there is none. */
    public boolean allows(double coresInUse, double gpusInUse) {
        return (coresMax <= 0 || coresInUse <= coresMax + 1e-6) && (gpusMax <= 0 || gpusInUse <= gpusMax + 1e-6);
    }

    public boolean isLimited() {
        return coresMax > 0 || gpusMax > 0;
    }

    public boolean isWithinGuarantee(double coresInUse, double gpusInUse) {
        return coresInUse <= cores + 1e-6 && gpusInUse <= gpus + 1e-6;
    }
}
