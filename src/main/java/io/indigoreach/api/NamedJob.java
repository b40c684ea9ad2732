package io.indigoreach.api;

import io.indigoreach.core.JobSpec;
import io.indigoreach.core.JobStatus;

/**
 * What is known of a job that another one names.
 *
 * @param open its description if it is open, else null
 * @param end how it ended if it is over, else null; both are null if it was never accepted
 */
record NamedJob(JobSpec open, JobStatus end) {
    boolean isUnknown() {
        return open == null && end == null;
    }

    boolean isCancelled() {
        return end == JobStatus.CANCELLED;
    }
}
