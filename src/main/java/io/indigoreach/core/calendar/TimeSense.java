package io.indigoreach.core.calendar;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;

/**
 * The time of day by which occurrences are decided. A node's clock is within the platform's bound of true time, and may be set
 * right while it runs; one that jumps further is not believed at once: an occurrence would start a day early, or be told as
 * missed. Meanwhile the steady clock carries on.
 */
public final class TimeSense {
    /** A jump that has stood for this long is the time: a machine that slept, or a clock that was wrong before. */
    private static final Span BELIEVED_AFTER = Span.seconds(60);

    private final long tolerance;
    private boolean begun;
    /** The time of day at the steady clock's zero. */
    private long zero;

    private long jumped;
    private Moment since;

    /** {@code clockOff}: the bound that the platform states. */
    public TimeSense(Span clockOff) {
        this.tolerance = 2 * clockOff.ms() + 1000;
    }

    /** The time of day in milliseconds since 1970. */
    public long at(Moment now, long timeOfDay) {
        long offset = timeOfDay - now.ms();
        if (!begun || Math.abs(offset - zero) <= tolerance) {
            begun = true;
            zero = offset;
            since = null;
        } else if (since == null || Math.abs(offset - jumped) > tolerance) {
            since = now;
            jumped = offset;
        } else if (now.since(since).compareTo(BELIEVED_AFTER) >= 0) {
            zero = offset;
            since = null;
        }
        return now.ms() + zero;
    }

    /** The clock has jumped and is not believed yet. */
    public boolean isDoubted() {
        return since != null;
    }
}
