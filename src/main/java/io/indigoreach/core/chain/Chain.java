package io.indigoreach.core.chain;

import io.indigoreach.core.JobId;
import java.util.List;

/**
 * The jobs that have to be done before any task of a job starts.
 *
 * @param needs the named jobs; empty for most jobs
 * @param releasedMs when a leader found all of them done, by the time of day; 0 as long as no record says so
 */
public record Chain(List<JobId> needs, long releasedMs) {
    /** Of a job that waits for no other. */
    public static final Chain NONE = new Chain(List.of(), 0);

    public Chain {
        needs = List.copyOf(needs);
    }

    public static Chain of(List<JobId> needs) {
        return needs.isEmpty() ? NONE : new Chain(needs, 0);
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

    public Chain released(long atMs) {
        return new Chain(needs, atMs);
    }
}
