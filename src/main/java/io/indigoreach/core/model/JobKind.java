package io.indigoreach.core.model;

/** Whether a job's tasks each run to completion, or run until the job is cancelled. */
public enum JobKind {
    ARRAY,
    SERVICE
}
