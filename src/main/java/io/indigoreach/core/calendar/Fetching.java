package io.indigoreach.core.calendar;

import io.indigoreach.core.records.Kept;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Seen;
import io.indigoreach.core.records.Step;
import java.util.List;

/** Reads one record as it stands. */
public record Fetching(String key) implements Routine<Kept> {
    @Override
    public Step<Kept> next(Seen seen) {
        return seen.records().isEmpty() ? new Step.Read<>(List.of(key)) : new Step.End<>(seen.record(key));
    }
}
