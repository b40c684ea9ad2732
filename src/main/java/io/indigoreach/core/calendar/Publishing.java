package io.indigoreach.core.calendar;

import io.indigoreach.core.records.Change;
import io.indigoreach.core.records.Kept;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Seen;
import io.indigoreach.core.records.Step;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Puts a version in force: first its text, a piece at a time, which nobody reads yet; then the head, if it still is as it was
 * read. Ended in between, it leaves a text that nothing names. Ends with whether it did.
 */
public final class Publishing implements Routine<Boolean> {
    private static final int PIECE = 7_000;

    private final Head head;
    private final Head.Version version;
    private final String text;
    private int piece = -1;

    /** {@code head}: as it was read when the text was made. */
    public Publishing(Head head, String digest, String text, long at, String note) {
        this.head = head;
        this.text = text;
        this.version = new Head.Version(head.number() + 1, digest, (text.length() + PIECE - 1) / PIECE, at, note);
    }

    @Override
    public Step<Boolean> next(Seen seen) {
        if (piece >= 0 && !seen.isWritten()) {
            return new Step.End<>(false);
        }
        List<String> keys = version.keys();
        if (piece == keys.size()) {
            return new Step.End<>(true);
        }
        piece++;
        return new Step.Write<>(piece < keys.size() ? new Change().put(keys.get(piece), Map.of("text",
                text.substring(piece * PIECE, Math.min(text.length(), (piece + 1) * PIECE)), Kept.VERSION, 1L))
                : head.with(version));
    }
}
