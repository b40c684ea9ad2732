package io.indigoreach.core.ownership;

import io.indigoreach.core.records.Change;
import io.indigoreach.core.records.Kept;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Seen;
import io.indigoreach.core.records.Step;
import java.util.List;

/** A run gives its whole claim up: one change frees all that it has not begun. */
public final class Ending implements Routine<Outcome> {
    private final String run;

    public Ending(String run) {
        this.run = run;
    }

    @Override
    public Step<Outcome> next(Seen seen) {
        if (seen.isWritten()) {
            return new Step.End<>(Outcome.refused(List.of()));
        }
        if (seen.records().isEmpty()) {
            return new Step.Read<>(List.of(Registry.claimKey(run)));
        }
        Kept read = seen.record(Registry.claimKey(run));
        Claim claim = Claim.read(read.value());
        // A claim that nobody has begun is ended before: a request of its own that comes late finds it so.
        return claim != null && claim.state() == Claim.State.ENDED
                ? new Step.End<>(Outcome.refused(List.of()))
                : new Step.Write<>(new Change()
                        .replace(
                                read,
                                (claim == null ? Claim.begun(null, seen.timeOfDayMs()) : claim)
                                        .ended(List.of("released by " + run), seen.timeOfDayMs())
                                        .write()));
    }
}
