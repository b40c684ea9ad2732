package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;

/** Machines whose leases have expired, and whether the silence of all of them is this node's own isolation. */
final class LeaseExpiry {
    private static final int MIN_SILENT_MACHINES = 3;

    private final SafetyTimes safetyTimes;
    private final Cluster cluster;
    private final InheritedTaskRelease release;
    private final SchedulerListener listener;

    LeaseExpiry(SafetyTimes safetyTimes, Cluster cluster, InheritedTaskRelease release, SchedulerListener listener) {
        this.safetyTimes = safetyTimes;
        this.cluster = cluster;
        this.release = release;
        this.listener = listener;
    }

    /** Frees the tasks of machines whose lease has expired. */
    void expireLeases(Moment now) {
        for (Machine machine : cluster.machines.values()) {
            if (now.since(machine.lastHeardAt).compareTo(safetyTimes.leaseBound()) > 0) {
                expireLease(machine, now);
            }
        }
    }

    private void expireLease(Machine machine, Moment now) {
        release.machineReconciled(machine.id);
        machine.expireLease();
        if (machine.phase == Machine.Phase.UP || (machine.phase == Machine.Phase.RETURNING && !machine.isIdle())) {
            listener.log("machine lost its lease machine=" + machine.id + " tasks=" + machine.taskCount());
            cluster.removeAllPlacements(machine, now);
        }
        if (FailureDetector.mayHoldTasks(machine)) {
            machine.lose();
            cluster.changed();
        }
    }

    /**
     * No heartbeat came from any of several machines for as long as makes a single one suspect: more likely this node is cut
     * off from them than that all have failed at once. Half a lease was too long: workers that had abandoned this node
     * were sent back to it by the others, and their leases expired. Those of an earlier leader need their time to find this
     * one: a leader that stepped down 4.7 s after a failover, as all 447 were still with one that stood still, cost 557 tasks.
     */
    boolean isCutOffFromWorkers(Moment now) {
        Moment suspectedSince = now.minus(safetyTimes.suspicionTimeout());
        if (cluster.awakeSince.isAfter(suspectedSince)) {
            return false;
        }
        Moment undiscoveredSince = now.minus(Span.max(safetyTimes.suspicionTimeout(), safetyTimes.leaderDiscovery()));
        int silent = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.recorded && machine.phase != Machine.Phase.RETURNING) {
                if (machine.lastHeardAt.isAfter(machine.reconciled ? suspectedSince : undiscoveredSince)) {
                    return false;
                }
                silent++;
            }
        }
        return silent >= MIN_SILENT_MACHINES;
    }
}
