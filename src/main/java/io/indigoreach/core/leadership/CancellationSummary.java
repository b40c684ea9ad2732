package io.indigoreach.core.leadership;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import java.util.HashSet;
import java.util.Set;

/**
 * What a node says of the cancellations that it has told users of.
 *
 * @param cancelled jobs that are cancelled, whatever else is true
 * @param covered for so long before the answer, none was told that is not among them; a node that has just started, or has
 *     forgotten earlier ones, covers less than it is asked for
 */
public record CancellationSummary(Set<JobId> cancelled, Span covered) {
    /** Of a node that does not answer, or says what cannot be read: never "nothing cancelled". */
    public static final CancellationSummary NONE = new CancellationSummary(Set.of(), Span.ZERO);

    public CancellationSummary and(CancellationSummary other) {
        Set<JobId> both = new HashSet<>(cancelled);
        both.addAll(other.cancelled);
        return new CancellationSummary(both, covered.compareTo(other.covered) < 0 ? covered : other.covered);
    }
}
