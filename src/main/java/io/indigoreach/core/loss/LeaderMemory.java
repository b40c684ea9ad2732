package io.indigoreach.core.loss;

/**
 * What a node knows from its own leaderships. What is over is so for ever; what was open is the newest there is only as long as
 * nobody else has led since, and forgotten for good once somebody has: the job may be over since.
 */
public final class LeaderMemory {
    private RememberedState known = new RememberedState();

    /** {@code succeedsItself}: nobody else has led since this node's last leadership. */
    public void begins(boolean succeedsItself) {
        if (!succeedsItself) {
            // Not only left out now: a leadership that ends before it has read the records adds nothing, and the next
            // one
            // succeeds itself. It would take for the newest what was open two leaderships ago.
            RememberedState ends = new RememberedState();
            known.over().forEach(ends::add);
            known = ends;
        }
    }

    /** {@code last}: what this node knew as the leader; empty if it had not read the records, and then it knew less than before. */
    public void ends(RememberedState last) {
        known = last.isEmpty() ? known : last;
    }

    public RememberedState known() {
        return known;
    }
}
