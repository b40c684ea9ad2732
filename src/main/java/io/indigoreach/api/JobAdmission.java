package io.indigoreach.api;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.Admission;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.StateClient;
import java.util.Collection;
import java.util.Optional;

/** Whether a job can ever run here and its record fits the state service; nothing is read for this. */
final class JobAdmission {
    private final Catalogue catalogue;
    private final Collection<Team> teams;
    private final StateClient state;
    private final int maxValueBytes;

    /** {@code maxValueBytes}: the largest value of the state service by the settings, in bytes of JSON. */
    JobAdmission(Catalogue catalogue, Collection<Team> teams, StateClient state, int maxValueBytes) {
        this.catalogue = catalogue;
        this.teams = teams;
        this.state = state;
        this.maxValueBytes = maxValueBytes;
    }

    /** Whether admission can be decided: the machine types are known. */
    boolean isReady() {
        return catalogue.isKnown();
    }

    /** Why the job is rejected, if it is. {@code submittedMs}: by the time of day. */
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
