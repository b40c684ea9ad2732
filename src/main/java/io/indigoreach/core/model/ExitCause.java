package io.indigoreach.core.model;

/** Why a task ended on its machine. */
public enum ExitCause {
    DONE,
    STOPPED,
    ERROR,
    FULL,
    IN_USE,
    UNKNOWN,
    OTHER
}
