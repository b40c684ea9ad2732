package io.indigoreach.core.calendar;

import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Puts a version in force: first its text, a piece at a time, which nobody reads yet; then the head, if it still is as it was
 * read. Ended in between, it leaves a text that nothing names. Ends with whether it did.
 */
public final class Publishing implements Routine<Boolean> {
    private static final int PIECE = 7_000;
    private static final int MOST_TRIES = 3;

    private final CalendarVersion head;
    private final CalendarVersion.Version version;
    private final String text;
    /** Pieces still to be written; null before it is known which are there. */
    private List<String> missing;

    private int tries;
    private boolean naming;

    /** {@code head}: as it was read when the text was made. */
    public Publishing(CalendarVersion head, String digest, String text, long at, String note) {
        this.head = head;
        this.text = text;
        this.version =
                new CalendarVersion.Version(head.number() + 1, digest, (text.length() + PIECE - 1) / PIECE, at, note);
    }

    @Override
    public Step<Boolean> next(StepResult seen) {
        if (naming) {
            return new Step.End<>(seen.isWritten());
        }
        List<String> keys = version.keys();
        if (!seen.records().isEmpty()) {
            missing = new ArrayList<>(
                    keys.stream().filter(k -> !seen.record(k).exists()).toList());
        } else if (seen.isWritten()) {
            missing.remove(0);
        } else if (tries++ == MOST_TRIES) {
            return new Step.End<>(false);
        } else {
            // Whoever wrote a piece meanwhile has written the same.
            return new Step.Read<>(keys);
        }
        naming = missing.isEmpty();
        return new Step.Write<>(naming ? head.with(version) : piece(missing.get(0), keys.indexOf(missing.get(0))));
    }

    private Transaction piece(String key, int n) {
        return new Transaction()
                .replace(
                        VersionedRecord.absent(key),
                        Map.of("text", text.substring(n * PIECE, Math.min(text.length(), (n + 1) * PIECE))));
    }
}
