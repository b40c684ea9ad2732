package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.TaskId;

/** What the core tells its surroundings while it works: for records to write and for the log. */
public interface SchedulerListener {
    /** A task of the job completed: its record is to be written. */
    void progress(Job job);

    /** Something worth a line in the operators' log. */
    void say(String line);

    default void failed(Placement p) {
        say("task " + p.task() + " failed on " + p.machine.id + " (failures of the job: " + p.job.failures
                + (p.machine.condemned ? "; the machine is given up" : p.job.isSuspect() ? "; the job is suspect" : "")
                + ")");
    }

    default void refused(Placement p, ExitCause cause) {
        say("start of " + p.task() + " refused by " + p.machine.id + ": " + cause);
    }

    default void conflict(TaskId task, Machine here, Machine there) {
        say("task " + task + " reported by " + here.id + " while it may be on " + there.id + "; stopping it");
    }
}
