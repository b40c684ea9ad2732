package io.indigoreach.api;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.state.FinalRecord;
import io.indigoreach.state.JobRecord;
import java.util.Optional;

/** The state of a job, as the state service keeps it. */
sealed interface StoredJob {
    /** The job has not ended. */
    record Open(JobRecord jobRecord) implements StoredJob {}

    /** The job is done or cancelled. */
    record Finished(FinalRecord finalRecord) implements StoredJob {}

    /** The job was never accepted. */
    record Unknown() implements StoredJob {}

    /** Whether the job was never accepted. */
    default boolean isUnknown() {
        return this instanceof Unknown;
    }

    /** Whether the job has ended by a cancellation. */
    default boolean isCancelled() {
        return this instanceof Finished finished && finished.finalRecord().status() == JobStatus.CANCELLED;
    }

    /** The specification of an open job; empty for any other. */
    default Optional<JobSpec> openSpec() {
        return this instanceof Open open ? Optional.of(open.jobRecord().spec()) : Optional.empty();
    }

    /** The status of a job that was accepted; empty for an unknown one. */
    default Optional<JobStatus> status() {
        if (this instanceof Open open) {
            return Optional.of(open.jobRecord().status());
        }
        return this instanceof Finished finished
                ? Optional.of(finished.finalRecord().status())
                : Optional.empty();
    }
}
