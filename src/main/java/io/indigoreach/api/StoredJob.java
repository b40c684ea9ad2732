package io.indigoreach.api;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.state.FinalRecord;
import io.indigoreach.state.JobRecord;
import java.util.Optional;

/** The state of a job as stored in the state service. */
sealed interface StoredJob {
    /** The job has not ended. */
    record Open(JobRecord jobRecord) implements StoredJob {}

    /** The job is done or cancelled. */
    record Finished(FinalRecord finalRecord) implements StoredJob {}

    /** The job was never accepted. */
    record Unknown() implements StoredJob {}

    /** Returns whether the job was never accepted. */
    default boolean isUnknown() {
        return this instanceof Unknown;
    }

    /** Returns whether the job was cancelled. */
    default boolean isCancelled() {
        return this instanceof Finished finished && finished.finalRecord().status() == JobStatus.CANCELLED;
    }

    /** Returns the specification of an open job, or empty if the job is not open. */
    default Optional<JobSpec> openSpec() {
        return this instanceof Open open ? Optional.of(open.jobRecord().spec()) : Optional.empty();
    }

    /** Returns the status of the job, or empty if it was never accepted. */
    default Optional<JobStatus> status() {
        if (this instanceof Open open) {
            return Optional.of(open.jobRecord().status());
        }
        return this instanceof Finished finished
                ? Optional.of(finished.finalRecord().status())
                : Optional.empty();
    }
}
