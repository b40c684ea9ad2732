package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;

/** A task that may be on a machine. It counts against the machine, the job and the team until it surely is not. */
public final class Placement {
    final Job job;
    final int index;
    final Machine machine;
    final Attempt attempt;
    TaskState state;
    /** The heartbeat whose response carried the start; a newer one without the task shows it was never executed. */
    final HeartbeatNumber startedInResponseTo;
    /** When the task was started or first seen; once it runs, when that was first reported. */
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

    /** A stop command is sent to the worker. */
    void stopRequested() {
        stopping = true;
    }

    /** A newer heartbeat that still shows the task running: the stop was lost with its response. */
    void stopLostIfRunning(TaskState reported) {
        stopping &= reported != TaskState.RUNNING;
    }

    /** A heartbeat shows another state; the time since which it runs counts from the first one that says so. */
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
