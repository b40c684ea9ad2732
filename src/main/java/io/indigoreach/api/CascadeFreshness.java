package io.indigoreach.api;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Whether open records may lack a cancellation that the leader should have cascaded to them by now. That is so if, within the
 * cascade time, a request of this node to the state service failed, or another leadership began, or this node started.
 * Used on the event loop only.
 */
final class CascadeFreshness {
    private final SteadyClock clock;
    private final BooleanSupplier readsSuspect;
    private Span cascadeTime = Span.ZERO;
    private Supplier<Object> leadership = () -> "";
    private Object lastLeadership;
    private Moment lastDisruption;

    /** {@code stateServiceDoubted}: whether the answers of the state service may themselves be stale. */
    CascadeFreshness(SteadyClock clock, BooleanSupplier readsSuspect) {
        this.clock = clock;
        this.readsSuspect = readsSuspect;
        this.lastDisruption = clock.now();
    }

    /**
     * Sets the cascade time.
     *
     * @param time for how long after a cancellation a user may be told that a dependant still waits
     * @param currentLeadership a value that differs between any two leaderships
     */
    void setCascadeTime(Span time, Supplier<Object> currentLeadership) {
        cascadeTime = time;
        leadership = currentLeadership;
    }

    /** Records that a request to the state service has failed. */
    void recordRequestFailure() {
        lastDisruption = clock.now();
    }

    /** Whether open records may lack a cascaded cancellation. */
    boolean mayBeStale() {
        Object current = leadership.get();
        if (!Objects.equals(current, lastLeadership)) {
            lastLeadership = current;
            lastDisruption = clock.now();
        }
        return readsSuspect.getAsBoolean() || clock.now().since(lastDisruption).compareTo(cascadeTime) < 0;
    }
}
