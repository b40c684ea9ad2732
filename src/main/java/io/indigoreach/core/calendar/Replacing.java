package io.indigoreach.core.calendar;

import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import java.util.List;
import java.util.Map;

/** Puts a value in a record's place, whatever it was; ends with whether nobody else did so meanwhile. */
public final class Replacing implements Routine<Boolean> {
    private final String key;
    private final Map<String, Object> value;

    public Replacing(String key, Map<String, Object> value) {
        this.key = key;
        this.value = value;
    }

    @Override
    public Step<Boolean> next(StepResult seen) {
        if (seen.isWritten() || !seen.failedKeys().isEmpty()) {
            return new Step.End<>(seen.isWritten());
        }
        return seen.records().isEmpty()
                ? new Step.Read<>(List.of(key))
                : new Step.Write<>(new Transaction().replace(seen.record(key), value));
    }
}
