package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The part of a queue's machines on which jobs without an objective go first once they have waited. Behind a day's work
 * with objectives they began when that was over, 338 to 472 s after they came, and less than half of a class was served. Whole
 * machines, as a few such tasks on each machine would leave none empty for tasks that take a whole one: with as many cores
 * spread over all machines, such a class met its objective for 0.38 of its jobs in place of 0.91.
 */
final class ReservedCapacity {
    private static final double RESERVED_FRACTION = 0.125;
    private static final Span SELECTION_LIFE = Span.seconds(1);

    /** Counted at a moment; empty where no such job waits. The jobs are those with the least work left first. */
    private record Selection(Set<MachineId> machines, List<Job> jobs, Moment at) {}

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final Map<FairShareQueue, Selection> byQueue = new HashMap<>();

    ReservedCapacity(Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
    }

    /** Whether it has no objective, and has waited for so long that one task of any job should run. */
    boolean isEligible(Job job, Moment now) {
        return objectives.hasNoObjective(job) && !job.spec.isService() && ServiceLevelObjectives.isStarved(job, now);
    }

    /** Whether such jobs go first on the machine; selects machines and jobs anew once per {@link #SELECTION_LIFE}. */
    boolean isReserved(Machine machine, FairShareQueue queue, List<Job> jobs, Moment now) {
        Selection selection = byQueue.get(queue);
        if (selection == null || !now.isBefore(selection.at.plus(SELECTION_LIFE))) {
            List<Job> waiting = jobs.stream()
                    .filter(job -> isEligible(job, now) && job.hasStartable())
                    .sorted(Comparator.comparingDouble(this::remainingWork))
                    .toList();
            selection = new Selection(waiting.isEmpty() ? Set.of() : choose(queue, now), waiting, now);
            byQueue.put(queue, selection);
        }
        return selection.machines.contains(machine.id);
    }

    /**
     * The jobs that go first there, those with the least work left before others: most of a class are over before one large
     * array is. That one goes on as soon as it is aged, or wherever there is room.
     */
    List<Job> jobs(FairShareQueue queue) {
        return byQueue.get(queue).jobs;
    }

    private double remainingWork(Job job) {
        return job.waitingCount()
                * job.spec.demand().cores()
                * estimates.runTime(job).seconds();
    }

    /** Those that do most such work already, so that they stay the same ones. */
    private Set<MachineId> choose(FairShareQueue queue, Moment now) {
        Map<Machine, Double> work = new HashMap<>();
        List<Machine> usable = new ArrayList<>();
        for (Machine machine : cluster.machinesServing(queue)) {
            if (machine.isUsable()) {
                usable.add(machine);
                work.put(
                        machine,
                        machine.placements().values().stream()
                                .filter(placement -> isEligible(placement.job, now))
                                .mapToDouble(placement -> placement.demand().cores())
                                .sum());
            }
        }
        usable.sort(Comparator.<Machine>comparingDouble(machine -> -work.get(machine))
                .thenComparing(machine -> machine.id));
        Set<MachineId> chosen = new HashSet<>();
        usable.subList(0, (int) (usable.size() * RESERVED_FRACTION)).forEach(machine -> chosen.add(machine.id));
        return chosen;
    }
}
