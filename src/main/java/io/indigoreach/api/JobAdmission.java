package io.indigoreach.api;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.Admission;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.StateClient;
import java.util.Collection;
import java.util.Optional;

/** Checks whether a job can ever run on this cluster and whether its record fits into the state service. Sends no requests. */
final class JobAdmission {
    private final Catalogue catalogue;
    private final Collection<Team> teams;
    private final StateClient state;
    private final int maxValueBytes;

    /** {@code maxValueBytes}: the configured size limit of a value in the state service, in bytes of JSON. */
    JobAdmission(Catalogue catalogue, Collection<Team> teams, StateClient state, int maxValueBytes) {
        this.catalogue = catalogue;
        this.teams = teams;
        this.state = state;
        this.maxValueBytes = maxValueBytes;
    }

    /** Returns whether the machine types are known, which admission depends on. */
    boolean isReady() {
        return catalogue.isKnown();
    }

    /**
     * Returns the reason for rejecting the job, or empty if it is admitted. {@code submittedMs}: the time of day of the
     * submission.
     */
    Optional<ApiException> findRejection(JobSpec spec, SubmissionParticipants participants, long submittedMs) {
        Optional<String> reason = Optional.ofNullable(Admission.refusal(spec, teams, catalogue.types()))
                .or(() -> participants.unknownField(spec).map(field -> field + ": this is not switched on here"));
        return reason.<ApiException>map(RequestRejectedException::of).or(() -> findSizeRejection(spec, submittedMs));
    }

    private Optional<ApiException> findSizeRejection(JobSpec spec, long submittedMs) {
        int bytes = CompletionBits.recordBytes(spec, submittedMs);
        int maxBytes = state.limits().maxRecordBytes(maxValueBytes);
        if (bytes <= maxBytes) {
            return Optional.empty();
        }
        String reason = "the description is too long: " + bytes + " bytes, of at most " + maxBytes;
        return Optional.of(
                spec.dependencies().isEmpty()
                        ? RequestRejectedException.of(reason)
                        : new MalformedRequestException(reason + ", with the jobs named"));
    }
}
