package io.indigoreach.core.calendar;

import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.VersionedRecord;
import java.util.List;

/** Reads which version is in force, and its text unless the reader has it. */
public final class Reading implements Routine<Reading.Found> {
    /** {@code text}: null if the reader has it, or there is none. */
    public record Found(CalendarVersion head, CalendarVersion.Version version, String text) {}

    private final String known;
    private final int wanted;
    private CalendarVersion head;
    private CalendarVersion.Version version;

    /** {@code known}: the digest of the text that the reader has; null if none. */
    public Reading(String known) {
        this(known, 0);
    }

    /** {@code wanted}: an older version; 0: the one in force. */
    public Reading(String known, int wanted) {
        this.known = known;
        this.wanted = wanted;
    }

    @Override
    public Step<Found> next(StepResult seen) {
        if (head == null) {
            if (seen.records().isEmpty()) {
                return new Step.Read<>(List.of(CalendarVersion.KEY));
            }
            head = new CalendarVersion(seen.record(CalendarVersion.KEY));
            version = head.versions().stream()
                    .filter(v -> wanted == 0 || v.number() == wanted)
                    .findFirst()
                    .orElse(null);
            return version == null || version.digest().equals(known)
                    ? new Step.End<>(new Found(head, version, null))
                    : new Step.Read<>(version.keys());
        }
        StringBuilder text = new StringBuilder();
        for (String key : version.keys()) {
            VersionedRecord piece = seen.record(key);
            if (!piece.exists()) {
                throw new IllegalStateException(
                        "calendar version " + version.number() + " lacks " + key + ": set it again");
            }
            text.append(piece.value().get("text"));
        }
        return new Step.End<>(new Found(head, version, text.toString()));
    }
}
