package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.TaskId;

/** What the core tells its surroundings while it works: for records to write and for the log. */
public interface SchedulerListener {
    /** A task of the job completed: its record is to be written. */
    void taskCompleted(Job job);

    /** Something worth a line in the operators' log. */
    void log(String line);

    default void failed(Placement placement) {
        log("task " + placement.task() + " failed on " + placement.machine.id + " (failures of the job: "
                + placement.job.failures
                + (placement.machine.quarantined
                        ? "; the machine is given up"
                        : placement.job.isSuspectedFaulty() ? "; the job is suspect" : "")
                + ")");
    }

    default void refused(Placement placement, ExitCause cause) {
        log("start of " + placement.task() + " refused by " + placement.machine.id + ": " + cause);
    }

    default void conflict(TaskId task, Machine here, Machine there) {
        log("task " + task + " reported by " + here.id + " while it may be on " + there.id + "; stopping it");
    }
}
