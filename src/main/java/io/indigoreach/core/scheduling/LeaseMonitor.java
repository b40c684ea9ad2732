package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;

/** Expires the leases of silent machines, and detects whether this node is cut off from all of them. */
final class LeaseMonitor {
    private static final int MIN_SILENT_MACHINES = 3;

    private final SafetyTimes safetyTimes;
    private final Cluster cluster;
    private final InheritedTaskReleaser inheritedTaskReleaser;
    private final SchedulerListener listener;

    LeaseMonitor(
            SafetyTimes safetyTimes,
            Cluster cluster,
            InheritedTaskReleaser inheritedTaskReleaser,
            SchedulerListener listener) {
        this.safetyTimes = safetyTimes;
        this.cluster = cluster;
        this.inheritedTaskReleaser = inheritedTaskReleaser;
        this.listener = listener;
    }

    /** Removes the placements of machines whose lease has expired, so that their tasks can start elsewhere. */
    void expireLeases(Moment now) {
        for (Machine machine : cluster.machines.values()) {
            if (now.since(machine.lastAnsweredAt).compareTo(safetyTimes.leaseBound()) > 0) {
                expireLease(machine, now);
            }
        }
    }

    private void expireLease(Machine machine, Moment now) {
        inheritedTaskReleaser.markReconciled(machine.id);
        machine.expireLease();
        if (machine.phase == Machine.Phase.UP || (machine.phase == Machine.Phase.RETURNING && !machine.isIdle())) {
            listener.log("machine lost its lease machine=" + machine.id + " tasks=" + machine.taskCount());
            cluster.removeAllPlacements(machine, now);
        }
        if (FailureDetector.mayHoldTasks(machine)) {
            machine.markLost();
            cluster.recordChange();
        }
    }

    /**
     * Whether no heartbeat has come from any of several machines for the suspicion timeout of a single one. It is then
     * more likely that this node is cut off than that all of them failed at once. The threshold is not half a lease: in
     * that time, other nodes redirected workers that had left this node back to it until their leases expired. Machines
     * inherited from an earlier leader need time to find this one: a leader that stepped down 4.7 s after a failover,
     * while all 447 workers were still connected to a paused node, cost 557 tasks.
     */
    boolean isPartitionedFromWorkers(Moment now) {
        Moment suspectedSince = now.minus(safetyTimes.suspicionTimeout());
        if (cluster.eventLoopRunningSince.isAfter(suspectedSince)) {
            return false;
        }
        Moment undiscoveredSince = now.minus(Span.max(safetyTimes.suspicionTimeout(), safetyTimes.leaderDiscovery()));
        int silentMachines = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.hasRecord && machine.phase != Machine.Phase.RETURNING) {
                if (machine.lastAnsweredAt.isAfter(machine.reconciled ? suspectedSince : undiscoveredSince)) {
                    return false;
                }
                silentMachines++;
            }
        }
        return silentMachines >= MIN_SILENT_MACHINES;
    }
}
