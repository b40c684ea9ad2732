package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.TaskId;

/** Receives what the scheduler core reports while it decides: records to write and lines for the log. */
public interface SchedulerListener {
    /** A task of the job completed: its record is to be written. */
    void onTaskCompleted(Job job);

    /** Something worth a line in the operators' log. */
    void log(String line);

    /** A task failed by its own error, and its machine or its job may be at fault. */
    default void onTaskFailed(Placement placement) {
        log("task failed task=" + placement.task() + " machine=" + placement.machine.id + " job_failures="
                + placement.job.failures + " quarantined=" + placement.machine.quarantined + " suspect="
                + placement.job.isSuspectedFaulty());
    }

    /** The worker refused to start a task. */
    default void onStartRefused(Placement placement, ExitCause cause) {
        log("task start refused task=" + placement.task() + " machine=" + placement.machine.id + " cause=" + cause);
    }

    /** A machine reports a task that may be on another one; it is stopped on the reporting machine. */
    default void onDuplicateTask(TaskId task, Machine reporting, Machine other) {
        log("duplicate task stopped task=" + task + " machine=" + reporting.id + " other=" + other.id);
    }
}
