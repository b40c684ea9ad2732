package io.indigoreach.core.model;

import java.util.List;

/**
 * The jobs that have to be done before any task of a job starts.
 *
 * @param requiredJobs the named jobs; empty for most jobs
 * @param releasedAtMs when a leader found all of them done, by the time of day; 0 as long as no record says so
 */
public record JobDependencies(List<JobId> requiredJobs, long releasedAtMs) {
    /** Of a job that waits for no other. */
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

    /** As far as its own record says, it waits for others. */
    public boolean isWaiting() {
        return !requiredJobs.isEmpty() && !isReleased();
    }

    /** The same dependencies, all of them done. */
    public JobDependencies releasedAt(long timeOfDayMs) {
        return new JobDependencies(requiredJobs, timeOfDayMs);
    }
}
