package io.indigoreach.core.model;

/** What a user is told of a job. */
public enum JobStatus {
    PENDING,
    RUNNING,
    DONE,
    CANCELLED;

    public boolean isFinal() {
        return this == DONE || this == CANCELLED;
    }
}
