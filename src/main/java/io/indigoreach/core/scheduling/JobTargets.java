package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobTarget;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Urgency;

/** The urgency and deadline of a job: its own, and those derived from the jobs that depend on it. */
final class JobTargets {
    private final JobTarget own;
    /** The target derived from dependent jobs; null if no job depends on this one. */
    private JobTarget dependentsTarget;

    JobTargets(JobTarget own) {
        this.own = own;
    }

    JobTarget own() {
        return own;
    }

    void setDependentsTarget(JobTarget target) {
        dependentsTarget = target;
    }

    Urgency urgency() {
        return dependentsTarget == null
                ? own.urgency()
                : own.combinedWith(dependentsTarget).urgency();
    }

    /** The earlier of the two deadlines; null if there is none. */
    Moment earliestDeadline() {
        return dependentsTarget == null
                ? own.deadline()
                : own.combinedWith(dependentsTarget).deadline();
    }
}
