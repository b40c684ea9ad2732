package io.indigoreach.core.model;

/** What kind of job it is. */
public enum JobKind {
    /** A job array: independent tasks that each run to completion. */
    ARRAY,
    /** A service: replicas that run until the job is cancelled. */
    SERVICE
}
