package io.indigoreach.core.loss;

/**
 * What a node knows from its own leadership terms. Finished jobs are final; open jobs are up to date only as long as nobody else has
 * led since, and are forgotten once somebody has, as they may have finished since.
 */
public final class LeaderMemory {
    private RememberedState rememberedState = new RememberedState();

    /** A term begins; {@code succeedsItself}: nobody else has led since this node's last term. */
    public void beginTerm(boolean succeedsItself) {
        if (!succeedsItself) {
            // Forgotten for good: a term that ends before it has read the records adds nothing, and the next one
            // succeeds
            // it. That one would take for up to date what was open two terms ago.
            RememberedState finishedJobs = new RememberedState();
            rememberedState.finishedJobs().forEach(finishedJobs::add);
            rememberedState = finishedJobs;
        }
    }

    /** A term ends; {@code last}: what it knew, empty if it had not read the records and so knew less than the one before. */
    public void endTerm(RememberedState termState) {
        rememberedState = termState.isEmpty() ? rememberedState : termState;
    }

    public RememberedState rememberedState() {
        return rememberedState;
    }
}
