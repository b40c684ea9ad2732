package io.indigoreach.core;

/** Whether a job's tasks each run to completion, or run until the job is cancelled. */
public enum Shape {
    ARRAY,
    SERVICE
}
