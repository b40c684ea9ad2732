package io.indigoreach.core.model;

/** Whether the tasks of a job run to completion. */
public enum JobKind {
    /** A job array: independent tasks that each run to completion. */
    ARRAY,
    /** A service: replicas that run until the job is cancelled. */
    SERVICE
}
