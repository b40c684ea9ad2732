package io.indigoreach.api;

import io.indigoreach.core.model.JobStatus;

/**
 * The result of a submission.
 *
 * @param created whether this request created the job; false: it existed already, and the request is a repetition
 * @param status the status that the user is told
 */
record SubmissionResult(boolean created, JobStatus status) {
    /** The job was created. A job that is cancelled from the start is reported as pending too. */
    static SubmissionResult newlyCreated() {
        return new SubmissionResult(true, JobStatus.PENDING);
    }

    /** The job existed. */
    static SubmissionResult existing(JobStatus status) {
        return new SubmissionResult(false, status);
    }
}
