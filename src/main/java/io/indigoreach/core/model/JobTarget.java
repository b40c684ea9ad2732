package io.indigoreach.core.model;

/**
 * What is asked of a job: how urgent it is, and by when it has to be done.
 *
 * @param due null if nothing says so
 */
public record JobTarget(Urgency urgency, Moment due) {
    /** Both together: the more urgent, the earlier. */
    public JobTarget and(JobTarget other) {
        return new JobTarget(
                other.urgency.isMoreUrgentThan(urgency) ? other.urgency : urgency, earlier(due, other.due));
    }

    /** The same for a job that has to be done before one that runs for {@code run}. */
    public JobTarget before(Span run) {
        return new JobTarget(urgency, due == null ? null : due.minus(run));
    }

    private static Moment earlier(Moment a, Moment b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        return b.isBefore(a) ? b : a;
    }
}
