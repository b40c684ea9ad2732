package io.indigoreach.core.records;

import io.indigoreach.core.model.Span;

/** Garbage collection by the leader for an optional feature: completes what failed controllers left unfinished and deletes expired records. */
public interface GarbageCollector {
    /** Returns the routine of one collection round, whose result is the time until the next round. */
    Routine<Span> newRound();
}
