package io.indigoreach.net;

import io.indigoreach.core.model.Span;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A step that is repeated: each result is the pause until the next step. A step that fails is logged and followed by a fixed pause.
 * A cancellation takes effect after the running step. Used on one event loop only.
 */
public final class PeriodicTask {
    private static final Logger LOG = LoggerFactory.getLogger(PeriodicTask.class);

    private static final long NO_TIMER = -1;

    private final Vertx vertx;
    private final String name;
    private final Span pauseAfterFailure;
    private final Supplier<Future<Span>> step;
    private boolean cancelled;
    private boolean running;
    private boolean wakeRequested;
    private long timer = NO_TIMER;

    /**
     * Creates the task; {@link #start()} takes the first step.
     *
     * @param name identifies the task in the log
     * @param pauseAfterFailure the pause after a step that failed or threw
     * @param step one step
     */
    public PeriodicTask(Vertx vertx, String name, Span pauseAfterFailure, Supplier<Future<Span>> step) {
        this.vertx = vertx;
        this.name = name;
        this.pauseAfterFailure = pauseAfterFailure;
        this.step = step;
    }

    /** Takes the first step now. */
    public PeriodicTask start() {
        runStep();
        return this;
    }

    /** Takes the next step now, or 1 ms after the running one. */
    public void wake() {
        if (running) {
            wakeRequested = true;
        } else if (!cancelled && timer != NO_TIMER) {
            vertx.cancelTimer(timer);
            runStep();
        }
    }

    /** Ends the task: no further step is taken. */
    public void cancel() {
        cancelled = true;
        if (timer != NO_TIMER) {
            vertx.cancelTimer(timer);
            timer = NO_TIMER;
        }
    }

    /** Whether the task was ended. */
    public boolean isCancelled() {
        return cancelled;
    }

    private void runStep() {
        timer = NO_TIMER;
        if (cancelled) {
            return;
        }
        running = true;
        wakeRequested = false;
        Future<Span> result;
        try {
            result = step.get();
        } catch (RuntimeException e) {
            LOG.error("periodic task failed task={}", name, e);
            result = Future.failedFuture(e);
        }
        result.onComplete(done -> {
            running = false;
            if (cancelled) {
                return;
            }
            if (done.failed()) {
                LOG.debug(
                        "periodic task will retry task={} cause={}",
                        name,
                        done.cause().toString());
            }
            Span pause = done.succeeded() ? done.result() : pauseAfterFailure;
            timer = vertx.setTimer(Math.max(1, wakeRequested ? 1 : pause.ms()), fired -> runStep());
        });
    }
}
