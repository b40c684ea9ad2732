package io.indigoreach.core.leadership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import java.util.HashSet;
import java.util.Set;

/**
 * A node's report on the cancellations that it has confirmed to users.
 *
 * @param cancelled jobs that are surely cancelled
 * @param covered the time before the answer in which no others were confirmed; a node that has just started, or has
 *     forgotten earlier ones, covers less than it is asked for
 */
public record CancellationSummary(Set<JobId> cancelled, Span covered) {
    /** Of a node that does not answer, or not legibly: it covers no time, so it never means "nothing cancelled". */
    public static final CancellationSummary NONE = new CancellationSummary(Set.of(), Span.ZERO);

    /** The report of all nodes together: it covers the shorter time. */
    public CancellationSummary mergedWith(CancellationSummary other) {
        Set<JobId> all = new HashSet<>(cancelled);
        all.addAll(other.cancelled);
        return new CancellationSummary(all, covered.compareTo(other.covered) < 0 ? covered : other.covered);
    }
}
