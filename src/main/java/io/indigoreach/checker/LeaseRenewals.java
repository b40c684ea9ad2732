package io.indigoreach.checker;

import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether the answers to heartbeats keep cancelled tasks alive: no answer may renew a machine's lease beyond the time by which a cancelled
 * job's tasks must be gone, unless it stops those that the heartbeat reports alive. Judges every answer by itself, on what the worker
 * reported and was answered, and so finds what {@link Checker} sees only once a task has outlived its time.
 */
public final class LeaseRenewals {
    /** An answer that keeps a cancelled job's task alive for too long. */
    public record Finding(Event.LeaseRenewed renewal, TaskId task, Moment cancelledAt, Moment leaseEnds) {
        @Override
        public String toString() {
            return task + " was not stopped on " + renewal.machine() + ", whose lease was renewed until " + leaseEnds
                    + "; its job was cancelled at " + cancelledAt;
        }
    }

    private final Span workerLease;
    private final Span cancelWithin;
    private final Map<JobId, Moment> cancelledAt = new HashMap<>();

    /**
     * The first of all calls.
     *
     * @param workerLease for how long a worker goes on after it sent a heartbeat that was answered
     * @param cancelWithin after which a cancelled job's tasks must be gone
     */
    public LeaseRenewals(Span workerLease, Span cancelWithin) {
        this.workerLease = workerLease;
        this.cancelWithin = cancelWithin;
    }

    /** A user was told that the job is cancelled; the first time counts. */
    public void cancelled(JobId job, Moment at) {
        cancelledAt.putIfAbsent(job, at);
    }

    /** Judges one answer, by the cancellations known so far; one that is confirmed later has its whole time after the answer. */
    public List<Finding> check(Event.LeaseRenewed renewal) {
        Moment leaseEnds = renewal.sent().plus(workerLease);
        List<Finding> findings = new ArrayList<>();
        for (TaskId task : renewal.notStopped()) {
            Moment cancelled = cancelledAt.get(task.job());
            if (cancelled != null && leaseEnds.isAfter(cancelled.plus(cancelWithin))) {
                findings.add(new Finding(renewal, task, cancelled, leaseEnds));
            }
        }
        return findings;
    }

    /** The tasks that the heartbeat reports alive and the commands do not stop at once. */
    public static List<TaskId> notStopped(Heartbeat heartbeat, List<WorkerCommand> commands) {
        List<TaskId> tasks = new ArrayList<>();
        for (TaskStatus status : heartbeat.tasks()) {
            if (status.state() != TaskState.EXITED
                    && commands.stream().noneMatch(command -> stopsAtOnce(command, status))) {
                tasks.add(status.task());
            }
        }
        return tasks;
    }

    private static boolean stopsAtOnce(WorkerCommand command, TaskStatus status) {
        return command instanceof WorkerCommand.Stop stop
                && stop.task().equals(status.task())
                && stop.attempt().equals(status.attempt())
                && stop.gracePeriod().ms() == 0;
    }
}
