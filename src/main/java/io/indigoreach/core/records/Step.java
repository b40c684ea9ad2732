package io.indigoreach.core.records;

import java.util.List;

/** What a {@link Routine} wants next. */
public sealed interface Step<R> {
    /** The records of these keys as they stand now; one that is absent surely is, in an era that is known. */
    record Read<R>(List<String> keys) implements Step<R> {
        public Read {
            keys = List.copyOf(keys);
        }
    }

    /** Up to {@code most} records with a prefix, in the order of their keys, beginning after one, or null. */
    record Scan<R>(String prefix, String afterKey, int limit) implements Step<R> {}

    /** Executed as a whole or not at all; the next {@link StepResult} says which. */
    record Write<R>(Transaction transaction) implements Step<R> {}

    /** The routine is finished. */
    record End<R>(R result) implements Step<R> {}
}
