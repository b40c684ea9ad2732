package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import java.util.List;
import java.util.Optional;

/** Explains why a job waits, using the same conditions as the dispatcher. */
final class WaitExplainer {
    private final Cluster cluster;
    private final DispatchRules rules;

    WaitExplainer(Cluster cluster, DispatchRules rules) {
        this.cluster = cluster;
        this.rules = rules;
    }

    /** Why the job's next task waits; empty if none of its tasks waits. */
    Optional<WaitReason> reason(Job job, Moment now) {
        if (!job.hasWaiting()) {
            return job.hasGatedTasks() ? Optional.of(WaitReason.RECORDS_NOT_OWNED) : Optional.empty();
        }
        WaitReason jobReason = jobReason(job, now);
        return Optional.of(jobReason != null ? jobReason : machineReason(job, now));
    }

    /** The reason that applies on every machine alike; null if there is none. */
    private WaitReason jobReason(Job job, Moment now) {
        if (!job.hasStartable()) {
            return WaitReason.FAILOVER;
        }
        if (now.isBefore(job.retryNotBefore)) {
            return WaitReason.RETRY_BACKOFF;
        }
        if (!rules.placement().mayStart(job, now)) {
            return rules.placement().isFailoverComplete() ? WaitReason.ORPHAN_TASKS : WaitReason.FAILOVER;
        }
        if (job.isSuspectedFaulty() && !job.placements().isEmpty()) {
            return WaitReason.SINGLE_TASK_RETRY;
        }
        if (job.isStarvationRelieved()) {
            return WaitReason.STARVATION_RELIEVED;
        }
        if (cluster.isTeamAtLimit(job)) {
            return WaitReason.TEAM_LIMIT;
        }
        return job.spec.isWarmPoolHolder() ? WaitReason.NO_POOL_MEMBERSHIP : null;
    }

    private WaitReason machineReason(Job job, Moment now) {
        FairShareQueue queue = cluster.queueOf(job);
        List<Job> jobs = rules.order().sortedJobs(queue, now);
        List<Job> ahead = jobs.subList(0, Math.max(0, jobs.indexOf(job)));
        WaitReason furthest = WaitReason.NO_MACHINE;
        for (Machine machine : cluster.machines.values()) {
            WaitReason reason = reasonOn(machine, job, queue, ahead, now);
            furthest = reason.compareTo(furthest) > 0 ? reason : furthest;
        }
        return furthest;
    }

    private WaitReason reasonOn(Machine machine, Job job, FairShareQueue queue, List<Job> ahead, Moment now) {
        boolean booting = machine.phase == Machine.Phase.BOOTING;
        if (!machine.matchesPool(job.spec)
                || !job.spec.demand().fitsIn(machine.type.capacity())
                || (!booting && !machine.isHealthy())) {
            return WaitReason.NO_MACHINE;
        }
        if (!rules.placement().isPlaceable(job, machine)) {
            return WaitReason.ZONE_CONSTRAINT;
        }
        if (booting || !machine.hasRecord) {
            return booting ? WaitReason.BOOTING : WaitReason.MACHINE_NOT_RECORDED;
        }
        if (FaultTracker.isExcluded(job, machine)) {
            return WaitReason.EXCLUDED_AFTER_FAILURE;
        }
        if (!job.spec.demand().fitsIn(machine.freeResourcesFor(job.spec))) {
            return WaitReason.NO_FREE_CAPACITY;
        }
        if (!machine.allows(job.spec)) {
            return WaitReason.RESERVED_FOR_POOL;
        }
        if (machine.surplus || rules.cordons().isCordoned(machine, now)) {
            return WaitReason.SURPLUS_OR_CORDONED;
        }
        if (rules.placement().awaitsImageLocality(job, machine, now)) {
            return WaitReason.AWAITING_CACHED_IMAGE;
        }
        return reasonInQueue(machine, job, queue, ahead, now);
    }

    private WaitReason reasonInQueue(Machine machine, Job job, FairShareQueue queue, List<Job> ahead, Moment now) {
        if (ahead.stream().anyMatch(other -> rules.placement().keepsCapacityForReplica(other, machine))) {
            return WaitReason.RESERVED_FOR_REPLICAS;
        }
        if (rules.reservations().delaysTopJob(queue, job, machine, now)) {
            return WaitReason.RESERVATION;
        }
        if (rules.objectiveBudget().isUnboundedFiller(job)
                && !rules.objectiveBudget().leavesCoresForObjectives(queue, job, now)) {
            return WaitReason.RESERVED_FOR_OBJECTIVES;
        }
        return job.isWithinStartBound() ? WaitReason.NEXT_HEARTBEAT : WaitReason.START_BOUND_NOT_RECORDED;
    }
}
