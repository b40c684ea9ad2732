package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Marks on-demand machines that are not needed as surplus, fewer at a time than the need goes down. */
final class SurplusRetention {
    /** Seconds in which the number of on-demand machines kept goes down by half. */
    private static final double RETENTION_HALF_LIFE_S = 60;

    private record Kept(double machines, Moment at) {}

    private final Cluster cluster;
    /** On-demand machines kept, per queue and type: the number follows the need up at once, and down over some time. */
    private final Map<String, Kept> retained = new HashMap<>();

    SurplusRetention(Cluster cluster) {
        this.cluster = cluster;
    }

    /** On-demand machines beyond those needed take no new tasks, those with the fewest tasks first. */
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
            if (someNeedOnDemand || cluster.machineTypes.get(type).spotPrice() <= 0) {
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
            // One that holds replicas is paid for in any case, so the rest of it is used.
            machine.setSurplus(CapacityForecast.heldByReplicas(machine) == 0 && left >= 1);
            left -= machine.surplus ? 1 : 0;
        }
    }

    /**
     * How many to keep for a need. One returned and rented again costs a boot and the minimum paid time, so the number
     * goes down by no more than half in that time. A new leader does not know what the machines that are there have been
     * kept for, and begins with all of them.
     */
    private double retained(String queueAndType, double needed, double present, Moment now) {
        Kept previous = retained.getOrDefault(queueAndType, new Kept(present, now));
        double halvings = now.since(previous.at).seconds() / RETENTION_HALF_LIFE_S;
        double keep = Math.max(needed, previous.machines * Math.pow(0.5, halvings));
        retained.put(queueAndType, new Kept(keep, now));
        return keep;
    }
}
