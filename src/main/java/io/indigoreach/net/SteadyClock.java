package io.indigoreach.net;

import io.indigoreach.core.model.Moment;

/** The monotonic clock of this process, and its time of day. */
public final class SteadyClock {
    /** The monotonic time, in whole milliseconds; comparable within this process only. */
    public Moment now() {
        return new Moment(System.nanoTime() / 1_000_000);
    }

    /** Milliseconds since 1970, within the platform's bound of true time; not monotonic. */
    public long timeOfDay() {
        return System.currentTimeMillis();
    }
}
