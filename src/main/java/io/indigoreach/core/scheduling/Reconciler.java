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

    List<WorkerCommand> reconcile(Machine m, Heartbeat report, Moment now) {
        List<WorkerCommand> orders = new ArrayList<>();
        Set<Placement> seen = new HashSet<>();
        int strangers = 0;
        for (TaskStatus t : report.tasks()) {
            Job job = cluster.jobs.get(t.task().job());
            if (job == null || t.task().index() >= job.spec.tasks()) {
                // Cancelled or over. It counts against machine and team until a report shows it gone.
                Placement p = m.tasks().get(t.task());
                if (p != null && p.attempt.equals(t.attempt()) && t.state() != TaskState.EXITED) {
                    seen.add(p);
                } else if (t.state() != TaskState.EXITED) {
                    strangers++;
                }
                orders.add(ending(t));
            } else if (t.state() == TaskState.EXITED) {
                exited(m, job, t, now, orders);
            } else {
                alive(m, job, t, now, orders, seen);
            }
        }
        cluster.setStrangers(m, strangers);
        // What is missing from a newer report was refused, lost with an answer, or killed with its session.
        for (Placement p : m.tasksCopy()) {
            if (!seen.contains(p)) {
                cluster.lift(p, now);
            }
        }
        return orders;
    }

    private static WorkerCommand ending(TaskStatus t) {
        return t.state() == TaskState.EXITED
                ? new WorkerCommand.Reap(t.task(), t.attempt())
                : new WorkerCommand.Stop(t.task(), t.attempt(), Span.ZERO);
    }

    private void exited(Machine m, Job job, TaskStatus t, Moment now, List<WorkerCommand> orders) {
        int index = t.task().index();
        Placement p = job.active(index);
        boolean here = p != null && p.machine == m && p.attempt.equals(t.attempt());
        switch (t.cause()) {
            case DONE -> {
                m.images.ran(job.spec.image());
                if (job.spec.isService()) {
                    // A replica runs until its job is cancelled: one that ended is started again, not at once.
                    if (here) {
                        job.retryAt = now.plus(RETRY);
                        cluster.lift(p, now);
                    }
                    break;
                }
                if (here) {
                    if (p.state == TaskState.RUNNING) {
                        estimates.observe(job, now.since(p.since));
                    }
                    FaultAttribution.completed(p);
                    cluster.lift(p, now);
                }
                if (job.complete(index)) {
                    notes.progress(job);
                }
                if (job.isDurable(index)) {
                    orders.add(new WorkerCommand.Reap(t.task(), t.attempt()));
                }
                return;
            }
            case ERROR -> {
                m.images.ran(job.spec.image());
                if (here) {
                    FaultAttribution.failed(p, now);
                    notes.failed(p);
                    cluster.lift(p, now);
                }
            }
            case FULL, IN_USE, UNKNOWN -> {
                if (here) {
                    notes.refused(p, t.cause());
                    job.retryAt = now.plus(RETRY);
                    cluster.lift(p, now);
                }
            }
            default -> {
                if (here) {
                    cluster.lift(p, now);
                }
            }
        }
        orders.add(new WorkerCommand.Reap(t.task(), t.attempt()));
    }

    private void alive(Machine m, Job job, TaskStatus t, Moment now, List<WorkerCommand> orders, Set<Placement> seen) {
        int index = t.task().index();
        Placement p = job.active(index);
        if (p == null || (p.machine == m && !p.attempt.equals(t.attempt()))) {
            if (p != null) {
                cluster.lift(p, now);
            }
            // Started by an earlier leader, or kept by a machine that was given up: it counts from now on.
            p = new Placement(job, index, m, t.attempt(), t.state(), HeartbeatNumber.NONE, now);
            cluster.place(p);
        } else if (p.machine != m) {
            // Possibly in two places: never let the second go on.
            notes.conflict(t.task(), m, p.machine);
            orders.add(new WorkerCommand.Stop(t.task(), t.attempt(), Span.ZERO));
            return;
        }
        seen.add(p);
        // A newer report that still shows it running: the stop was lost with its answer.
        p.stopping &= t.state() != TaskState.RUNNING;
        if (p.state != t.state()) {
            if (t.state() == TaskState.RUNNING) {
                p.since = now;
                job.ran();
                m.images.ran(job.spec.image());
            }
            p.state = t.state();
            cluster.version++;
        }
        if (job.cancelled || job.isDone(index)) {
            orders.add(new WorkerCommand.Stop(t.task(), t.attempt(), Span.ZERO));
        } else if (m.condemned) {
            orders.add(new WorkerCommand.Stop(t.task(), t.attempt(), job.spec.checkpointTime()));
        } else if (m.notice != null && job.spec.savesProgress() && p.state == TaskState.RUNNING) {
            orders.add(new WorkerCommand.Stop(t.task(), t.attempt(), m.notice.since(now)));
        }
    }
}
