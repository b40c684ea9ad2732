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
            // Open jobs are forgotten now and not at the end of the term: a term that ends before it has read the
            // records
            // adds nothing, and if this node then succeeds itself, it would take the open jobs of two terms ago for up
            // to
            // date.
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
