package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.TaskId;

/** What the core tells its surroundings while it works: for records to write and for the log. */
public interface SchedulerListener {
    /** A task of the job completed: its record is to be written. */
    void taskCompleted(Job job);

    /** Something worth a line in the operators' log. */
    void log(String line);

    /** A task failed by its own error, and its machine or its job may be at fault. */
    default void failed(Placement placement) {
        log("task failed task=" + placement.task() + " machine=" + placement.machine.id + " job_failures="
                + placement.job.failures + " quarantined=" + placement.machine.quarantined + " suspect="
                + placement.job.isSuspectedFaulty());
    }

    /** The worker refused to start a task. */
    default void refused(Placement placement, ExitCause cause) {
        log("task start refused task=" + placement.task() + " machine=" + placement.machine.id + " cause=" + cause);
    }

    /** A machine reports a task that may be on another one; it is stopped on the reporting machine. */
    default void conflict(TaskId task, Machine reporting, Machine other) {
        log("duplicate task stopped task=" + task + " machine=" + reporting.id + " other=" + other.id);
    }
}
