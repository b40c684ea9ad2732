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
import java.util.Set;

/** Brings the leader's picture of one machine in line with a trusted, newest report, and answers with tidying orders. */
final class Reconciler {
    /** Before a job's task is tried again that was refused, or a replica that ended by itself. */
    private static final Span RETRY = Span.seconds(1);

    private final Cluster cluster;
    private final Estimates estimates;
    private final SchedulerListener notes;

    Reconciler(Cluster cluster, Estimates estimates, SchedulerListener notes) {
        this.cluster = cluster;
        this.estimates = estimates;
        this.notes = notes;
    }

    List<WorkerCommand> reconcile(Machine machine, Heartbeat heartbeat, Moment now) {
        List<WorkerCommand> orders = new ArrayList<>();
        Set<Placement> seen = new HashSet<>();
        int strangers = 0;
        for (TaskStatus status : heartbeat.tasks()) {
            Job job = cluster.jobs.get(status.task().job());
            if (job == null || status.task().index() >= job.spec.tasks()) {
                // Cancelled or over. It counts against machine and team until a report shows it gone.
                Placement placement = machine.placements().get(status.task());
                if (placement != null
                        && placement.attempt.equals(status.attempt())
                        && status.state() != TaskState.EXITED) {
                    seen.add(placement);
                } else if (status.state() != TaskState.EXITED) {
                    strangers++;
                }
                orders.add(ending(status));
            } else if (status.state() == TaskState.EXITED) {
                exited(machine, job, status, now, orders);
            } else {
                alive(machine, job, status, now, orders, seen);
            }
        }
        cluster.setOrphanTasks(machine, strangers);
        // What is missing from a newer report was refused, lost with an answer, or killed with its session.
        for (Placement placement : machine.placementsCopy()) {
            if (!seen.contains(placement)) {
                cluster.removePlacement(placement, now);
            }
        }
        return orders;
    }

    private static WorkerCommand ending(TaskStatus status) {
        return status.state() == TaskState.EXITED
                ? new WorkerCommand.Reap(status.task(), status.attempt())
                : new WorkerCommand.Stop(status.task(), status.attempt(), Span.ZERO);
    }

    private void exited(Machine machine, Job job, TaskStatus status, Moment now, List<WorkerCommand> orders) {
        int index = status.task().index();
        Placement placement = job.placements(index);
        boolean here = placement != null && placement.machine == machine && placement.attempt.equals(status.attempt());
        switch (status.cause()) {
            case DONE -> {
                machine.imageCache.ran(job.spec.image());
                if (job.spec.isService()) {
                    // A replica runs until its job is cancelled: one that ended is started again, not at once.
                    if (here) {
                        job.retryNotBefore(now.plus(RETRY));
                        cluster.removePlacement(placement, now);
                    }
                    break;
                }
                if (here) {
                    if (placement.state == TaskState.RUNNING) {
                        estimates.observe(job, now.since(placement.stateSince));
                    }
                    FaultAttribution.completed(placement);
                    cluster.removePlacement(placement, now);
                }
                if (job.complete(index)) {
                    notes.taskCompleted(job);
                }
                if (job.isDurable(index)) {
                    orders.add(new WorkerCommand.Reap(status.task(), status.attempt()));
                }
                return;
            }
            case ERROR -> {
                machine.imageCache.ran(job.spec.image());
                if (here) {
                    FaultAttribution.failed(placement, now);
                    notes.failed(placement);
                    cluster.removePlacement(placement, now);
                }
            }
            case FULL, IN_USE, UNKNOWN -> {
                if (here) {
                    notes.refused(placement, status.cause());
                    job.retryNotBefore(now.plus(RETRY));
                    cluster.removePlacement(placement, now);
                }
            }
            default -> {
                if (here) {
                    cluster.removePlacement(placement, now);
                }
            }
        }
        orders.add(new WorkerCommand.Reap(status.task(), status.attempt()));
    }

    private void alive(
            Machine machine, Job job, TaskStatus status, Moment now, List<WorkerCommand> orders, Set<Placement> seen) {
        int index = status.task().index();
        Placement placement = job.placements(index);
        if (placement == null || (placement.machine == machine && !placement.attempt.equals(status.attempt()))) {
            if (placement != null) {
                cluster.removePlacement(placement, now);
            }
            // Started by an earlier leader, or kept by a machine that was given up: it counts from now on.
            placement = new Placement(job, index, machine, status.attempt(), status.state(), HeartbeatNumber.NONE, now);
            cluster.addPlacement(placement);
        } else if (placement.machine != machine) {
            // Possibly in two places: never let the second go on.
            notes.conflict(status.task(), machine, placement.machine);
            orders.add(new WorkerCommand.Stop(status.task(), status.attempt(), Span.ZERO));
            return;
        }
        seen.add(placement);
        // A newer report that still shows it running: the stop was lost with its answer.
        placement.stopLostIfRunning(status.state());
        if (placement.state != status.state()) {
            placement.stateReported(status.state(), now);
            if (status.state() == TaskState.RUNNING) {
                job.markRun();
                machine.imageCache.ran(job.spec.image());
            }
            cluster.changed();
        }
        if (job.cancelled || job.isDone(index)) {
            orders.add(new WorkerCommand.Stop(status.task(), status.attempt(), Span.ZERO));
        } else if (machine.quarantined) {
            orders.add(new WorkerCommand.Stop(status.task(), status.attempt(), job.spec.checkpointTime()));
        } else if (machine.preemptionAt != null && job.spec.savesProgress() && placement.state == TaskState.RUNNING) {
            orders.add(new WorkerCommand.Stop(status.task(), status.attempt(), machine.preemptionAt.since(now)));
        }
    }
}
