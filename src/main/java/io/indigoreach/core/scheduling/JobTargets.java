package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobTarget;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Urgency;

/** Priority and deadline of a job: its own, and what the jobs that depend on it ask of it. */
final class JobTargets {
    private final JobTarget own;
    /** Null if no job depends on it. */
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
                : own.combinedWith(ofDependents).urgency();
    }

    /** The earlier of the deadlines; null if there is none. */
    Moment due() {
        return ofDependents == null
                ? own.deadline()
                : own.combinedWith(ofDependents).deadline();
    }
}
