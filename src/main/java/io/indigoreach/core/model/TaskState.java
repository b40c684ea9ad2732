package io.indigoreach.core.model;

/** A task's state on a machine. ORDERED: a start was put into an answer, and no newer report has come yet. */
public enum TaskState {
    ORDERED,
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
}
