package io.indigoreach.core.records;

import io.indigoreach.core.model.Span;

/** A part's clean-up by the leader: what dead controllers left half done is ended, what has run out is put away. */
public interface GarbageCollector {
    /** One round, from what is recorded; its result is how long to wait until the next. */
    Routine<Span> round();
}
