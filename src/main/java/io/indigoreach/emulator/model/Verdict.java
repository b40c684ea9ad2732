package io.indigoreach.emulator.model;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;

/**
 * What becomes of one message.
 *
 * @param delay before it is executed; for {@link Fate#LATE} and {@link Fate#REPEAT} before it is executed late or again
 * @param until for {@link Fate#HOLD}: when it is delivered
 * @param status for {@link Fate#REFUSE}
 * @param behind how many revisions a read is behind
 */
public record Verdict(Fate fate, Span delay, Moment until, int status, int behind) {
    /** The fates of messages, as {@code scenario.Fault.Kind} describes them. */
    public enum Fate {
        PASS,
        REFUSE,
        LOSE_REQUEST,
        LOSE_ANSWER,
        LATE,
        REPEAT,
        HOLD,
        RESET
    }

    public static final Verdict PASS = new Verdict(Fate.PASS, Span.ZERO, Moment.NEVER, 0, 0);

    /** Whether an answer goes back at all. */
    public boolean answers() {
        return fate == Fate.PASS || fate == Fate.REFUSE || fate == Fate.REPEAT;
    }
}
