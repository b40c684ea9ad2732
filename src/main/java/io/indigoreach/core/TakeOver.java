package io.indigoreach.core;

import java.util.HashSet;
import java.util.Set;

/**
 * What a new leader does not know yet. Tasks that an earlier leader started may be on any machine that it could give
 * orders to, and these are all in the state service. Until each of them has reported under the new token, or is gone,
 * or its lease has surely run out, nothing inherited may be started.
 */
final class TakeOver {
    private final Set<MachineId> unaccounted = new HashSet<>();

    void expect(MachineId machine) {
        unaccounted.add(machine);
    }

    /** Nothing unknown is on this machine any more. */
    void accounted(MachineId machine) {
        unaccounted.remove(machine);
    }

    int outstanding() {
        return unaccounted.size();
    }

    boolean isSettled() {
        return unaccounted.isEmpty();
    }
}
