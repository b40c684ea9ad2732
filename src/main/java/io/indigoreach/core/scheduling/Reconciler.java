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
    private record Pass(
            Machine machine, Heartbeat heartbeat, Moment now, List<WorkerCommand> commands, Set<Placement> confirmed) {}

    /**
     * Stops the tasks in the heartbeat whose jobs are cancelled or done. The heartbeat need not be the newest one, nor
     * its task list complete, because no copy of such a task may continue.
     */
    List<WorkerCommand> stopEndedJobs(Heartbeat heartbeat) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskStatus status : heartbeat.tasks()) {
            if (status.state() != TaskState.EXITED && openJobOf(status) == null) {
                commands.add(stop(status, Span.ZERO));
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
        return job != null && status.task().index() < job.spec.tasks() ? job : null;
    }

    /**
     * Applies the heartbeat's task list. Returns the commands to send in addition to those of {@link #stopEndedJobs}.
     */
    List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, Moment now) {
        Pass pass = new Pass(machine, heartbeat, now, new ArrayList<>(), new HashSet<>());
        int orphanTasks = 0;
        for (TaskStatus status : heartbeat.tasks()) {
            Job job = openJobOf(status);
            if (job == null) {
                orphanTasks += reconcileEndedJob(pass, status) ? 1 : 0;
            } else if (status.state() == TaskState.EXITED) {
                reconcileExited(pass, job, status);
            } else {
                reconcileAlive(pass, job, status);
            }
        }
        cluster.setOrphanTasks(machine, orphanTasks);
        removeMissing(pass);
        return pass.commands;
    }

    /**
     * Removes placements missing from the heartbeat: refused, lost with an answer, or killed with their incarnation.
     */
    private void removeMissing(Pass pass) {
        for (Placement placement : pass.machine.placementsCopy()) {
            if (!pass.confirmed.contains(placement)) {
                cluster.removePlacement(placement, pass.now);
            }
        }
    }

    /**
     * Handles a task whose job is cancelled or done. {@link #stopEndedJobs} stops it; it counts against its machine and
     * its team until a heartbeat no longer shows it.
     *
     * @return whether the task is an orphan: alive without a placement
     */
    private boolean reconcileEndedJob(Pass pass, TaskStatus status) {
        boolean alive = status.state() != TaskState.EXITED;
        Placement placement = pass.machine.placements().get(status.task());
        boolean placed = placement != null && placement.attempt.equals(status.attempt());
        if (placed && alive) {
            pass.confirmed.add(placement);
        }
        if (!alive) {
            pass.commands.add(reap(status));
        }
        return alive && !placed;
    }

    private static WorkerCommand stop(TaskStatus status, Span grace) {
        return new WorkerCommand.Stop(status.task(), status.attempt(), grace);
    }

    private static WorkerCommand reap(TaskStatus status) {
        return new WorkerCommand.Reap(status.task(), status.attempt());
    }

    private void reconcileExited(Pass pass, Job job, TaskStatus status) {
        Placement current = job.placements(status.task().index());
        Optional<Placement> placement = Optional.ofNullable(current)
                .filter(candidate -> candidate.machine == pass.machine && candidate.attempt.equals(status.attempt()));
        switch (status.cause()) {
            case DONE -> {
                pass.machine.imageCache.confirmCached(job.spec.image());
                if (!job.spec.isService()) {
                    completed(pass, job, status, placement);
                    return;
                }
                // Replicas run until their job is cancelled, so a replica that exited is started again after a delay.
                placement.ifPresent(ended -> retryLater(pass, job, ended));
            }
            case ERROR -> {
                pass.machine.imageCache.confirmCached(job.spec.image());
                placement.ifPresent(failed -> failed(pass, failed));
            }
            case FULL, IN_USE, UNKNOWN ->
                placement.ifPresent(refused -> {
                    listener.startRefused(refused, status.cause());
                    retryLater(pass, job, refused);
                });
            default -> placement.ifPresent(ended -> cluster.removePlacement(ended, pass.now));
        }
        pass.commands.add(reap(status));
    }

    /** Records the completion of a task. The worker may reap the task only once its completion is durable. */
    private void completed(Pass pass, Job job, TaskStatus status, Optional<Placement> placement) {
        int index = status.task().index();
        placement.ifPresent(ended -> {
            if (ended.state == TaskState.RUNNING) {
                estimates.observe(job, pass.now.since(ended.stateSince));
            }
            FaultAttribution.completed(ended);
            cluster.removePlacement(ended, pass.now);
        });
        if (job.complete(index)) {
            listener.taskCompleted(job);
        }
        if (job.isDurable(index)) {
            pass.commands.add(reap(status));
        }
    }

    private void failed(Pass pass, Placement placement) {
        FaultAttribution.failed(placement, pass.now);
        listener.taskFailed(placement);
        cluster.removePlacement(placement, pass.now);
    }

    private void retryLater(Pass pass, Job job, Placement placement) {
        job.retryNotBefore(pass.now.plus(RETRY_DELAY));
        cluster.removePlacement(placement, pass.now);
    }

    private void reconcileAlive(Pass pass, Job job, TaskStatus status) {
        Placement known = job.placements(status.task().index());
        if (known != null && known.machine != pass.machine) {
            // The task may be running on two machines: stop it on the second one.
            listener.duplicateTask(status.task(), pass.machine, known.machine);
            pass.commands.add(stop(status, Span.ZERO));
            return;
        }
        boolean sameAttempt = known != null && known.attempt.equals(status.attempt());
        Placement placement = sameAttempt ? known : adopt(pass, job, status, known);
        pass.confirmed.add(placement);
        // A newer heartbeat that still shows the task running means that the stop was lost with its answer.
        placement.stopLostIfRunning(status.state());
        if (placement.state != status.state()) {
            stateChanged(pass, job, placement, status.state());
        }
        stopIfUnwanted(pass, job, placement, status);
    }

    /** Adds a placement for a task started by an earlier leader, or kept by a machine that was presumed lost. */
    private Placement adopt(Pass pass, Job job, TaskStatus status, Placement replaced) {
        if (replaced != null) {
            cluster.removePlacement(replaced, pass.now);
        }
        Placement placement = new Placement(
                job,
                status.task().index(),
                pass.machine,
                status.attempt(),
                status.state(),
                HeartbeatNumber.NONE,
                pass.now);
        cluster.addPlacement(placement);
        return placement;
    }

    private void stateChanged(Pass pass, Job job, Placement placement, TaskState state) {
        placement.stateReported(state, pass.now);
        if (state == TaskState.RUNNING) {
            job.markRun();
            pass.machine.imageCache.confirmCached(job.spec.image());
        }
        cluster.changed();
    }

    private static void stopIfUnwanted(Pass pass, Job job, Placement placement, TaskStatus status) {
        Machine machine = pass.machine;
        if (job.cancelled || job.isDone(status.task().index())) {
            pass.commands.add(stop(status, Span.ZERO));
        } else if (machine.quarantined) {
            pass.commands.add(stop(status, job.spec.checkpointTime()));
        } else if (isToBeSavedBeforePreemption(machine, placement)) {
            pass.commands.add(stop(status, machine.preemptionAt.since(pass.now)));
        }
    }

    private static boolean isToBeSavedBeforePreemption(Machine machine, Placement placement) {
        return machine.preemptionAt != null
                && placement.job.spec.savesProgress()
                && placement.state == TaskState.RUNNING;
    }
}
