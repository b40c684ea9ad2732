package io.indigoreach.core.model;

/**
 * The scheduling target of a job.
 *
 * @param due the deadline for completion, or null if there is none
 */
public record JobTarget(Urgency urgency, Moment due) {
    /** Combines two targets: the higher urgency and the earlier deadline. */
    public JobTarget strictest(JobTarget other) {
        return new JobTarget(
                other.urgency.isMoreUrgentThan(urgency) ? other.urgency : urgency, earlier(due, other.due));
    }

    /** Returns the target of a job that must complete before a job with this target starts, where the latter runs for {@code run}. */
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
