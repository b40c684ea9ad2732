package io.indigoreach.core.model;

/**
 * The status of a task as its worker reports it.
 *
 * @param exitCause null unless the task has exited
 * @param checkpointSaved whether the task saved a checkpoint when it stopped
 */
public record TaskStatus(TaskId task, Attempt attempt, TaskState state, ExitCause exitCause, boolean checkpointSaved) {}
