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
 * Processes heartbeats: checks their order, renews the machine's lease, detects partitions and new incarnations,
 * reconciles the task list and answers with commands.
 */
final class HeartbeatHandler {
    /** An answer sent later than this fraction of the worker's response timeout may not reach the worker in time. */
    private static final double MAX_ANSWER_DELAY_FRACTION = 0.5;

    private final FencingToken token;
    private final SafetyTimes safetyTimes;
    private final Cluster cluster;
    private final MachineRegistry registry;
    private final FailoverTracker failover;
    private final InheritedTaskReleaser inheritedTaskReleaser;
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
            FailoverTracker failover,
            InheritedTaskReleaser inheritedTaskReleaser,
            Reconciler reconciler,
            Dispatcher dispatcher,
            ConsolidationPolicy consolidation,
            SchedulerListener listener) {
        this.token = token;
        this.safetyTimes = safetyTimes;
        this.cluster = cluster;
        this.registry = registry;
        this.failover = failover;
        this.inheritedTaskReleaser = inheritedTaskReleaser;
        this.reconciler = reconciler;
        this.dispatcher = dispatcher;
        this.consolidation = consolidation;
        this.listener = listener;
    }

    /** Called once the records are loaded; applies the heartbeats that were answered before. */
    void onRecordsLoaded() {
        earlyHeartbeats.applyTo(cluster, registry.adoption());
    }

    HeartbeatResult handle(Heartbeat heartbeat, Moment now) {
        if (heartbeat.token().value() > token.value()) {
            return new HeartbeatResult.Superseded();
        }
        if (!inheritedTaskReleaser.areRecordsLoaded()) {
            earlyHeartbeats.recordAnswered(heartbeat, now);
            return new HeartbeatResult.Commands(List.of());
        }
        // Every answer renews the machine's lease, so every answer stops the tasks of ended jobs, whether or not the
        // machine is
        // known: this leader may end before it can answer the next heartbeat.
        List<WorkerCommand> commands = reconciler.stopEndedJobs(heartbeat);
        findSender(heartbeat, now).ifPresent(machine -> process(machine, heartbeat, commands, now));
        return new HeartbeatResult.Commands(commands);
    }

    /** The machine that sent the heartbeat, or empty if the heartbeat must be ignored. */
    private Optional<Machine> findSender(Heartbeat heartbeat, Moment now) {
        if (registry.isReturnedOrInProgress(heartbeat.machine())) {
            return Optional.empty();
        }
        return registry.findOrAdopt(heartbeat, token, now)
                .filter(machine -> !isOutdated(machine, heartbeat.number()))
                .map(machine -> registry.correctPool(machine, heartbeat.pool(), now));
    }

    /**
     * Whether the heartbeat is not newer than the last one, or belongs to an ended incarnation. A machine without an
     * answered heartbeat for the lease bound has killed its tasks and begun another incarnation, so a heartbeat that
     * still carries the old incarnation was sent before that.
     */
    private static boolean isOutdated(Machine machine, HeartbeatNumber number) {
        return number.compareTo(machine.lastHeartbeat) <= 0
                || (number.incarnation() == machine.lastHeartbeat.incarnation() && machine.leaseExpired);
    }

    /** Updates the machine from its heartbeat and adds the resulting commands. */
    private void process(Machine machine, Heartbeat heartbeat, List<WorkerCommand> commands, Moment now) {
        HeartbeatNumber previous = machine.lastHeartbeat;
        machine.setLastHeartbeat(heartbeat.number());
        if (!machine.isReturnedAsUnreachable()) {
            machine.renewLease(now);
            observePartition(machine, heartbeat, previous, now);
        }
        if (heartbeat.token().value() < token.value()) {
            handleOlderToken(machine, commands, now);
            return;
        }
        handleNewIncarnation(machine, previous, now);
        markUp(machine, now);
        machine.setPreemptionAt(heartbeat.preemptionNotice() == null ? null : now.plus(heartbeat.preemptionNotice()));
        reconcile(machine, heartbeat, commands, now);
        addNewCommands(machine, heartbeat.number(), commands, now);
        if (!machine.needsRecord() && !machine.isReturnedAsUnreachable()) {
            machine.partitionDetector.recordAnswer(commands, now);
        }
    }

    private void observePartition(Machine machine, Heartbeat heartbeat, HeartbeatNumber previous, Moment now) {
        boolean wasConfirmed = machine.partitionDetector.isConfirmed();
        machine.partitionDetector.recordHeartbeat(
                heartbeat, previous, token, cluster.eventLoopRunningSince, safetyTimes, now);
        if (machine.partitionDetector.isConfirmed() != wasConfirmed) {
            listener.log((wasConfirmed ? "machine answers delivered again" : "machine answers lost") + " machine="
                    + machine.id);
            cluster.recordChange();
        }
    }

    /**
     * Answers a heartbeat with an older token. The answer gives the worker this leader's token; until its next
     * heartbeat, its task list may be incomplete. So no task may be started or removed because of this list, but a task
     * in it may be stopped.
     */
    private void handleOlderToken(Machine machine, List<WorkerCommand> commands, Moment now) {
        if (failover.isInheritedLeaseExpired(machine.id, now.minus(safetyTimes.leaseBound()))) {
            inheritedTaskReleaser.markReconciled(machine.id);
        }
        machine.partitionDetector.recordAnswer(commands, now);
    }

    private void handleNewIncarnation(Machine machine, HeartbeatNumber previous, Moment now) {
        if (previous.incarnation() != 0 && machine.lastHeartbeat.incarnation() > previous.incarnation()) {
            cluster.removeAllPlacements(machine, now);
            machine.imageCache.incarnationEnded();
        }
    }

    private void markUp(Machine machine, Moment now) {
        if (machine.phase == Machine.Phase.BOOTING || machine.phase == Machine.Phase.LOST) {
            machine.markUp(now);
            cluster.recordChange();
        }
    }

    private void reconcile(Machine machine, Heartbeat heartbeat, List<WorkerCommand> commands, Moment now) {
        machine.markReconciled();
        commands.addAll(reconciler.reconcile(machine, heartbeat, now));
        inheritedTaskReleaser.markReconciled(machine.id);
        inheritedTaskReleaser.releaseLateJobs();
    }

    private void addNewCommands(Machine machine, HeartbeatNumber number, List<WorkerCommand> commands, Moment now) {
        if (machine.phase == Machine.Phase.UP && !machine.partitionDetector.isConfirmed()) {
            commands.addAll(dispatcher.startTasks(machine, number, now));
            commands.addAll(dispatcher.preempt(machine, now));
            commands.addAll(consolidation.drainCommands(machine, now));
        }
    }

    /**
     * Starts tasks on a machine that was recorded after its heartbeat arrived, if that heartbeat is still its newest.
     */
    List<WorkerCommand> startTasks(MachineId id, HeartbeatNumber number, Moment now) {
        Machine machine = cluster.machines.get(id);
        if (machine == null || !machine.lastHeartbeat.equals(number)) {
            return List.of();
        }
        List<WorkerCommand> commands = dispatcher.startTasks(machine, number, now);
        if (now.since(machine.lastAnsweredAt)
                        .compareTo(safetyTimes.responseTimeout().times(MAX_ANSWER_DELAY_FRACTION))
                < 0) {
            machine.partitionDetector.recordAnswer(commands, now);
        }
        return commands;
    }
}
