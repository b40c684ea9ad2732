package io.indigoreach.cluster;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;

/**
 * Shared context of the tasks that write to the state service during one leadership term. Bound to the node's event
 * loop.
 *
 * @param leadershipRevision the revision of the leadership key, on which every write is conditional
 * @param limiter the write rate limit, shared by all writers of the term
 */
record LeaderWriteContext(
        NodeContext context,
        FencingToken token,
        Revision leadershipRevision,
        RateLimiter limiter,
        LeadershipLostListener listener) {
    /** Called when a write shows that another node holds the leadership key, or that the key no longer exists. */
    @FunctionalInterface
    interface LeadershipLostListener {
        void onLeadershipLost();
    }

    /** Creates an empty transaction that the state service rejects once this term is over. */
    StateClient.Txn newTransaction() {
        return new StateClient.Txn().when(RecordKeys.LEADER, leadershipRevision);
    }

    /** Whether a transaction was rejected because the leadership key has changed. */
    static boolean isDeposed(StateClient.Outcome outcome) {
        return outcome.failedKeys().contains(RecordKeys.LEADER);
    }

    void onLeadershipLost() {
        listener.onLeadershipLost();
    }
}
