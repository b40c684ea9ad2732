package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Selects the machines to return to the cloud: idle machines whose paid term ends before the next check, unless a
 * waiting job of their queue can use them, and machines that were lost, never came up or make tasks fail.
 */
final class ScaleInPolicy {
    /** A machine to return, and the reason that is logged. */
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

    /** Selects the machines to return, each with its reason, and moves them to the RETURNING phase. */
    List<PlannedReturn> selectMachines(Moment now, boolean failoverComplete) {
        List<PlannedReturn> planned = new ArrayList<>();
        int upMachines = 0;
        int lostMachines = 0;
        for (Machine machine : cluster.machines.values()) {
            upMachines += machine.phase == Machine.Phase.UP ? 1 : 0;
            lostMachines += machine.phase == Machine.Phase.LOST ? 1 : 0;
        }
        boolean mostMachinesLost = lostMachines > upMachines;
        failureDetector.countZones(now);
        for (Machine machine : cluster.machines.values()) {
            String reason = machine.phase == Machine.Phase.RETURNING
                    ? null
                    : returnReason(machine, now, failoverComplete, mostMachinesLost);
            if (reason != null) {
                machine.beginReturn(now);
                cluster.recordChange();
                planned.add(new PlannedReturn(machine.id, reason));
            }
        }
        return planned;
    }

    /** Returns why the machine has to be returned now, or null if it is kept. */
    private String returnReason(Machine machine, Moment now, boolean failoverComplete, boolean mostMachinesLost) {
        if (isUnreachable(machine, now)) {
            return "no-heartbeat-answers missed=" + machine.partitionDetector.missedAnswers();
        }
        return switch (machine.phase) {
            case BOOTING -> reasonWhileBooting(machine, now);
            case LOST -> reasonWhileLost(machine, now, mostMachinesLost);
            default -> reasonWhileUp(machine, now, failoverComplete);
        };
    }

    /**
     * Returns whether the machine does not receive heartbeat answers and should be returned: either its zone is not
     * partitioned, so the machine itself is at fault, or the partition has lasted longer than the timeout.
     */
    private boolean isUnreachable(Machine machine, Moment now) {
        return machine.partitionDetector.isConfirmed()
                && (!failureDetector.isZonePartitioned(machine.pool.zone())
                        || now.since(machine.partitionDetector.firstMissedSentAt())
                                        .compareTo(partitionTimeout(machine))
                                > 0);
    }

    private String reasonWhileBooting(Machine machine, Moment now) {
        Span bootTimeout = machine.type.bootTime().times(settings.bootTimeout());
        if (now.since(machine.rentedAt).compareTo(bootTimeout) > 0
                && now.since(machine.lastAnsweredAt).compareTo(safetyTimes.leaseBound()) > 0) {
            return "never-up";
        }
        return failureDetector.isMachineFailure(machine, now) ? "silent-since-failover" : null;
    }

    /**
     * Does not return lost machines while most machines are lost: the likely cause is then the network between the
     * leader and the machines.
     */
    private String reasonWhileLost(Machine machine, Moment now, boolean mostMachinesLost) {
        return !mostMachinesLost && now.since(machine.lastAnsweredAt).compareTo(lostTimeout(machine)) > 0
                ? "silent-since-lease-expiry"
                : null;
    }

    private String reasonWhileUp(Machine machine, Moment now, boolean failoverComplete) {
        if (failureDetector.isMachineFailure(machine, now) && !machine.isIdle()) {
            return "silent tasks=" + machine.taskCount();
        }
        if (!machine.reconciled || !machine.isIdle()) {
            return null;
        }
        if (machine.quarantined) {
            return "fails-tasks";
        }
        return failoverComplete && isIdleAtTermEnd(machine, now) ? "idle" : null;
    }

    private boolean isIdleAtTermEnd(Machine machine, Moment now) {
        return termEndsBeforeNextCheck(machine, now)
                && !cluster.warmCapacity.isRetained(machine)
                && !dispatcher.rules().cordons().isUsableByWaitingJob(machine, now);
    }

    /**
     * Returns how long a lost machine is kept before it is returned. Behind a network partition it is kept until it has
     * cost as much as a replacement does, which is the boot time and the minimum paid time (ski-rental rule). With a
     * shorter timeout, two deployments returned 400 machines seconds before a partition of 47 s ended, and then waited
     * half a minute for replacements to boot.
     */
    private Span lostTimeout(Machine machine) {
        Span singleMachineTimeout = safetyTimes.leaseBound().times(1.5);
        Span partitionTimeout = partitionTimeout(machine);
        return failureDetector.isZoneUnreachable(machine.pool.zone())
                        && partitionTimeout.compareTo(singleMachineTimeout) > 0
                ? partitionTimeout
                : singleMachineTimeout;
    }

    private Span partitionTimeout(Machine machine) {
        return safetyTimes.leaseBound().plus(machine.type.bootTime()).plus(settings.minimumPaidTime());
    }

    /** Returns whether the machine's paid term ends before the next check. */
    boolean termEndsBeforeNextCheck(Machine machine, Moment now) {
        return remainingTerm(machine, now).compareTo(settings.checkPeriod()) <= 0;
    }

    /** Returns the time until the current paid term ends. */
    private Span remainingTerm(Machine machine, Moment now) {
        long msBeyondMinimum =
                now.since(machine.rentedAt).ms() - settings.minimumPaidTime().ms();
        long termMs = Math.max(1, settings.term().ms());
        return new Span(msBeyondMinimum < 0 ? -msBeyondMinimum : termMs - msBeyondMinimum % termMs);
    }
}
