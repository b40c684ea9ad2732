package io.indigoreach.core.warm;

import io.indigoreach.core.accounts.Line;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.Machine;
import io.indigoreach.core.scheduling.PoolMembership;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Gives machines the seats that they had under an earlier leader, by the lines that it left or by the holder that runs there. */
final class MembershipRecovery {
    /** Lines of an earlier leader for machines that have not reported to this one. */
    private final Map<MachineId, Line> recalled = new HashMap<>();
    /** Machines that left a pool, and whose holder has not yet. */
    private final Set<MachineId> letGo = new HashSet<>();

    void recall(Collection<Line> lines) {
        lines.stream().filter(line -> !line.image().isEmpty()).forEach(line -> recalled.put(line.machine(), line));
    }

    /** It has left its pool, though its holder may still run. */
    void letGo(MachineId machine) {
        letGo.add(machine);
    }

    /** Only these machines are there. */
    void retain(Set<MachineId> there) {
        letGo.retainAll(there);
    }

    void restore(Machine machine, Map<String, PoolState> states) {
        Line line = recalled.get(machine.id());
        Job holder = machine.holderJob();
        if (holder == null) {
            letGo.remove(machine.id());
        }
        PoolState s = states.get(line != null ? line.payer().pool() : holder == null ? "" : poolOf(holder));
        if (machine.poolMembership() == null && s != null && line != null) {
            machine.poolMembership(new PoolMembership(s.spec.name(), line.image(), line.gb(), s.spec.replica()));
        } else if (machine.poolMembership() == null
                && s != null
                && machine.incarnation() > 0
                && !letGo.contains(machine.id())) {
            // Its line was lost, or never written: a holder shows whose it is.
            machine.poolMembership(new PoolMembership(
                    s.spec.name(), holder.spec().image(), holder.spec().imageGb(), s.spec.replica()));
        }
        if (line != null && machine.incarnation() > 0) {
            machine.imageCache().restore(line.image(), line.gb(), line.session() == machine.incarnation());
            recalled.remove(machine.id());
        }
    }

    /** The pool that a holder names. */
    static String poolOf(Job job) {
        return String.valueOf(job.spec().extensions().get(JobSpec.WARM_POOL_FIELD));
    }
}
