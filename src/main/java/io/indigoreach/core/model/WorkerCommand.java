package io.indigoreach.core.model;

/** A command to a worker, sent in the response to its heartbeat. */
public sealed interface WorkerCommand {
    TaskId task();

    Attempt attempt();

    /** Starts a task. */
    record Start(TaskId task, Attempt attempt) implements WorkerCommand {}

    /** Stops a task, which may save a checkpoint if that takes at most {@code gracePeriod}. */
    record Stop(TaskId task, Attempt attempt, Span gracePeriod) implements WorkerCommand {}

    /** Removes an exited task from the worker's heartbeats. */
    record Reap(TaskId task, Attempt attempt) implements WorkerCommand {}
}
