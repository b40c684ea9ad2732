package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import java.util.HashMap;
import java.util.Map;

/**
 * The machines that a new leader has not reconciled yet. Tasks that an earlier leader started may be on any machine
 * that it could command, and all of these are recorded in the state service. No inherited task may start until each of
 * them has sent a heartbeat with the new token, no longer exists, or cannot hold a valid lease any more.
 */
final class FailoverTracker {
    /** Maps each unreconciled machine to the moment since which no earlier leader has answered its heartbeats. */
    private final Map<MachineId, Moment> unansweredSince = new HashMap<>();

    void addUnreconciled(MachineId machine, Moment since) {
        unansweredSince.put(machine, since);
    }

    /**
     * Whether a newer heartbeat with an older token shows that no task of an earlier leader is left on the machine. Any
     * answer of this leader would have given the machine the new token, and an answer to an earlier heartbeat can no
     * longer arrive, because a worker has one heartbeat in flight. So no answer of this leader has renewed the lease,
     * and the lease that an earlier leader renewed has expired if that leader's last answer is older than
     * {@code expiredBefore}. Without this check a failover would wait for as long as a machine sends heartbeats but
     * receives no answers, because each answered heartbeat postpones the moment when its lease counts as expired.
     */
    boolean isInheritedLeaseExpired(MachineId machine, Moment expiredBefore) {
        Moment since = unansweredSince.get(machine);
        return since != null && since.isBefore(expiredBefore);
    }

    /** Marks a machine as reconciled: it has no unknown tasks any more. */
    void markReconciled(MachineId machine) {
        unansweredSince.remove(machine);
    }

    int unreconciledCount() {
        return unansweredSince.size();
    }

    boolean isComplete() {
        return unansweredSince.isEmpty();
    }
}
