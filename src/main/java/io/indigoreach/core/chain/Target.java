package io.indigoreach.core.chain;

import io.indigoreach.core.Moment;
import io.indigoreach.core.Span;
import io.indigoreach.core.Urgency;

/**
 * What is asked of a job: how urgent it is, and by when it has to be done.
 *
 * @param due null if nothing says so
 */
public record Target(Urgency urgency, Moment due) {
    /** Both together: the more urgent, the earlier. */
    public Target and(Target other) {
        return new Target(other.urgency.isMoreUrgentThan(urgency) ? other.urgency : urgency, earlier(due, other.due));
    }

    /** The same for a job that has to be done before one that runs for {@code run}. */
    public Target before(Span run) {
        return new Target(urgency, due == null ? null : due.minus(run));
    }

    private static Moment earlier(Moment a, Moment b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        return b.isBefore(a) ? b : a;
    }
}
