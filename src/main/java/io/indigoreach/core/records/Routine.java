package io.indigoreach.core.records;

/**
 * Reads and writes of a part, one step after the other; pure, so that tests can end it after any step. It may be ended after
 * any of its writes, as the process that runs it may, and whoever carries on begins from what is recorded. A write without an
 * answer ends it too: whoever asked repeats it under the same name.
 */
public interface Routine<R> {
    /** At first {@code seen} is empty. */
    Step<R> next(StepResult seen);
}
