package io.indigoreach.core.ownership;

import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import java.util.List;

/** A run gives its whole claim up: one change frees all that it has not begun. */
public final class Ending implements Routine<Outcome> {
    private final String run;

    public Ending(String run) {
        this.run = run;
    }

    @Override
    public Step<Outcome> next(StepResult seen) {
        if (seen.isWritten()) {
            return new Step.End<>(Outcome.refused(List.of()));
        }
        if (seen.records().isEmpty()) {
            return new Step.Read<>(List.of(Registry.claimKey(run)));
        }
        VersionedRecord read = seen.record(Registry.claimKey(run));
        Claim claim = Claim.read(read.value());
        // A claim that nobody has begun is ended before: a request of its own that comes late finds it so.
        return claim != null && claim.state() == Claim.State.ENDED
                ? new Step.End<>(Outcome.refused(List.of()))
                : new Step.Write<>(new Transaction()
                        .replace(
                                read,
                                (claim == null ? Claim.begun(null, seen.timeOfDayMs()) : claim)
                                        .ended(List.of("released by " + run), seen.timeOfDayMs())
                                        .write()));
    }
}
