package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import java.util.HashMap;
import java.util.Map;

/**
 * The machines that a new leader has not reconciled yet. Tasks that an earlier leader started may be on any machine that it
 * could command, and these are all recorded in the state service. Until each of them has sent a heartbeat under the new
 * token, or is gone, or its lease has surely expired, no inherited task may be started.
 */
final class FailoverTracker {
    /** Of each, since when no earlier leader has answered it. */
    private final Map<MachineId, Moment> unansweredSince = new HashMap<>();

    void addUnreconciled(MachineId machine, Moment since) {
        unansweredSince.put(machine, since);
    }

    /**
     * Whether a newer heartbeat under an older token shows that nothing of an earlier leader is left on the machine: any
     * answer of this leader would have shown it the token, and one to an earlier heartbeat can arrive no more, as a worker has
     * one heartbeat in flight. So none has renewed its lease, and the last one before the failover has expired if it is
     * older than {@code leaseEnds}. Guards against a failover that waits for as long as a machine sends heartbeats and
     * receives no answers: each heartbeat could be answered, and so each postpones when its lease counts as expired.
     */
    boolean isInheritedLeaseExpired(MachineId machine, Moment expiredBefore) {
        Moment since = unansweredSince.get(machine);
        return since != null && since.isBefore(expiredBefore);
    }

    /** Nothing unknown is on this machine any more. */
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
