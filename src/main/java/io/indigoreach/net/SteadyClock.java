package io.indigoreach.net;

import io.indigoreach.core.model.Moment;

/** Provides the monotonic time and the time of day. */
public final class SteadyClock {
    /** Returns the monotonic time, in whole milliseconds; comparable only within this process. */
    public Moment now() {
        return new Moment(System.nanoTime() / 1_000_000);
    }

    /** Returns milliseconds since 1970, not monotonic; the platform configuration gives the maximum clock error. */
    public long timeOfDay() {
        return System.currentTimeMillis();
    }
}
