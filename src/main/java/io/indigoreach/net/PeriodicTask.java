package io.indigoreach.net;

import io.indigoreach.core.model.Span;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A long-lived routine: one step after the other, each saying how long to wait until the next. A step that fails is
 * logged and followed by a pause. Cancelling ends it after the step that is under way.
 */
public final class PeriodicTask {
    private static final Logger LOG = LoggerFactory.getLogger(PeriodicTask.class);

    private final Vertx vertx;
    private final String name;
    private final Span pauseAfterFailure;
    private final Supplier<Future<Span>> step;
    private boolean cancelled;
    private boolean underWay;
    private boolean again;
    private long timer = -1;

    public PeriodicTask(Vertx vertx, String name, Span pauseAfterFailure, Supplier<Future<Span>> step) {
        this.vertx = vertx;
        this.name = name;
        this.pauseAfterFailure = pauseAfterFailure;
        this.step = step;
    }

    public PeriodicTask start() {
        next();
        return this;
    }

    /** Takes the next step now, or right after the one under way. */
    public void wake() {
        if (underWay) {
            again = true;
        } else if (!cancelled && timer != -1) {
            vertx.cancelTimer(timer);
            next();
        }
    }

    public void cancel() {
        cancelled = true;
        if (timer != -1) {
            vertx.cancelTimer(timer);
            timer = -1;
        }
    }

    public boolean isCancelled() {
        return cancelled;
    }

    private void next() {
        timer = -1;
        if (cancelled) {
            return;
        }
        underWay = true;
        again = false;
        Future<Span> result;
        try {
            result = step.get();
        } catch (RuntimeException e) {
            LOG.error("{}: fault", name, e);
            result = Future.failedFuture(e);
        }
        result.onComplete(done -> {
            underWay = false;
            if (cancelled) {
                return;
            }
            if (done.failed()) {
                LOG.debug("{}: {}", name, done.cause().toString());
            }
            Span pause = done.succeeded() ? done.result() : pauseAfterFailure;
            timer = vertx.setTimer(Math.max(1, again ? 1 : pause.ms()), t -> next());
        });
    }
}
