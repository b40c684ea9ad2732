package io.indigoreach.core.leadership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import java.util.HashSet;
import java.util.Set;

/**
 * A node's report on the cancellations that it has confirmed to users.
 *
 * @param cancelled jobs whose cancellation is durable
 * @param covered the time before the response in which the node confirmed no other cancellation; shorter than requested if the node
 *     started within that time or no longer remembers all of it
 */
public record CancellationSummary(Set<JobId> cancelled, Span covered) {
    /** Stands for a missing or malformed response. It covers no time, so it never implies that nothing was cancelled. */
    public static final CancellationSummary NONE = new CancellationSummary(Set.of(), Span.ZERO);

    /** Combines the reports of two nodes: all cancelled jobs, and the shorter of the covered times. */
    public CancellationSummary mergedWith(CancellationSummary other) {
        Set<JobId> all = new HashSet<>(cancelled);
        all.addAll(other.cancelled);
        return new CancellationSummary(all, covered.compareTo(other.covered) < 0 ? covered : other.covered);
    }
}
