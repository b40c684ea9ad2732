package io.indigoreach.core.ownership;

import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import java.util.List;

/**
 * A person begins the registry, or says after a loss that it was compared with the books: from then on what is not named there is
 * free again.
 */
public final class Beginning implements Routine<Outcome> {
    private final boolean anew;
    private final String reason;

    /** @param anew there is none yet; else there is one, and data were lost since */
    public Beginning(boolean anew, String reason) {
        this.anew = anew;
        this.reason = reason;
    }

    @Override
    public Step<Outcome> next(StepResult seen) {
        if (seen.isWritten()) {
            return new Step.End<>(Outcome.refused(List.of()));
        }
        if (seen.records().isEmpty()) {
            return new Step.Read<>(List.of(Registry.ROOT));
        }
        VersionedRecord read = seen.record(Registry.ROOT);
        if (!read.exists()) {
            return anew
                    ? write(read, new Registry.Root(seen.era(), Registry.baseOf(seen.timeOfDayMs()), reason))
                    : new Step.End<>(Outcome.refused(
                            List.of("no registry has begun here: an operator begins it with records begin")));
        }
        Registry.Root root = Registry.Root.read(read.value());
        if (root.reason().equals(reason) && root.era() == seen.era()) {
            return new Step.End<>(Outcome.refused(List.of()));
        }
        return anew
                ? new Step.End<>(Outcome.refused(List.of("a registry has begun here already: " + root.reason())))
                : write(read, new Registry.Root(seen.era(), root.base(), reason));
    }

    private static Step<Outcome> write(VersionedRecord read, Registry.Root root) {
        return new Step.Write<>(new Transaction().replace(read, root.write()));
    }
}
