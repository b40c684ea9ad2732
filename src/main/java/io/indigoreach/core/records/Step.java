package io.indigoreach.core.records;

import java.util.List;

/** A step that a {@link Routine} requests. */
public sealed interface Step<R> {
    /** Reads the current records of the given keys; a record that is reported absent is confirmed absent, if the era is known. */
    record Read<R>(List<String> keys) implements Step<R> {
        public Read {
            keys = List.copyOf(keys);
        }
    }

    /** Reads up to {@code limit} records with a prefix, in key order, after the key {@code afterKey} or, if that is null, from the first. */
    record Scan<R>(String prefix, String afterKey, int limit) implements Step<R> {}

    /** Commits a transaction; the next {@link StepResult} shows whether it was executed. */
    record Write<R>(Transaction transaction) implements Step<R> {}

    /** Ends the routine with a result. */
    record End<R>(R result) implements Step<R> {}
}
