package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The order in which the jobs of a queue are served, and the latest starts that it is derived from. */
final class QueueOrder {
    /** How long the count of usable machines is kept. */
    private static final Span MACHINE_COUNT_LIFE = Span.seconds(1);

    /** An objective nearer than this many boot times and half of the minimum paid time is no reason to scale out. */
    private static final double BOOT_TIMES_TO_OBJECTIVE = 1.2;

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final Span minimumPaidTime;
    /** Usable machines of each pool, counted once per {@link #MACHINE_COUNT_LIFE}. */
    private Map<MachinePool, Integer> usableMachines = Map.of();

    private Moment usableCountedAt = Moment.NEVER;

    QueueOrder(Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates, Span minimumPaidTime) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.minimumPaidTime = minimumPaidTime;
    }

    /** The jobs of the queue in the order in which they are served. */
    List<Job> jobs(FairShareQueue queue, Moment now) {
        return queue.ordered(
                job -> objectives
                        .latestStart(job, estimates.run(job), rounds(job, now), now)
                        .minus(clearingTime(job)),
                job -> objectives.lastChance(job, estimates.run(job)),
                job -> objectives.isAged(job, now),
                now);
    }

    /** A task that takes a whole machine starts only when everything else on one has ended. */
    private Span clearingTime(Job job) {
        boolean wholeMachine = cluster.machineTypes.values().stream()
                .allMatch(type -> job.spec.demand().timesIn(type.capacity()) <= 1);
        return wholeMachine ? minimumPaidTime : Span.ZERO;
    }

    /** How many rounds the job's waiting tasks would take if they had every place of the cluster. */
    private int rounds(Job job, Moment now) {
        if (!now.isBefore(usableCountedAt.plus(MACHINE_COUNT_LIFE))) {
            countUsableMachines(now);
        }
        int places = 0;
        for (Map.Entry<MachinePool, Integer> entry : usableMachines.entrySet()) {
            MachinePool pool = entry.getKey();
            if (allowsPool(job, pool)) {
                places += entry.getValue()
                        * job.spec
                                .demand()
                                .timesIn(cluster.machineTypes.get(pool.type()).capacity());
            }
        }
        return places == 0 ? 1 : (job.waitingCount() + places - 1) / places;
    }

    private void countUsableMachines(Moment now) {
        usableMachines = new HashMap<>();
        usableCountedAt = now;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isUsable()) {
                usableMachines.merge(machine.pool, 1, Integer::sum);
            }
        }
    }

    private static boolean allowsPool(Job job, MachinePool pool) {
        return job.spec.allowsType(pool.type()) && job.spec.allowsZone(pool.zone()) && job.spec.allowsKind(pool.spot());
    }

    /**
     * Whether the job has no objective, or is past all of them: then the design's rule alone holds for it, that the
     * cluster scales out while the wait exceeds the limit.
     */
    boolean hasNoReachableObjective(Job job, Moment now) {
        return objectives.hasNoObjective(job) || objectives.isAged(job, now);
    }

    /** By when the job's waiting tasks should have started for an objective whose latest start is not before {@code from}. */
    Moment latestStart(Job job, Moment from) {
        return objectives.latestStart(job, estimates.run(job), 1, from);
    }

    /** An objective nearer than this cannot be met by scaling out for what waits. */
    Span shortestRentableObjective(MachineType type) {
        return type.boot().times(BOOT_TIMES_TO_OBJECTIVE).plus(minimumPaidTime.times(0.5));
    }

    /**
     * Whether the job had, when it became eligible, an objective that is too near to be met by scaling out for it.
     * Urgent jobs are excluded: they go first, preempt others and wait less for spot machines in any case.
     */
    boolean isObjectiveTooNearToRent(Job job, MachineType type) {
        return !job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                && latestStart(job, job.eligibleSince)
                        .isBefore(job.eligibleSince.plus(shortestRentableObjective(type)));
    }
}
