package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobTarget;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Urgency;

/** The urgency and deadline of a job: its own, and those derived from the jobs that depend on it. */
final class JobTargets {
    private final JobTarget own;
    /** The target derived from dependent jobs; null if no job depends on this one. */
    private JobTarget ofDependents;

    JobTargets(JobTarget own) {
        this.own = own;
    }

    JobTarget own() {
        return own;
    }

    void dependentsAsk(JobTarget target) {
        ofDependents = target;
    }

    Urgency urgency() {
        return ofDependents == null
                ? own.urgency()
                : own.strictest(ofDependents).urgency();
    }

    /** The earlier of the two deadlines; null if there is none. */
    Moment due() {
        return ofDependents == null ? own.due() : own.strictest(ofDependents).due();
    }
}
