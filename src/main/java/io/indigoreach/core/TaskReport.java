package io.indigoreach.core;

/** One task as a worker reports it; {@code cause} is null unless the task has exited. */
public record TaskReport(TaskId task, Attempt attempt, TaskState state, ExitCause cause, boolean saved) {}
