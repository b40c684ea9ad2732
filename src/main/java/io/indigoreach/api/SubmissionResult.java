package io.indigoreach.api;

import io.indigoreach.core.model.JobStatus;

/**
 * The result of a submission.
 *
 * @param created whether this request created the job; false if the job had been accepted before
 * @param status the status that is reported to the user
 */
record SubmissionResult(boolean created, JobStatus status) {
    /** Returns the result for a new job. A job that is cancelled from the start is also reported as pending. */
    static SubmissionResult newlyCreated() {
        return new SubmissionResult(true, JobStatus.PENDING);
    }

    /** Returns the result for a job that had been accepted before. */
    static SubmissionResult forExistingJob(JobStatus status) {
        return new SubmissionResult(false, status);
    }
}
