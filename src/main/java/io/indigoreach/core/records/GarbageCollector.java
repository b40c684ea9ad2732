package io.indigoreach.core.records;

import io.indigoreach.core.model.Span;

/** The leader's garbage collection for an optional feature: ends what failed controllers left unfinished and removes what has expired. */
public interface GarbageCollector {
    /** One round, from what is recorded; its result is how long to wait until the next. */
    Routine<Span> newRound();
}
