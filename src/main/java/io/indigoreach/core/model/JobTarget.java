package io.indigoreach.core.model;

/**
 * The target of a job: how urgent it is, and by when it has to be done.
 *
 * @param due null if there is no deadline
 */
public record JobTarget(Urgency urgency, Moment deadline) {
    /** The stricter of both: the more urgent, the earlier. */
    public JobTarget combinedWith(JobTarget other) {
        return new JobTarget(
                other.urgency.isMoreUrgentThan(urgency) ? other.urgency : urgency, earlierOf(deadline, other.deadline));
    }

    /** The same for a job that has to be done before one that runs for {@code run}. */
    public JobTarget forRequiredJob(Span runTime) {
        return new JobTarget(urgency, deadline == null ? null : deadline.minus(runTime));
    }

    private static Moment earlierOf(Moment first, Moment second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return second.isBefore(first) ? second : first;
    }
}
