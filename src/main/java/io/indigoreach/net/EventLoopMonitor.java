package io.indigoreach.net;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.vertx.core.Vertx;

/**
 * Measures since when the event loop has run without a pause. A process that was stopped for seconds, or has too little CPU time
 * for its load, handles timers, heartbeats and responses all at once, and timeouts before the heartbeats that contradict them. So a node
 * suspects itself before it declares anything else silent (Dadgar and others, "Lifeguard", 2017). Used on that event loop only.
 */
public final class EventLoopMonitor {
    private static final Span CHECK_INTERVAL = Span.seconds(0.25);
    /** A check that comes later than this after the one before was delayed by the process itself. */
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

    /** Since when the loop has run without a pause; the first call after a pause detects it. */
    public Moment runningSince() {
        Moment now = clock.now();
        if (now.since(lastCheck).compareTo(PAUSE_THRESHOLD) > 0) {
            runningSince = now;
        }
        lastCheck = now;
        return runningSince;
    }

    /** Whether the loop has run without a pause for this time. */
    public boolean hasRunWithoutPauseFor(Span time) {
        return clock.now().since(runningSince()).compareTo(time) >= 0;
    }

    /** Ends the checks. */
    public void close() {
        vertx.cancelTimer(timer);
    }
}
