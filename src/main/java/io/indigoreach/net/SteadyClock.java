package io.indigoreach.net;

import io.indigoreach.core.model.Moment;

/** This process's steady clock and its time of day. */
public final class SteadyClock {
    public Moment now() {
        return new Moment(System.nanoTime() / 1_000_000);
    }

    /** Milliseconds since 1970; within the platform's bound of true time, and not steady. */
    public long timeOfDay() {
        return System.currentTimeMillis();
    }
}
