package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Marks on-demand machines that are no longer needed as surplus, more slowly than the need falls. */
final class SurplusRetention {
    /** Time in which the number of retained on-demand machines halves, in seconds. */
    private static final double RETENTION_HALF_LIFE_S = 60;

    private record Kept(double machines, Moment at) {}

    private final Cluster cluster;
    /** On-demand machines retained per queue and type. The number rises with the need at once and decays slowly. */
    private final Map<String, Kept> retained = new HashMap<>();

    SurplusRetention(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Marks on-demand machines beyond the retained number as surplus, those with the fewest tasks first. */
    void markSurplus(FairShareQueue queue, Map<String, Backlog> backlogs, Map<String, TypeNeed> needs, Moment now) {
        Map<String, List<Machine>> onDemand = onDemandMachines(queue);
        boolean someNeedOnDemand = queue.jobs().stream().anyMatch(job -> job.hasWaiting() && !job.spec.spotAllowed());
        onDemand.forEach((type, machines) -> {
            TypeNeed need = needs.get(type);
            double needed = backlogs.get(type).onDemandNeeded() + (need == null ? 0 : need.onDemand);
            double present = machines.stream()
                    .mapToDouble(machine -> 1 - CapacityForecast.heldByReplicas(machine))
                    .sum();
            double keep = retained(queue.name + " " + type, needed, present, now);
            if (someNeedOnDemand || cluster.types.get(type).spotPrice() <= 0) {
                keep = present;
            }
            markSurplus(machines, present - Math.round(keep));
        });
    }

    private Map<String, List<Machine>> onDemandMachines(FairShareQueue queue) {
        Map<String, List<Machine>> onDemand = new HashMap<>();
        for (Machine machine : cluster.machinesServing(queue)) {
            if (!machine.pool.spot() && machine.phase == Machine.Phase.UP && machine.poolMembership == null) {
                onDemand.computeIfAbsent(machine.pool.type(), type -> new ArrayList<>())
                        .add(machine);
            }
        }
        return onDemand;
    }

    private static void markSurplus(List<Machine> machines, double surplus) {
        machines.sort(Comparator.comparingInt(Machine::taskCount));
        double left = surplus;
        for (Machine machine : machines) {
            // A machine with service replicas is paid for anyway, so its free part stays in use.
            machine.markSurplus(CapacityForecast.heldByReplicas(machine) == 0 && left >= 1);
            left -= machine.surplus ? 1 : 0;
        }
    }

    /**
     * Returns how many machines to retain for a need. Returning a machine and renting another costs a boot and the
     * minimum paid time, so the number falls by no more than half in that time. A new leader does not know the previous
     * need, and begins with all present machines.
     */
    private double retained(String queueAndType, double needed, double present, Moment now) {
        Kept previous = retained.getOrDefault(queueAndType, new Kept(present, now));
        double halvings = now.since(previous.at).seconds() / RETENTION_HALF_LIFE_S;
        double keep = Math.max(needed, previous.machines * Math.pow(0.5, halvings));
        retained.put(queueAndType, new Kept(keep, now));
        return keep;
    }
}
