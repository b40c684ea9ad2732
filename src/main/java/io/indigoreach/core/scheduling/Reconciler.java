package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reconciles the scheduler's state of a machine with its newest heartbeat, and returns the resulting commands. */
final class Reconciler {
    /** Delay before a refused task, or a replica that exited by itself, is started again. */
    private static final Span RETRY_DELAY = Span.seconds(1);

    private final Cluster cluster;
    private final Estimates estimates;
    private final SchedulerListener listener;

    Reconciler(Cluster cluster, Estimates estimates, SchedulerListener listener) {
        this.cluster = cluster;
        this.estimates = estimates;
        this.listener = listener;
    }

    /**
     * State of the reconciliation of one heartbeat. {@code confirmed} contains the placements that the heartbeat shows.
     */
    private record Reconciliation(
            Machine machine, Heartbeat heartbeat, Moment now, List<WorkerCommand> commands, Set<Placement> confirmed) {}

    /**
     * Stops the tasks in the heartbeat whose jobs are cancelled or done. The heartbeat need not be the newest one, nor
     * its task list complete, because no copy of such a task may continue.
     */
    List<WorkerCommand> stopEndedJobs(Heartbeat heartbeat) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskStatus status : heartbeat.tasks()) {
            if (status.state() != TaskState.EXITED && openJobOf(status) == null) {
                commands.add(stopCommand(status, Span.ZERO));
            }
        }
        return commands;
    }

    /**
     * The open job that the task belongs to; null if its job is cancelled, done or unknown, or has no task of this
     * index.
     */
    private Job openJobOf(TaskStatus status) {
        Job job = cluster.jobs.get(status.task().job());
        return job != null && status.task().index() < job.spec.taskCount() ? job : null;
    }

    /**
     * Applies the heartbeat's task list. Returns the commands to send in addition to those of {@link #stopEndedJobs}.
     */
    List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, Moment now) {
        Reconciliation reconciliation = new Reconciliation(machine, heartbeat, now, new ArrayList<>(), new HashSet<>());
        int orphanTasks = 0;
        for (TaskStatus status : heartbeat.tasks()) {
            Job job = openJobOf(status);
            if (job == null) {
                orphanTasks += reconcileEndedJob(reconciliation, status) ? 1 : 0;
            } else if (status.state() == TaskState.EXITED) {
                reconcileExited(reconciliation, job, status);
            } else {
                reconcileAlive(reconciliation, job, status);
            }
        }
        cluster.setOrphanTasks(machine, orphanTasks);
        removeMissing(reconciliation);
        return reconciliation.commands;
    }

    /**
     * Removes placements missing from the heartbeat: refused, lost with an answer, or killed with their incarnation.
     */
    private void removeMissing(Reconciliation reconciliation) {
        for (Placement placement : reconciliation.machine.placementsCopy()) {
            if (!reconciliation.confirmed.contains(placement)) {
                cluster.removePlacement(placement, reconciliation.now);
            }
        }
    }

    /**
     * Handles a task whose job is cancelled or done. {@link #stopEndedJobs} stops it; it counts against its machine and
     * its team until a heartbeat no longer shows it.
     *
     * @return whether the task is an orphan: alive without a placement
     */
    private boolean reconcileEndedJob(Reconciliation reconciliation, TaskStatus status) {
        boolean alive = status.state() != TaskState.EXITED;
        Placement placement = reconciliation.machine.placements().get(status.task());
        boolean placed = placement != null && placement.attempt.equals(status.attempt());
        if (placed && alive) {
            reconciliation.confirmed.add(placement);
        }
        if (!alive) {
            reconciliation.commands.add(reapCommand(status));
        }
        return alive && !placed;
    }

    private static WorkerCommand stopCommand(TaskStatus status, Span grace) {
        return new WorkerCommand.Stop(status.task(), status.attempt(), grace);
    }

    private static WorkerCommand reapCommand(TaskStatus status) {
        return new WorkerCommand.Reap(status.task(), status.attempt());
    }

    private void reconcileExited(Reconciliation reconciliation, Job job, TaskStatus status) {
        Placement current = job.placements(status.task().index());
        Optional<Placement> placement = Optional.ofNullable(current)
                .filter(candidate ->
                        candidate.machine == reconciliation.machine && candidate.attempt.equals(status.attempt()));
        switch (status.exitCause()) {
            case DONE -> {
                reconciliation.machine.imageCache.confirmCached(job.spec.image());
                if (!job.spec.isService()) {
                    recordCompletion(reconciliation, job, status, placement);
                    return;
                }
                // Replicas run until their job is cancelled, so a replica that exited is started again after a delay.
                placement.ifPresent(endedPlacement -> retryLater(reconciliation, job, endedPlacement));
            }
            case ERROR -> {
                reconciliation.machine.imageCache.confirmCached(job.spec.image());
                placement.ifPresent(failedPlacement -> recordFailure(reconciliation, failedPlacement));
            }
            case FULL, IN_USE, UNKNOWN ->
                placement.ifPresent(refusedPlacement -> {
                    listener.onStartRefused(refusedPlacement, status.exitCause());
                    retryLater(reconciliation, job, refusedPlacement);
                });
            default ->
                placement.ifPresent(endedPlacement -> cluster.removePlacement(endedPlacement, reconciliation.now));
        }
        reconciliation.commands.add(reapCommand(status));
    }

    /** Records the completion of a task. The worker may reap the task only once its completion is durable. */
    private void recordCompletion(
            Reconciliation reconciliation, Job job, TaskStatus status, Optional<Placement> placement) {
        int index = status.task().index();
        placement.ifPresent(endedPlacement -> {
            if (endedPlacement.state == TaskState.RUNNING) {
                estimates.observe(job, reconciliation.now.since(endedPlacement.stateSince));
            }
            FaultTracker.recordCompletion(endedPlacement);
            cluster.removePlacement(endedPlacement, reconciliation.now);
        });
        if (job.complete(index)) {
            listener.onTaskCompleted(job);
        }
        if (job.isCompletionRecorded(index)) {
            reconciliation.commands.add(reapCommand(status));
        }
    }

    private void recordFailure(Reconciliation reconciliation, Placement placement) {
        FaultTracker.recordFailure(placement, reconciliation.now);
        listener.onTaskFailed(placement);
        cluster.removePlacement(placement, reconciliation.now);
    }

    private void retryLater(Reconciliation reconciliation, Job job, Placement placement) {
        job.retryNotBefore(reconciliation.now.plus(RETRY_DELAY));
        cluster.removePlacement(placement, reconciliation.now);
    }

    private void reconcileAlive(Reconciliation reconciliation, Job job, TaskStatus status) {
        Placement known = job.placements(status.task().index());
        if (known != null && known.machine != reconciliation.machine) {
            // The task may be running on two machines: stop it on the second one.
            listener.onDuplicateTask(status.task(), reconciliation.machine, known.machine);
            reconciliation.commands.add(stopCommand(status, Span.ZERO));
            return;
        }
        boolean sameAttempt = known != null && known.attempt.equals(status.attempt());
        Placement placement = sameAttempt ? known : adopt(reconciliation, job, status, known);
        reconciliation.confirmed.add(placement);
        // A newer heartbeat that still shows the task running means that the stop was lost with its answer.
        placement.stopLostIfRunning(status.state());
        if (placement.state != status.state()) {
            updateState(reconciliation, job, placement, status.state());
        }
        stopIfUnwanted(reconciliation, job, placement, status);
    }

    /** Adds a placement for a task started by an earlier leader, or kept by a machine that was presumed lost. */
    private Placement adopt(Reconciliation reconciliation, Job job, TaskStatus status, Placement replaced) {
        if (replaced != null) {
            cluster.removePlacement(replaced, reconciliation.now);
        }
        Placement placement = new Placement(
                job,
                status.task().index(),
                reconciliation.machine,
                status.attempt(),
                status.state(),
                HeartbeatNumber.NONE,
                reconciliation.now);
        cluster.addPlacement(placement);
        return placement;
    }

    private void updateState(Reconciliation reconciliation, Job job, Placement placement, TaskState state) {
        placement.stateReported(state, reconciliation.now);
        if (state == TaskState.RUNNING) {
            job.markHasRun();
            reconciliation.machine.imageCache.confirmCached(job.spec.image());
        }
        cluster.recordChange();
    }

    private static void stopIfUnwanted(Reconciliation reconciliation, Job job, Placement placement, TaskStatus status) {
        Machine machine = reconciliation.machine;
        if (job.cancelled || job.isDone(status.task().index())) {
            reconciliation.commands.add(stopCommand(status, Span.ZERO));
        } else if (machine.quarantined) {
            reconciliation.commands.add(stopCommand(status, job.spec.checkpointDuration()));
        } else if (mustSaveBeforePreemption(machine, placement)) {
            reconciliation.commands.add(stopCommand(status, machine.preemptionAt.since(reconciliation.now)));
        }
    }

    private static boolean mustSaveBeforePreemption(Machine machine, Placement placement) {
        return machine.preemptionAt != null
                && placement.job.spec.savesCheckpoints()
                && placement.state == TaskState.RUNNING;
    }
}
