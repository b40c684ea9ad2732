package io.indigoreach.core.model;

import java.util.List;

/**
 * The jobs that must complete before any task of a job starts.
 *
 * @param requiredJobs the required jobs; empty for most jobs
 * @param releasedAtMs the time of day in milliseconds at which a leader found all required jobs completed; 0 until that is recorded
 */
public record JobDependencies(List<JobId> requiredJobs, long releasedAtMs) {
    /** The dependencies of a job that requires no other job. */
    public static final JobDependencies NONE = new JobDependencies(List.of(), 0);

    public JobDependencies {
        requiredJobs = List.copyOf(requiredJobs);
    }

    public static JobDependencies of(List<JobId> requiredJobs) {
        return requiredJobs.isEmpty() ? NONE : new JobDependencies(requiredJobs, 0);
    }

    public boolean isEmpty() {
        return requiredJobs.isEmpty();
    }

    public boolean isReleased() {
        return releasedAtMs > 0;
    }

    /** Whether the job waits for required jobs, according to its own record. */
    public boolean isWaiting() {
        return !requiredJobs.isEmpty() && !isReleased();
    }

    /** Returns the same dependencies, released at the given time of day. */
    public JobDependencies releasedAt(long timeOfDayMs) {
        return new JobDependencies(requiredJobs, timeOfDayMs);
    }
}
