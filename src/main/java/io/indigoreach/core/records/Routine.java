package io.indigoreach.core.records;

/**
 * A sequence of reads and writes of an optional feature, as a state machine without side effects, so that tests can interrupt it after any
 * step. It must tolerate an interruption after any of its writes, as the process that runs it may fail: the next routine continues from the
 * recorded state. A write without a response also ends the routine, and its caller repeats it under the same name.
 */
public interface Routine<R> {
    /** Returns the next step, given the result of the previous one; the first call gets an empty result. */
    Step<R> next(StepResult result);
}
