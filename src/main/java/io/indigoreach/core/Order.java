package io.indigoreach.core;

/** What a worker is told to do in the answer to its report. */
public sealed interface Order {
    TaskId task();

    Attempt attempt();

    record Start(TaskId task, Attempt attempt) implements Order {}

    /** Stop, letting the task save its progress if it can within {@code grace}. */
    record Stop(TaskId task, Attempt attempt, Span grace) implements Order {}

    /** Removes an exited task from the worker's reports. */
    record Forget(TaskId task, Attempt attempt) implements Order {}
}
