package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import java.util.HashMap;
import java.util.Map;

/**
 * What a new leader does not know yet. Tasks that an earlier leader started may be on any machine that it could give
 * orders to, and these are all in the state service. Until each of them has reported under the new token, or is gone,
 * or its lease has surely run out, nothing inherited may be started.
 */
final class Failover {
    /** Of each, since when no earlier leader has answered it. */
    private final Map<MachineId, Moment> unreconciled = new HashMap<>();

    void expect(MachineId machine, Moment since) {
        unreconciled.put(machine, since);
    }

    /**
     * Whether a newer report under an older token shows that nothing of an earlier leader is left on the machine: any answer
     * of this leader would have shown it the token, and one to a report before can come no more, as it has one under way. So
     * none has renewed its lease, and an earlier leader's last one before the take-over has run out if that is not after
     * {@code leaseEnds}. Guards against a take-over that waits for as long as a machine reports and hears nothing: each
     * report could be answered, and so each puts off when the machine is silent for a lease.
     */
    boolean isLeaseOver(MachineId machine, Moment leaseEnds) {
        Moment since = unreconciled.get(machine);
        return since != null && since.isBefore(leaseEnds);
    }

    /** Nothing unknown is on this machine any more. */
    void reconciled(MachineId machine) {
        unreconciled.remove(machine);
    }

    int unreconciledCount() {
        return unreconciled.size();
    }

    boolean isComplete() {
        return unreconciled.isEmpty();
    }
}
