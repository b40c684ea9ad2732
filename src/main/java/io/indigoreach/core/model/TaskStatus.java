package io.indigoreach.core.model;

/** One task as a worker reports it; {@code cause} is null unless the task has exited. */
public record TaskStatus(TaskId task, Attempt attempt, TaskState state, ExitCause exitCause, boolean checkpointSaved) {}
