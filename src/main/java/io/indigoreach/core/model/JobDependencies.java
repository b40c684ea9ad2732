package io.indigoreach.core.model;

import java.util.List;

/**
 * The jobs that have to be done before any task of a job starts.
 *
 * @param needs the named jobs; empty for most jobs
 * @param releasedMs when a leader found all of them done, by the time of day; 0 as long as no record says so
 */
public record JobDependencies(List<JobId> needs, long releasedMs) {
    /** Of a job that waits for no other. */
    public static final JobDependencies NONE = new JobDependencies(List.of(), 0);

    public JobDependencies {
        needs = List.copyOf(needs);
    }

    public static JobDependencies of(List<JobId> needs) {
        return needs.isEmpty() ? NONE : new JobDependencies(needs, 0);
    }

    public boolean isEmpty() {
        return needs.isEmpty();
    }

    public boolean isReleased() {
        return releasedMs > 0;
    }

    /** As far as its own record says, it waits for others. */
    public boolean isWaiting() {
        return !needs.isEmpty() && !isReleased();
    }

    public JobDependencies released(long atMs) {
        return new JobDependencies(needs, atMs);
    }
}
