package io.indigoreach.core.model;

/** The status of a job as its user sees it. */
public enum JobStatus {
    PENDING,
    RUNNING,
    DONE,
    CANCELLED;

    public boolean isFinal() {
        return this == DONE || this == CANCELLED;
    }
}
