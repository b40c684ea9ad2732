package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import java.util.List;
import java.util.Optional;

/** Explains by name why a job waits, by the same conditions that the dispatcher starts tasks by. */
final class WaitExplainer {
    private final Cluster cluster;
    private final DispatchRules rules;

    WaitExplainer(Cluster cluster, DispatchRules rules) {
        this.cluster = cluster;
        this.rules = rules;
    }

    /** What the job's next task waits for; empty if none of its tasks waits. */
    Optional<WaitReason> reason(Job job, Moment now) {
        if (!job.hasWaiting()) {
            return job.hasGatedTasks() ? Optional.of(WaitReason.RECORDS_WITHHELD) : Optional.empty();
        }
        WaitReason own = ownReason(job, now);
        return Optional.of(own != null ? own : machineReason(job, now));
    }

    /** What holds on every machine alike; null if it is nothing. */
    private WaitReason ownReason(Job job, Moment now) {
        if (!job.hasStartable()) {
            return WaitReason.FAILOVER;
        }
        if (now.isBefore(job.retryNotBefore)) {
            return WaitReason.RETRY_PAUSE;
        }
        if (!rules.placement().mayStart(job, now)) {
            return rules.placement().isFailoverComplete() ? WaitReason.TASKS_OF_ENDED_JOBS : WaitReason.FAILOVER;
        }
        if (job.isSuspectedFaulty() && !job.placements().isEmpty()) {
            return WaitReason.TRIED_ALONE;
        }
        if (job.isStarvationRelieved()) {
            return WaitReason.HAD_ITS_TURN;
        }
        if (!cluster.teamUsage(job).hasRoomFor(job.spec.demand())) {
            return WaitReason.TEAM_LIMIT;
        }
        return job.spec.isHolder() ? WaitReason.NO_POOL_MEMBERSHIP : null;
    }

    private WaitReason machineReason(Job job, Moment now) {
        FairShareQueue queue = cluster.queueOf(job);
        List<Job> jobs = rules.order().jobs(queue, now);
        List<Job> ahead = jobs.subList(0, Math.max(0, jobs.indexOf(job)));
        WaitReason furthest = WaitReason.NO_MACHINE;
        for (Machine machine : cluster.machines.values()) {
            WaitReason here = reasonOn(machine, job, queue, ahead, now);
            furthest = here.compareTo(furthest) > 0 ? here : furthest;
        }
        return furthest;
    }

    private WaitReason reasonOn(Machine machine, Job job, FairShareQueue queue, List<Job> ahead, Moment now) {
        boolean coming = machine.phase == Machine.Phase.BOOTING;
        if (!machine.matchesPool(job.spec)
                || !job.spec.demand().fitsIn(machine.type.capacity())
                || (!coming && !machine.isHealthy())) {
            return WaitReason.NO_MACHINE;
        }
        if (!rules.placement().isPlaceable(job, machine)) {
            return WaitReason.OTHER_ZONE;
        }
        if (coming || !machine.recorded) {
            return coming ? WaitReason.BOOTING : WaitReason.MACHINE_RECORD;
        }
        if (FaultTracker.isExcluded(job, machine)) {
            return WaitReason.FAILED_THERE;
        }
        if (!job.spec.demand().fitsIn(machine.freeResourcesFor(job.spec))) {
            return WaitReason.NO_ROOM;
        }
        if (!machine.allows(job.spec)) {
            return WaitReason.KEPT_FOR_POOL;
        }
        if (machine.surplus || rules.cordons().isCordoned(machine, now)) {
            return WaitReason.SET_ASIDE;
        }
        if (rules.placement().awaitsImageLocality(job, machine, now)) {
            return WaitReason.LEFT_TO_CACHED_MACHINES;
        }
        return reasonInQueue(machine, job, queue, ahead, now);
    }

    private WaitReason reasonInQueue(Machine machine, Job job, FairShareQueue queue, List<Job> ahead, Moment now) {
        if (ahead.stream().anyMatch(other -> rules.placement().keepsRoomForReplica(other, machine))) {
            return WaitReason.KEPT_FOR_REPLICAS;
        }
        if (rules.reservations().delaysTopJob(queue, job, machine, now)) {
            return WaitReason.RESERVATION;
        }
        if (rules.objectiveBudget().isUnboundedFiller(job)
                && !rules.objectiveBudget().leavesRoomForObjectives(queue, job, now)) {
            return WaitReason.KEPT_FOR_OBJECTIVES;
        }
        return job.isWithinStartBound() ? WaitReason.NEXT_HEARTBEAT : WaitReason.START_BOUND;
    }
}
