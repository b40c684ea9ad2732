package io.indigoreach.net;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.vertx.core.Vertx;

/**
 * Since when the node's loop has turned without standing still. A node that was stopped for seconds, or has too little
 * processor for what it is sent, finds timers, reports and answers all at once, the verdicts of timers before the reports
 * that refute them; so it doubts itself before it says of anybody else that they are silent (Dadgar and others, "Lifeguard",
 * 2017).
 */
public final class EventLoopMonitor {
    private static final Span BEAT = Span.seconds(0.25);
    /** A beat that comes later than this was held up by the node itself. */
    private static final Span STILL = Span.seconds(1);

    private final Vertx vertx;
    private final SteadyClock clock;
    private final long timer;
    private Moment last;
    private Moment awake;

    public EventLoopMonitor(Vertx vertx, SteadyClock clock) {
        this.vertx = vertx;
        this.clock = clock;
        this.last = clock.now();
        this.awake = last;
        this.timer = vertx.setPeriodic(BEAT.ms(), t -> turningSince());
    }

    /** Whoever asks first after a standstill notices it. */
    public Moment turningSince() {
        Moment now = clock.now();
        if (now.since(last).compareTo(STILL) > 0) {
            awake = now;
        }
        last = now;
        return awake;
    }

    public boolean hasTurnedWithoutPauseFor(Span time) {
        return clock.now().since(turningSince()).compareTo(time) >= 0;
    }

    public void close() {
        vertx.cancelTimer(timer);
    }
}
