package io.indigoreach.core.model;

/** A task's state on a machine. ORDERED: a start was sent, and no newer heartbeat has arrived yet. */
public enum TaskState {
    START_SENT,
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
}
