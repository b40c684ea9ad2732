package io.indigoreach.core.loss;

/**
 * What a node remembers from its own leadership terms. Finished jobs are final. Open jobs are up to date only until another node leads,
 * under which they may finish, so they are forgotten then.
 */
public final class LeaderMemory {
    private RememberedState rememberedState = new RememberedState();

    /** Records that a term of this node begins; {@code succeedsItself}: no other node has led since its last term. */
    public void beginTerm(boolean succeedsItself) {
        if (!succeedsItself) {
            // Open jobs are cleared at the start of a term, not at its end. A term that ends before it has read the
            // records adds no open jobs; if this node then leads again with no other leader in between, it would
            // otherwise treat the open jobs from two terms ago as current.
            RememberedState finishedJobs = new RememberedState();
            rememberedState.finishedJobs().forEach(finishedJobs::add);
            rememberedState = finishedJobs;
        }
    }

    /**
     * Records that the term ends.
     *
     * @param termState the state that the term knew; empty if it had not read the records, and then the earlier state is kept
     */
    public void endTerm(RememberedState termState) {
        rememberedState = termState.isEmpty() ? rememberedState : termState;
    }

    /** Returns the remembered state. */
    public RememberedState rememberedState() {
        return rememberedState;
    }
}
