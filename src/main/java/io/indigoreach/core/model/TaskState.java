package io.indigoreach.core.model;

/** The state of a task on a machine. */
public enum TaskState {
    /** A start command was sent, and no newer heartbeat has arrived. */
    START_SENT,
    /** The worker is fetching the image, or waits for that. */
    FETCHING,
    RUNNING,
    /** The task is saving a checkpoint before it stops. */
    SAVING,
    EXITED
}
