package io.indigoreach.core;

import java.util.HashSet;
import java.util.Set;

/**
 * What a node says of the cancellations that it has told users of.
 *
 * @param cancelled jobs that are cancelled, whatever else is true
 * @param covered for so long before the answer, none was told that is not among them; a node that has just started, or has
 *     forgotten earlier ones, covers less than it is asked for
 */
public record CancellationWord(Set<JobId> cancelled, Span covered) {
    /** Of a node that does not answer, or says what cannot be read: never "nothing cancelled". */
    public static final CancellationWord NONE = new CancellationWord(Set.of(), Span.ZERO);

    public CancellationWord and(CancellationWord other) {
        Set<JobId> both = new HashSet<>(cancelled);
        both.addAll(other.cancelled);
        return new CancellationWord(both, covered.compareTo(other.covered) < 0 ? covered : other.covered);
    }
}
