package io.indigoreach.core.records;

/**
 * Reads and writes of an optional feature, one step after the other; pure, so that tests can end it after any step. It may be ended after
 * any of its writes, as the process that runs it may, and whoever carries on begins from what is recorded. A write without an
 * answer ends it too: whoever asked repeats it under the same name.
 */
public interface Routine<R> {
    /** The next step after the result of the last one; at first {@code seen} is empty. */
    Step<R> next(StepResult result);
}
