package io.indigoreach.api;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Whether the leader may have been kept from sweeping the jobs below a cancelled one for as long as a user may be told that
 * they wait. This node has then had a request to the state service fail, or seen another leadership, within that time; or it
 * has just started and cannot know.
 */
final class CascadeFreshness {
    private final SteadyClock clock;
    private final BooleanSupplier stateServiceDoubted;
    private Span cascadeTime = Span.ZERO;
    private Supplier<Object> leadership = () -> "";
    private Object lastSeen;
    private Moment since;

    /** {@code doubted}: the state service's answers are in doubt themselves. */
    CascadeFreshness(SteadyClock clock, BooleanSupplier stateServiceDoubted) {
        this.clock = clock;
        this.stateServiceDoubted = stateServiceDoubted;
        this.since = clock.now();
    }

    /** {@code time}: how long a user may be told that a job waits after one before it was cancelled. */
    void cascadeWithin(Span time, Supplier<Object> currentLeadership) {
        cascadeTime = time;
        leadership = currentLeadership;
    }

    /** A request to the state service has failed. */
    void requestFailed() {
        since = clock.now();
    }

    boolean mayBeStale() {
        Object current = leadership.get();
        if (!Objects.equals(current, lastSeen)) {
            lastSeen = current;
            since = clock.now();
        }
        return stateServiceDoubted.getAsBoolean() || clock.now().since(since).compareTo(cascadeTime) < 0;
    }
}
