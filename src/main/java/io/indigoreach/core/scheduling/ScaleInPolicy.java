package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Which machines to return. The design's part: an idle machine whose paid term ends before the next check, unless a
 * waiting job of its queue can use it. Added to it: machines that will never be of use.
 */
final class ScaleInPolicy {
    /** A machine that is to be returned, and why, as the log says it. */
    record PlannedReturn(MachineId machine, String reason) {}

    private final Cluster cluster;
    private final Dispatcher dispatcher;
    private final SafetyTimes safetyTimes;
    private final SchedulerSettings settings;
    private final FailureDetector failureDetector;

    ScaleInPolicy(
            Cluster cluster,
            Dispatcher dispatcher,
            SafetyTimes safetyTimes,
            SchedulerSettings settings,
            FailureDetector failureDetector) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.safetyTimes = safetyTimes;
        this.settings = settings;
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
        failureDetector.countZones(now);
        for (Machine machine : cluster.machines.values()) {
            String reason =
                    machine.phase == Machine.Phase.RETURNING ? null : reason(machine, now, settled, mostAreLost);
            if (reason != null) {
                machine.beginReturn(now);
                cluster.recordChange();
                planned.add(new PlannedReturn(machine.id, reason));
            }
        }
        return planned;
    }

    /** Why the machine is to be returned now; null if it is not. */
    private String reason(Machine machine, Moment now, boolean settled, boolean mostAreLost) {
        if (isUnreachable(machine, now)) {
            return "no-heartbeat-answers missed=" + machine.partitionDetector.missedAnswers();
        }
        return switch (machine.phase) {
            case BOOTING -> reasonWhileBooting(machine, now);
            case LOST -> reasonWhileLost(machine, now, mostAreLost);
            default -> reasonWhileUp(machine, now, settled);
        };
    }

    /** Answers do not reach it, by its own fault or for longer than waiting for the network is worth. */
    private boolean isUnreachable(Machine machine, Moment now) {
        return machine.partitionDetector.isConfirmed()
                && (!failureDetector.isZonePartitioned(machine.pool.zone())
                        || now.since(machine.partitionDetector.firstMissedSentAt())
                                        .compareTo(partitionPatience(machine))
                                > 0);
    }

    private String reasonWhileBooting(Machine machine, Moment now) {
        Span bootTimeout = machine.type.boot().times(settings.bootTimeout());
        if (now.since(machine.rentedAt).compareTo(bootTimeout) > 0
                && now.since(machine.lastAnsweredAt).compareTo(safetyTimes.leaseBound()) > 0) {
            return "never-up";
        }
        return failureDetector.isMachineFailure(machine, now) ? "silent-since-failover" : null;
    }

    /** When most are silent the fault is likely between them and this leader: then they are kept. */
    private String reasonWhileLost(Machine machine, Moment now, boolean mostAreLost) {
        return !mostAreLost && now.since(machine.lastAnsweredAt).compareTo(patience(machine)) > 0
                ? "silent-since-lease-expiry"
                : null;
    }

    private String reasonWhileUp(Machine machine, Moment now, boolean settled) {
        if (failureDetector.isMachineFailure(machine, now) && !machine.isIdle()) {
            return "silent tasks=" + machine.taskCount();
        }
        if (!machine.reconciled || !machine.isIdle()) {
            return null;
        }
        if (machine.quarantined) {
            return "fails-tasks";
        }
        return settled && isIdleAtTermEnd(machine, now) ? "idle" : null;
    }

    private boolean isIdleAtTermEnd(Machine machine, Moment now) {
        return termEnds(machine, now)
                && !cluster.warmCapacity.isRetained(machine)
                && !dispatcher.rules().cordons().isUsableByWaitingJob(machine, now);
    }

    /**
     * How long a machine without a lease is paid for in the hope that it comes back. Where the network is at fault, that is
     * until it has cost as much as another one would before it is of any use: its boot and the minimum paid time (ski-rental
     * rule). Two fleets returned 400 machines seconds before a partition of 47 s ended, and waited half a minute for others
     * to boot.
     */
    private Span patience(Machine machine) {
        Span alone = safetyTimes.leaseBound().times(1.5);
        Span behindPartition = partitionPatience(machine);
        return failureDetector.isZoneUnreachable(machine.pool.zone()) && behindPartition.compareTo(alone) > 0
                ? behindPartition
                : alone;
    }

    private Span partitionPatience(Machine machine) {
        return safetyTimes.leaseBound().plus(machine.type.boot()).plus(settings.minimumPaidTime());
    }

    /** Whether the paid term ends before the next check. */
    boolean termEnds(Machine machine, Moment now) {
        return remainingTerm(machine, now).compareTo(settings.checkPeriod()) <= 0;
    }

    /** What is left of the paid term. */
    private Span remainingTerm(Machine machine, Moment now) {
        long beyond =
                now.since(machine.rentedAt).ms() - settings.minimumPaidTime().ms();
        long term = Math.max(1, settings.term().ms());
        return new Span(beyond < 0 ? -beyond : term - beyond % term);
    }
}
