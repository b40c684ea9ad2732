package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import java.util.List;
import java.util.Optional;

/** Explains by name why a job waits, by the same conditions that the dispatcher starts tasks by. */
final class WaitExplainer {
    private final Cluster cluster;
    private final Dispatcher dispatcher;

    WaitExplainer(Cluster cluster, Dispatcher dispatcher) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
    }

    /** What the job's next task waits for; empty if none of its tasks waits. */
    Optional<WaitReason> reason(Job job, Moment now) {
        if (!job.hasWaiting()) {
            return job.hasWithheld() ? Optional.of(WaitReason.RECORDS_WITHHELD) : Optional.empty();
        }
        WaitReason own = ownReason(job, now);
        return Optional.of(own != null ? own : machineReason(job, now));
    }

    /** What holds on every machine alike; null if it is nothing. */
    private WaitReason ownReason(Job job, Moment now) {
        if (!job.hasStartable()) {
            return WaitReason.TAKE_OVER;
        }
        if (now.isBefore(job.retryAt)) {
            return WaitReason.RETRY_PAUSE;
        }
        if (!dispatcher.mayStart(job, now)) {
            return dispatcher.isSettled() ? WaitReason.TASKS_OF_ENDED_JOBS : WaitReason.TAKE_OVER;
        }
        if (job.isSuspect() && !job.active().isEmpty()) {
            return WaitReason.TRIED_ALONE;
        }
        if (job.hadItsTurn()) {
            return WaitReason.HAD_ITS_TURN;
        }
        if (!cluster.use(job).hasRoomFor(job.spec.demand())) {
            return WaitReason.TEAM_LIMIT;
        }
        return job.spec.isHolder() ? WaitReason.NO_SEAT : null;
    }

    private WaitReason machineReason(Job job, Moment now) {
        FairShareQueue share = cluster.share(job);
        List<Job> queue = dispatcher.queue(share, now);
        List<Job> ahead = queue.subList(0, Math.max(0, queue.indexOf(job)));
        WaitReason furthest = WaitReason.NO_MACHINE;
        for (Machine m : cluster.machines.values()) {
            WaitReason here = reasonOn(m, job, share, ahead, now);
            furthest = here.compareTo(furthest) > 0 ? here : furthest;
        }
        return furthest;
    }

    private WaitReason reasonOn(Machine m, Job job, FairShareQueue share, List<Job> ahead, Moment now) {
        boolean coming = m.phase == Machine.Phase.BOOTING;
        if (!m.isOfKind(job.spec) || !job.spec.demand().fitsIn(m.type.capacity()) || (!coming && !m.isSound())) {
            return WaitReason.NO_MACHINE;
        }
        if (!dispatcher.placeable(job, m)) {
            return WaitReason.OTHER_ZONE;
        }
        if (coming || !m.recorded) {
            return coming ? WaitReason.BOOTING : WaitReason.MACHINE_RECORD;
        }
        if (FaultAttribution.bars(job, m)) {
            return WaitReason.FAILED_THERE;
        }
        if (!job.spec.demand().fitsIn(m.freeFor(job.spec))) {
            return WaitReason.NO_ROOM;
        }
        if (!m.allows(job.spec)) {
            return WaitReason.KEPT_FOR_POOL;
        }
        if (m.spare || dispatcher.isAside(m, now)) {
            return WaitReason.SET_ASIDE;
        }
        if (dispatcher.isLeftToHolders(job, m, now)) {
            return WaitReason.LEFT_TO_HOLDERS;
        }
        return reasonInQueue(m, job, share, ahead, now);
    }

    private WaitReason reasonInQueue(Machine m, Job job, FairShareQueue share, List<Job> ahead, Moment now) {
        if (ahead.stream().anyMatch(other -> dispatcher.keepsRoom(other, m))) {
            return WaitReason.KEPT_FOR_REPLICAS;
        }
        if (dispatcher.isReserved(share, job, m, now)) {
            return WaitReason.RESERVATION;
        }
        if (dispatcher.isFiller(job) && !dispatcher.leavesRoom(share, job, now)) {
            return WaitReason.KEPT_FOR_AIMS;
        }
        return job.hasOrderable() ? WaitReason.NEXT_REPORT : WaitReason.START_BOUND;
    }
}
