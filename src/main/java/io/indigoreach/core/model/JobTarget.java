package io.indigoreach.core.model;

/**
 * The scheduling target of a job.
 *
 * @param deadline the deadline for completion, or null if there is none
 */
public record JobTarget(Urgency urgency, Moment deadline) {
    /** Combines two targets: the higher urgency and the earlier deadline. */
    public JobTarget combinedWith(JobTarget other) {
        return new JobTarget(
                other.urgency.isMoreUrgentThan(urgency) ? other.urgency : urgency, earlierOf(deadline, other.deadline));
    }

    /** Returns the target of a job that must complete before a job with this target starts, where the latter runs for {@code runTime}. */
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
