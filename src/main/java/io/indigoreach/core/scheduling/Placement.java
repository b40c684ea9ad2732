package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;

/**
 * A task that may be on a machine. It counts against the capacity of the machine, the placements of the job and the
 * usage of the team until the leader knows that the task is gone.
 */
public final class Placement {
    final Job job;
    final int index;
    final Machine machine;
    final Attempt attempt;
    TaskState state;
    /**
     * The heartbeat whose response carried the start command. A newer one without the task shows that it never started.
     */
    final HeartbeatNumber startedInResponseTo;
    /**
     * When the start was issued or the task was first reported; for a running task, when it was first reported as
     * running.
     */
    Moment stateSince;

    boolean stopping;

    Placement(
            Job job,
            int index,
            Machine machine,
            Attempt attempt,
            TaskState state,
            HeartbeatNumber startedInResponseTo,
            Moment stateSince) {
        this.job = job;
        this.index = index;
        this.machine = machine;
        this.attempt = attempt;
        this.state = state;
        this.startedInResponseTo = startedInResponseTo;
        this.stateSince = stateSince;
    }

    /** Notes that a stop command was issued for the task. */
    void stopRequested() {
        stopping = true;
    }

    /** Notes that a newer heartbeat still reports the task as running: the response with the stop command was lost. */
    void stopLostIfRunning(TaskState reported) {
        stopping &= reported != TaskState.RUNNING;
    }

    /**
     * Records the state in a heartbeat; the run time counts from the first heartbeat that reports the task as running.
     */
    void stateReported(TaskState reported, Moment now) {
        if (reported == TaskState.RUNNING) {
            stateSince = now;
        }
        state = reported;
    }

    TaskId task() {
        return new TaskId(job.id(), index);
    }

    boolean isRunning() {
        return state == TaskState.RUNNING || state == TaskState.SAVING;
    }

    Resources demand() {
        return job.spec.demand();
    }
}
