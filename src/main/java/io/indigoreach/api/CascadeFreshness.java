package io.indigoreach.api;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Tracks whether this node can rely on open records to show the cancellations that the leader should already have
 * cascaded to them. It cannot if reads from the state service may be stale, or if within the last cascade time (see
 * {@link #setCascadeTime}) a request of this node to the state service failed, the leadership changed, or this node
 * started. Used on the event loop only.
 */
final class CascadeFreshness {
    private final SteadyClock clock;
    private final BooleanSupplier readsSuspect;
    private Span cascadeTime = Span.ZERO;
    private Supplier<Object> leadershipId = () -> "";
    private Object lastLeadership;
    private Moment lastDisruption;

    /** @param readsSuspect returns whether reads from the state service may be stale */
    CascadeFreshness(SteadyClock clock, BooleanSupplier readsSuspect) {
        this.clock = clock;
        this.readsSuspect = readsSuspect;
        this.lastDisruption = clock.now();
    }

    /**
     * Sets the cascade time.
     *
     * @param time how long after a cancellation users may still see a dependent job as waiting
     * @param currentLeadership returns a value that is different for each leadership
     */
    void setCascadeTime(Span time, Supplier<Object> currentLeadership) {
        cascadeTime = time;
        leadershipId = currentLeadership;
    }

    /** Records that a request to the state service has failed. */
    void recordRequestFailure() {
        lastDisruption = clock.now();
    }

    /** Returns whether open records may lack a cascaded cancellation. */
    boolean mayBeStale() {
        Object current = leadershipId.get();
        if (!Objects.equals(current, lastLeadership)) {
            lastLeadership = current;
            lastDisruption = clock.now();
        }
        return readsSuspect.getAsBoolean() || clock.now().since(lastDisruption).compareTo(cascadeTime) < 0;
    }
}
