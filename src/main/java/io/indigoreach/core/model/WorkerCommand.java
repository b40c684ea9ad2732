package io.indigoreach.core.model;

/** What a worker is commanded in the response to its heartbeat. */
public sealed interface WorkerCommand {
    TaskId task();

    Attempt attempt();

    /** Start a task. */
    record Start(TaskId task, Attempt attempt) implements WorkerCommand {}

    /** Stop, letting the task save its progress if it can within {@code grace}. */
    record Stop(TaskId task, Attempt attempt, Span gracePeriod) implements WorkerCommand {}

    /** Removes an exited task from the worker's heartbeats. */
    record Reap(TaskId task, Attempt attempt) implements WorkerCommand {}
}
