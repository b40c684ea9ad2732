package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.WorkerCommand;
import java.util.List;
import java.util.Optional;

/**
 * Processes heartbeats: checks their order, renews the machine's lease, notices partitions and new incarnations, reconciles
 * the task list and answers with commands.
 */
final class HeartbeatHandler {
    /** Commands that follow a heartbeat after more than this part of the worker's timeout may not be received any more. */
    private static final double TIMELY_FRACTION = 0.5;

    private final FencingToken token;
    private final SafetyTimes safetyTimes;
    private final Cluster cluster;
    private final MachineRegistry registry;
    private final Failover failover;
    private final InheritedTaskRelease release;
    private final EarlyHeartbeats earlyHeartbeats = new EarlyHeartbeats();
    private final Reconciler reconciler;
    private final Dispatcher dispatcher;
    private final ConsolidationPolicy consolidation;
    private final SchedulerListener listener;

    HeartbeatHandler(
            FencingToken token,
            SafetyTimes safetyTimes,
            Cluster cluster,
            MachineRegistry registry,
            Failover failover,
            InheritedTaskRelease release,
            Reconciler reconciler,
            Dispatcher dispatcher,
            ConsolidationPolicy consolidation,
            SchedulerListener listener) {
        this.token = token;
        this.safetyTimes = safetyTimes;
        this.cluster = cluster;
        this.registry = registry;
        this.failover = failover;
        this.release = release;
        this.reconciler = reconciler;
        this.dispatcher = dispatcher;
        this.consolidation = consolidation;
        this.listener = listener;
    }

    /** Every record has been read: the machines learn which of their heartbeats were answered before. */
    void recordsLoaded() {
        earlyHeartbeats.handOver(cluster, registry.adoption());
    }

    HeartbeatResult handle(Heartbeat heartbeat, Moment now) {
        if (heartbeat.token().value() > token.value()) {
            return new HeartbeatResult.Superseded();
        }
        if (!release.areRecordsLoaded()) {
            earlyHeartbeats.answered(heartbeat, now);
            return new HeartbeatResult.Commands(List.of());
        }
        // Every answer renews the machine's lease, so every answer stops what must not go on, whatever else is known of
        // the machine:
        // this leader may not live to answer its next heartbeat.
        List<WorkerCommand> commands = reconciler.stopEndedJobs(heartbeat);
        sender(heartbeat, now).ifPresent(machine -> process(machine, heartbeat, commands, now));
        return new HeartbeatResult.Commands(commands);
    }

    /** The machine that sent the heartbeat; empty if the heartbeat is to be ignored. */
    private Optional<Machine> sender(Heartbeat heartbeat, Moment now) {
        if (registry.isReturnedOrInProgress(heartbeat.machine())) {
            return Optional.empty();
        }
        return registry.findOrAdopt(heartbeat, token, now)
                .filter(machine -> !isOutdated(machine, heartbeat.number()))
                .map(machine -> registry.correctPool(machine, heartbeat.pool(), now));
    }

    /**
     * Not newer than the last heartbeat, or of an incarnation that is over: without an answered heartbeat for the lease bound
     * the machine has killed its tasks and begun another incarnation, so what comes then under the old one was sent before.
     */
    private static boolean isOutdated(Machine machine, HeartbeatNumber number) {
        return number.compareTo(machine.lastHeartbeat) <= 0
                || (number.incarnation() == machine.lastHeartbeat.incarnation() && machine.leaseExpired);
    }

    /** Adds the commands that follow from what is known of the machine. */
    private void process(Machine machine, Heartbeat heartbeat, List<WorkerCommand> commands, Moment now) {
        HeartbeatNumber previous = machine.lastHeartbeat;
        machine.heartbeatReceived(heartbeat.number());
        if (!machine.isReturnedAsUnreachable()) {
            machine.renewLease(now);
            observePartition(machine, heartbeat, previous, now);
        }
        if (heartbeat.token().value() < token.value()) {
            answerOlderToken(machine, commands, now);
            return;
        }
        noticeNewIncarnation(machine, previous, now);
        noticeUp(machine, now);
        machine.preemptionAnnounced(
                heartbeat.preemptionNotice() == null ? null : now.plus(heartbeat.preemptionNotice()));
        reconcile(machine, heartbeat, commands, now);
        addNewWork(machine, heartbeat.number(), commands, now);
        if (!machine.needsRecord() && !machine.isReturnedAsUnreachable()) {
            machine.partition.answerSent(commands, now);
        }
    }

    private void observePartition(Machine machine, Heartbeat heartbeat, HeartbeatNumber previous, Moment now) {
        boolean wasConfirmed = machine.partition.isConfirmed();
        machine.partition.observe(heartbeat, previous, token, cluster.awakeSince, safetyTimes, now);
        if (machine.partition.isConfirmed() != wasConfirmed) {
            listener.log((wasConfirmed ? "machine answers delivered again" : "machine answers lost") + " machine="
                    + machine.id);
            cluster.changed();
        }
    }

    /**
     * The worker learns this leader's token by the answer; until its next heartbeat its task list proves nothing. That is, it may lack a
     * task, so that nothing may be started or forgotten by it; what it does have may be stopped.
     */
    private void answerOlderToken(Machine machine, List<WorkerCommand> commands, Moment now) {
        if (failover.isInheritedLeaseExpired(machine.id, now.minus(safetyTimes.leaseBound()))) {
            release.machineReconciled(machine.id);
        }
        machine.partition.answerSent(commands, now);
    }

    private void noticeNewIncarnation(Machine machine, HeartbeatNumber previous, Moment now) {
        if (previous.incarnation() != 0 && machine.lastHeartbeat.incarnation() > previous.incarnation()) {
            cluster.removeAllPlacements(machine, now);
            machine.imageCache.incarnationEnded();
        }
    }

    private void noticeUp(Machine machine, Moment now) {
        if (machine.phase == Machine.Phase.BOOTING || machine.phase == Machine.Phase.LOST) {
            machine.becameUp(now);
            cluster.changed();
        }
    }

    private void reconcile(Machine machine, Heartbeat heartbeat, List<WorkerCommand> commands, Moment now) {
        machine.markReconciled();
        commands.addAll(reconciler.reconcile(machine, heartbeat, now));
        release.machineReconciled(machine.id);
        release.releaseLateJobs();
    }

    private void addNewWork(Machine machine, HeartbeatNumber number, List<WorkerCommand> commands, Moment now) {
        if (machine.phase == Machine.Phase.UP && !machine.partition.isConfirmed()) {
            commands.addAll(dispatcher.startTasks(machine, number, now));
            commands.addAll(dispatcher.preempt(machine, now));
            commands.addAll(consolidation.drainCommands(machine, now));
        }
    }

    /** Starts for a machine that was recorded after its heartbeat arrived, if that is still its newest. */
    List<WorkerCommand> startTasks(MachineId id, HeartbeatNumber number, Moment now) {
        Machine machine = cluster.machines.get(id);
        if (machine == null || !machine.lastHeartbeat.equals(number)) {
            return List.of();
        }
        List<WorkerCommand> commands = dispatcher.startTasks(machine, number, now);
        if (now.since(machine.lastHeardAt)
                        .compareTo(safetyTimes.responseTimeout().times(TIMELY_FRACTION))
                < 0) {
            machine.partition.answerSent(commands, now);
        }
        return commands;
    }
}
