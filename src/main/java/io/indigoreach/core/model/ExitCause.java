package io.indigoreach.core.model;

/** Why a task ended on its machine. */
public enum ExitCause {
    /** The task completed. */
    DONE,
    /** The task was stopped by a command or by the preemption of its machine. */
    STOPPED,
    /** The task failed. */
    ERROR,
    /** The machine lacked the resources to start the task. */
    FULL,
    /** Another attempt of the task was still on the machine. */
    IN_USE,
    /** The worker does not know the task. */
    UNKNOWN,
    /** The worker reported a cause that this version does not know. */
    OTHER
}
