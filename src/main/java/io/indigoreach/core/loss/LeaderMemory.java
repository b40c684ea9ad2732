package io.indigoreach.core.loss;

/**
 * What a node knows from its own leadership terms. Finished jobs are final; open jobs are up to date only as long as nobody else has
 * led since, and are forgotten once somebody has, as they may have finished since.
 */
public final class LeaderMemory {
    private RememberedState known = new RememberedState();

    /** A term begins; {@code succeedsItself}: nobody else has led since this node's last term. */
    public void termBegins(boolean succeedsItself) {
        if (!succeedsItself) {
            // Forgotten for good: a term that ends before it has read the records adds nothing, and the next one
            // succeeds
            // it. That one would take for up to date what was open two terms ago.
            RememberedState finished = new RememberedState();
            known.finished().forEach(finished::add);
            known = finished;
        }
    }

    /** A term ends; {@code last}: what it knew, empty if it had not read the records and so knew less than the one before. */
    public void termEnds(RememberedState last) {
        known = last.isEmpty() ? known : last;
    }

    public RememberedState known() {
        return known;
    }
}
