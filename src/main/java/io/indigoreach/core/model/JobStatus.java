package io.indigoreach.core.model;

/** The status of a job as it is reported to users. */
public enum JobStatus {
    PENDING,
    RUNNING,
    DONE,
    CANCELLED;

    /** Whether the status can no longer change. */
    public boolean isFinal() {
        return this == DONE || this == CANCELLED;
    }
}
