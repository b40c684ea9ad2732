package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Computes the order in which the jobs of a queue are served, from their latest starts. */
final class QueueOrder {
    /** How long the count of usable machines is cached. */
    private static final Span MACHINE_COUNT_CACHE_TIME = Span.seconds(1);

    /** An objective nearer than this many boot times plus half of the minimum paid time is no reason to scale out. */
    private static final double BOOT_TIMES_TO_OBJECTIVE = 1.2;

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final Span minimumPaidTime;
    /** Usable machines of each pool, counted once per {@link #MACHINE_COUNT_CACHE_TIME}. */
    private Map<MachinePool, Integer> usableMachinesByPool = Map.of();

    private Moment machinesCountedAt = Moment.NEVER;

    QueueOrder(Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates, Span minimumPaidTime) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.minimumPaidTime = minimumPaidTime;
    }

    /** The jobs of the queue in the order in which they are served. */
    List<Job> sortedJobs(FairShareQueue queue, Moment now) {
        return queue.sortedJobs(
                job -> objectives
                        .latestStart(job, estimates.runTime(job), roundCount(job, now), now)
                        .minus(drainTime(job)),
                job -> objectives.latestStartForLongestObjective(job, estimates.runTime(job)),
                job -> objectives.isAged(job, now),
                now);
    }

    /** The time to wait until a machine is empty, for tasks that take a whole machine; otherwise zero. */
    private Span drainTime(Job job) {
        boolean needsWholeMachine = cluster.machineTypes.values().stream()
                .allMatch(type -> job.spec.demand().countFittingIn(type.capacity()) <= 1);
        return needsWholeMachine ? minimumPaidTime : Span.ZERO;
    }

    /** The number of rounds that the job's waiting tasks would take with the whole cluster to themselves. */
    private int roundCount(Job job, Moment now) {
        if (!now.isBefore(machinesCountedAt.plus(MACHINE_COUNT_CACHE_TIME))) {
            countUsableMachines(now);
        }
        int slots = 0;
        for (Map.Entry<MachinePool, Integer> entry : usableMachinesByPool.entrySet()) {
            MachinePool pool = entry.getKey();
            if (allowsPool(job, pool)) {
                slots += entry.getValue()
                        * job.spec
                                .demand()
                                .countFittingIn(
                                        cluster.machineTypes.get(pool.type()).capacity());
            }
        }
        return slots == 0 ? 1 : (job.waitingCount() + slots - 1) / slots;
    }

    private void countUsableMachines(Moment now) {
        usableMachinesByPool = new HashMap<>();
        machinesCountedAt = now;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isUsable()) {
                usableMachinesByPool.merge(machine.pool, 1, Integer::sum);
            }
        }
    }

    private static boolean allowsPool(Job job, MachinePool pool) {
        return job.spec.allowsType(pool.type())
                && job.spec.allowsZone(pool.zone())
                && job.spec.allowsPurchaseType(pool.spot());
    }

    /**
     * Whether the job has no objective, or is past all of them. The cluster then scales out for it only when its wait
     * exceeds the limit.
     */
    boolean hasNoReachableObjective(Job job, Moment now) {
        return objectives.hasNoObjective(job) || objectives.isAged(job, now);
    }

    /** The latest start of the job's waiting tasks for its next objective that can still be met at {@code from}. */
    Moment latestStart(Job job, Moment from) {
        return objectives.latestStart(job, estimates.runTime(job), 1, from);
    }

    /** The shortest objective that can be met by scaling out for waiting tasks. */
    Span shortestRentableObjective(MachineType type) {
        return type.bootTime().times(BOOT_TIMES_TO_OBJECTIVE).plus(minimumPaidTime.times(0.5));
    }

    /**
     * Whether the job's objective was already too near to be met by scaling out when the job became eligible. Urgent
     * jobs are excluded: they go first, preempt others and wait less for spot machines in any case.
     */
    boolean isObjectiveTooNearToRent(Job job, MachineType type) {
        return !job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                && latestStart(job, job.eligibleSince)
                        .isBefore(job.eligibleSince.plus(shortestRentableObjective(type)));
    }
}
