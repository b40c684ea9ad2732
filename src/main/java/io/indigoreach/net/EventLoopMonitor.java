package io.indigoreach.net;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.vertx.core.Vertx;

/**
 * Measures for how long the event loop has run without a pause. After a process was suspended for seconds, or if it has too little
 * CPU time, it handles timers, heartbeats and responses in one batch, and timeouts before the heartbeats that contradict them. So a
 * node checks its own event loop before it declares another process unresponsive (Dadgar and others, "Lifeguard", 2017). Used on that
 * event loop only.
 */
public final class EventLoopMonitor {
    private static final Span CHECK_INTERVAL = Span.seconds(0.25);
    /** Interval between two checks above which the event loop counts as paused. */
    private static final Span PAUSE_THRESHOLD = Span.seconds(1);

    private final Vertx vertx;
    private final SteadyClock clock;
    private final long timer;
    private Moment lastCheck;
    private Moment runningSince;

    /** Starts the checks on the current event loop. */
    public EventLoopMonitor(Vertx vertx, SteadyClock clock) {
        this.vertx = vertx;
        this.clock = clock;
        this.lastCheck = clock.now();
        this.runningSince = lastCheck;
        this.timer = vertx.setPeriodic(CHECK_INTERVAL.ms(), timer -> runningSince());
    }

    /**
     * Returns the moment from which the event loop has run without a pause. A pause is noticed only at the first call
     * after it.
     */
    public Moment runningSince() {
        Moment now = clock.now();
        if (now.since(lastCheck).compareTo(PAUSE_THRESHOLD) > 0) {
            runningSince = now;
        }
        lastCheck = now;
        return runningSince;
    }

    /** Returns whether the event loop has run without a pause for this time. */
    public boolean hasRunWithoutPauseFor(Span time) {
        return clock.now().since(runningSince()).compareTo(time) >= 0;
    }

    /** Stops the checks. */
    public void close() {
        vertx.cancelTimer(timer);
    }
}
