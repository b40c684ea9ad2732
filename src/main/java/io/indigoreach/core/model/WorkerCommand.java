package io.indigoreach.core.model;

/** What a worker is told to do in the answer to its report. */
public sealed interface WorkerCommand {
    TaskId task();

    Attempt attempt();

    record Start(TaskId task, Attempt attempt) implements WorkerCommand {}

    /** Stop, letting the task save its progress if it can within {@code grace}. */
    record Stop(TaskId task, Attempt attempt, Span grace) implements WorkerCommand {}

    /** Removes an exited task from the worker's reports. */
    record Reap(TaskId task, Attempt attempt) implements WorkerCommand {}
}
