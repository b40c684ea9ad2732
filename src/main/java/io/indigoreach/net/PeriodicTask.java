package io.indigoreach.net;

import io.indigoreach.core.model.Span;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Repeats a step. The result of a step is the pause before the next one. After a failed step, which is logged, the pause is fixed.
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
     * Creates a task; {@link #start()} runs its first step.
     *
     * @param name identifies the task in the log
     * @param pauseAfterFailure the pause after a step that failed or threw an exception
     * @param step starts a step; the future completes with the pause before the next step
     */
    public PeriodicTask(Vertx vertx, String name, Span pauseAfterFailure, Supplier<Future<Span>> step) {
        this.vertx = vertx;
        this.name = name;
        this.pauseAfterFailure = pauseAfterFailure;
        this.step = step;
    }

    /** Runs the first step immediately. */
    public PeriodicTask start() {
        runStep();
        return this;
    }

    /** Runs the next step immediately, or 1 ms after the running step ends. */
    public void wake() {
        if (running) {
            wakeRequested = true;
        } else if (!cancelled && timer != NO_TIMER) {
            vertx.cancelTimer(timer);
            runStep();
        }
    }

    /** Cancels the task: no further step runs. */
    public void cancel() {
        cancelled = true;
        if (timer != NO_TIMER) {
            vertx.cancelTimer(timer);
            timer = NO_TIMER;
        }
    }

    /** Returns whether the task was cancelled. */
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
