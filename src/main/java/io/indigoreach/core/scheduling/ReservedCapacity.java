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
 * The part of a share's machines on which jobs go first that nobody said a time for, once they have waited. Behind a day's
 * aimed work they began when that was over, 338 to 472 s after they came, and less than half of a class was served. Whole
 * machines, as a few such tasks on each machine would leave none empty for tasks that take a whole one: with as many cores
 * spread over all machines, such a class had 0.38 within its aim in place of 0.91.
 */
final class ReservedCapacity {
    private static final double PART = 0.125;
    private static final Span LIFE = Span.seconds(1);

    /** Counted at a moment; empty where no such job waits. The jobs are those with the least work left first. */
    private record Selection(Set<MachineId> machines, List<Job> jobs, Moment at) {}

    private final Cluster cluster;
    private final ServiceLevelObjectives aims;
    private final Estimates estimates;
    private final Map<FairShareQueue, Selection> byShare = new HashMap<>();

    ReservedCapacity(Cluster cluster, ServiceLevelObjectives aims, Estimates estimates) {
        this.cluster = cluster;
        this.aims = aims;
        this.estimates = estimates;
    }

    /** Nobody said by when it should be served, and it has waited for as long as something of any job should run. */
    boolean isFor(Job job, Moment now) {
        return aims.isWithout(job) && !job.spec.isService() && ServiceLevelObjectives.isToBegin(job, now);
    }

    boolean has(Machine m, FairShareQueue share, List<Job> queue, Moment now) {
        Selection counted = byShare.get(share);
        if (counted == null || !now.isBefore(counted.at.plus(LIFE))) {
            List<Job> waiting = queue.stream()
                    .filter(job -> isFor(job, now) && job.hasStartable())
                    .sorted(Comparator.comparingDouble(this::left))
                    .toList();
            counted = new Selection(waiting.isEmpty() ? Set.of() : choose(share, now), waiting, now);
            byShare.put(share, counted);
        }
        return counted.machines.contains(m.id);
    }

    /**
     * The jobs that go first there, those with the least work left before others: most of a class are over before one large
     * array is. That one goes on as soon as it is aged, or wherever there is room.
     */
    List<Job> jobs(FairShareQueue share) {
        return byShare.get(share).jobs;
    }

    private double left(Job job) {
        return job.waiting() * job.spec.demand().cores() * estimates.run(job).seconds();
    }

    /** Those that do most such work already, so that they stay the same ones. */
    private Set<MachineId> choose(FairShareQueue share, Moment now) {
        Map<Machine, Double> work = new HashMap<>();
        List<Machine> usable = new ArrayList<>();
        for (Machine m : cluster.serving(share)) {
            if (m.isUsable()) {
                usable.add(m);
                work.put(
                        m,
                        m.tasks().values().stream()
                                .filter(p -> isFor(p.job, now))
                                .mapToDouble(p -> p.demand().cores())
                                .sum());
            }
        }
        usable.sort(Comparator.<Machine>comparingDouble(m -> -work.get(m)).thenComparing(m -> m.id));
        Set<MachineId> chosen = new HashSet<>();
        usable.subList(0, (int) (usable.size() * PART)).forEach(m -> chosen.add(m.id));
        return chosen;
    }
}
