package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Which machines to return. The design's part: an idle machine whose paid term ends before the next check, unless a
 * waiting job of its share can use it. Added to it: machines that will never be of use.
 */
final class ScaleInPolicy {
    /** A machine that is to be returned, and why, as the log says it. */
    record PlannedReturn(MachineId machine, String reason) {}

    private final Cluster cluster;
    private final Dispatcher dispatcher;
    private final SafetyTimes rules;
    private final SchedulerSettings tuning;
    private final FailureDetector failureDetector;

    ScaleInPolicy(
            Cluster cluster,
            Dispatcher dispatcher,
            SafetyTimes rules,
            SchedulerSettings tuning,
            FailureDetector failureDetector) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.rules = rules;
        this.tuning = tuning;
        this.failureDetector = failureDetector;
    }

    /** The machines to return, each with the reason; they are RETURNING from now on. */
    List<PlannedReturn> selectMachines(Moment now, boolean settled) {
        List<PlannedReturn> planned = new ArrayList<>();
        int up = 0;
        int lost = 0;
        for (Machine machine : cluster.machines.values()) {
            up += machine.phase == Machine.Phase.UP ? 1 : 0;
            lost += machine.phase == Machine.Phase.LOST ? 1 : 0;
        }
        boolean mostAreLost = lost > up;
        failureDetector.recount(now);
        for (Machine machine : cluster.machines.values()) {
            String reason =
                    machine.phase == Machine.Phase.RETURNING ? null : reason(machine, now, settled, mostAreLost);
            if (reason != null) {
                machine.beginReturn(now);
                cluster.changed();
                planned.add(new PlannedReturn(machine.id, reason));
            }
        }
        return planned;
    }

    private String reason(Machine machine, Moment now, boolean settled, boolean mostAreLost) {
        if (machine.partition.isConfirmed()
                && (!failureDetector.isZonePartitioned(machine.pool.zone())
                        || now.since(machine.partition.since()).compareTo(partitionPatience(machine)) > 0)) {
            return "no-heartbeat-answers missed=" + machine.partition.missed();
        }
        switch (machine.phase) {
            case BOOTING:
                if (now.since(machine.rentedAt).compareTo(machine.type.boot().times(tuning.bootTimeout())) > 0
                        && now.since(machine.lastHeardAt).compareTo(rules.leaseBound()) > 0) {
                    return "never-up";
                }
                return failureDetector.isMachineFailure(machine, now) ? "silent-since-failover" : null;
            case LOST:
                // When most are silent the fault is likely between them and this leader: then keep them.
                return !mostAreLost && now.since(machine.lastHeardAt).compareTo(patience(machine)) > 0
                        ? "silent-since-lease-expiry"
                        : null;
            default:
                if (failureDetector.isMachineFailure(machine, now) && !machine.isIdle()) {
                    return "silent tasks=" + machine.taskCount();
                }
                if (!machine.reconciled || !machine.isIdle()) {
                    return null;
                }
                if (machine.quarantined) {
                    return "fails-tasks";
                }
                if (!settled) {
                    return null;
                }
                return termEnds(machine, now)
                                && !cluster.warmCapacity.isRetained(machine)
                                && !dispatcher.rules().cordons().isUsableByWaitingJob(machine, now)
                        ? "idle"
                        : null;
        }
    }

    /**
     * How long a machine without a lease is paid for in the hope that it comes back. Where the way to it is at fault,
     * that is until it has cost as much as another one would before it is of any use: its boot and the least that is
     * paid (the rule of the ski rental). Two fleets gave 400 machines back seconds before a cut of 47 s ended, and
     * waited half a minute for others to boot.
     */
    private Span patience(Machine machine) {
        Span alone = rules.leaseBound().times(1.5);
        Span behindCut = partitionPatience(machine);
        return failureDetector.isZoneUnreachable(machine.pool.zone()) && behindCut.compareTo(alone) > 0
                ? behindCut
                : alone;
    }

    private Span partitionPatience(Machine machine) {
        return rules.leaseBound().plus(machine.type.boot()).plus(tuning.minimumPaidTime());
    }

    boolean termEnds(Machine machine, Moment now) {
        return remainingTerm(machine, now).compareTo(tuning.checkPeriod()) <= 0;
    }

    /** What is left of the paid term. */
    private Span remainingTerm(Machine machine, Moment now) {
        long beyond =
                now.since(machine.rentedAt).ms() - tuning.minimumPaidTime().ms();
        long term = Math.max(1, tuning.term().ms());
        return new Span(beyond < 0 ? -beyond : term - beyond % term);
    }
}
