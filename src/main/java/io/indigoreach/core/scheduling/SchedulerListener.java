package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.TaskId;

/** Receives the scheduler core's notifications: records to write and log lines. */
public interface SchedulerListener {
    /** Called when a task of the job has completed, so that its completion can be recorded. */
    void onTaskCompleted(Job job);

    /** Writes a line to the operators' log. */
    void log(String line);

    /** Called when a task failed with an error, for which its machine or its job may be at fault. */
    default void onTaskFailed(Placement placement) {
        log("task failed task=" + placement.task() + " machine=" + placement.machine.id + " job_failures="
                + placement.job.failures + " quarantined=" + placement.machine.quarantined + " suspect="
                + placement.job.isSuspectedFaulty());
    }

    /** Called when a worker refused to start a task. */
    default void onStartRefused(Placement placement, ExitCause cause) {
        log("task start refused task=" + placement.task() + " machine=" + placement.machine.id + " cause=" + cause);
    }

    /** Called when a machine reports a task that may be running on another one; the reporting machine stops it. */
    default void onDuplicateTask(TaskId task, Machine reporting, Machine other) {
        log("duplicate task stopped task=" + task + " machine=" + reporting.id + " other=" + other.id);
    }
}
