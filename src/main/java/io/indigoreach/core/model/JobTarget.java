package io.indigoreach.core.model;

/**
 * The target of a job: how urgent it is, and by when it has to be done.
 *
 * @param due null if there is no deadline
 */
public record JobTarget(Urgency urgency, Moment due) {
    /** The stricter of both: the more urgent, the earlier. */
    public JobTarget strictest(JobTarget other) {
        return new JobTarget(
                other.urgency.isMoreUrgentThan(urgency) ? other.urgency : urgency, earlier(due, other.due));
    }

    /** The same for a job that has to be done before one that runs for {@code run}. */
    public JobTarget before(Span run) {
        return new JobTarget(urgency, due == null ? null : due.minus(run));
    }

    private static Moment earlier(Moment first, Moment second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return second.isBefore(first) ? second : first;
    }
}
