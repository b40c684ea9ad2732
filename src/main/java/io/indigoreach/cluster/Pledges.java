package io.indigoreach.cluster;

import io.indigoreach.core.Span;

/**
 * What other nodes say to a leader that the state service does not answer.
 *
 * @param all each has pledged not to lead for a while
 * @param quiet for so long, up to its answer, none has told a user of a cancellation that was not told before
 */
record Pledges(boolean all, Span quiet) {
    static final Pledges NONE = new Pledges(false, Span.ZERO);

    Pledges and(Pledges other) {
        return new Pledges(all && other.all, quiet.compareTo(other.quiet) < 0 ? quiet : other.quiet);
    }
}
