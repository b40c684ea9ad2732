package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Marks on-demand machines that are no longer needed as surplus, more slowly than the need falls. */
final class SurplusMarker {
    /** Time in which the number of retained on-demand machines halves, in seconds. */
    private static final double RETENTION_HALF_LIFE_S = 60;

    private record Retained(double machines, Moment recordedAt) {}

    private final Cluster cluster;
    /** On-demand machines retained per queue and type. The number rises with the need at once and decays slowly. */
    private final Map<String, Retained> updateRetained = new HashMap<>();

    SurplusMarker(Cluster cluster) {
        this.cluster = cluster;
    }

    /** Marks on-demand machines beyond the retained number as surplus, those with the fewest tasks first. */
    void markSurplus(
            FairShareQueue queue, Map<String, Backlog> backlogs, Map<String, MachineTypeNeed> needs, Moment now) {
        Map<String, List<Machine>> onDemand = onDemandMachines(queue);
        boolean someNeedOnDemand = queue.jobs().stream()
                .anyMatch(job -> job.hasWaiting() && !job.spec.spotAllowed() && !cluster.isTeamAtLimit(job));
        onDemand.forEach((type, machines) -> {
            MachineTypeNeed need = needs.get(type);
            double neededMachines = backlogs.get(type).onDemandNeeded() + (need == null ? 0 : need.onDemandMachines);
            double presentMachines = machines.stream()
                    .mapToDouble(machine -> 1 - CapacityForecast.shareHeldByReplicas(machine))
                    .sum();
            double retainedMachines = updateRetained(queue.name + " " + type, neededMachines, presentMachines, now);
            if (someNeedOnDemand || cluster.machineTypes.get(type).spotPrice() <= 0) {
                retainedMachines = presentMachines;
            }
            markSurplus(machines, presentMachines - Math.round(retainedMachines));
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
        double remaining = surplus;
        for (Machine machine : machines) {
            // A machine with service replicas is paid for anyway, so its free part stays in use.
            machine.setSurplus(CapacityForecast.shareHeldByReplicas(machine) == 0 && remaining >= 1);
            remaining -= machine.surplus ? 1 : 0;
        }
    }

    /**
     * Returns how many machines to retain for a need. Returning a machine and renting another costs a boot and the
     * minimum paid time, so the number falls by no more than half in that time. A new leader does not know the previous
     * need, and begins with all present machines.
     */
    private double updateRetained(String queueAndType, double neededMachines, double presentMachines, Moment now) {
        Retained previous = updateRetained.getOrDefault(queueAndType, new Retained(presentMachines, now));
        double halvings = now.since(previous.recordedAt).seconds() / RETENTION_HALF_LIFE_S;
        double retainedMachines = Math.max(neededMachines, previous.machines * Math.pow(0.5, halvings));
        updateRetained.put(queueAndType, new Retained(retainedMachines, now));
        return retainedMachines;
    }
}
