package io.indigoreach.api;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;

/**
 * What is known of a job that another one names.
 *
 * @param open its description if it is open, else null
 * @param end how it ended if it is over, else null; both are null if it was never accepted
 */
record ReferencedJob(JobSpec open, JobStatus end) {
    boolean isUnknown() {
        return open == null && end == null;
    }

    boolean isCancelled() {
        return end == JobStatus.CANCELLED;
    }
}
