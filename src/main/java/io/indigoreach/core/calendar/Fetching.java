package io.indigoreach.core.calendar;

import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.VersionedRecord;
import java.util.List;

/** Reads one record as it stands. */
public record Fetching(String key) implements Routine<VersionedRecord> {
    @Override
    public Step<VersionedRecord> next(StepResult seen) {
        return seen.records().isEmpty() ? new Step.Read<>(List.of(key)) : new Step.End<>(seen.record(key));
    }
}
