package io.indigoreach.api;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.Transaction;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;

/** The optional features that take part in submissions. */
record SubmissionParticipants(List<SubmissionParticipant> participants) {
    /** Throws a {@link io.indigoreach.net.WireException} if the field of a participant is malformed. */
    void validate(JobSpec spec) {
        participantsFor(spec).forEach(participant -> participant.validate(spec));
    }

    /** Returns the first optional field of the job that no participant handles. */
    Optional<String> unknownField(JobSpec spec) {
        return spec.extensions().keySet().stream()
                .filter(field -> participants.stream()
                        .noneMatch(participant -> participant.field().equals(field)))
                .findFirst();
    }

    /** Collects the writes of the participants whose field the job has, one participant after the other. */
    Future<Transaction> prepareAcceptance(JobSpec spec) {
        Future<Transaction> writes = Future.succeededFuture(new Transaction());
        for (SubmissionParticipant participant : participantsFor(spec)) {
            writes = writes.compose(
                    earlier -> participant.prepareAcceptance(spec).map(earlier::and));
        }
        return writes;
    }

    /** Notifies the participants that their writes were committed with the job, at {@code revision}. */
    void onAccepted(JobSpec spec, Transaction writes, Revision revision) {
        participantsFor(spec).forEach(participant -> participant.onAccepted(writes, revision));
    }

    private List<SubmissionParticipant> participantsFor(JobSpec spec) {
        return participants.stream()
                .filter(participant -> spec.extensions().containsKey(participant.field()))
                .toList();
    }
}
