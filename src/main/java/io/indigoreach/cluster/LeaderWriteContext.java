package io.indigoreach.cluster;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;

/**
 * What the tasks of one leadership term need for their writes to the state service. All of it is used on the node's event loop.
 *
 * @param leadershipRevision the revision of the leadership key, on which every write is conditional
 * @param limiter shared by all writers of the term
 */
record LeaderWriteContext(
        NodeContext context,
        FencingToken token,
        Revision leadershipRevision,
        RateLimiter limiter,
        DepositionListener listener) {
    /** Called when a write shows that another node holds the leadership key, or that it is gone. */
    @FunctionalInterface
    interface DepositionListener {
        void deposed();
    }

    /** An empty transaction that is rejected once this term is over. */
    StateClient.Txn newTransaction() {
        return new StateClient.Txn().when(RecordKeys.LEADER, leadershipRevision);
    }

    /** Whether a transaction was rejected because the leadership key has changed. */
    static boolean isDeposed(StateClient.Outcome outcome) {
        return outcome.failedKeys().contains(RecordKeys.LEADER);
    }

    void deposed() {
        listener.deposed();
    }
}
