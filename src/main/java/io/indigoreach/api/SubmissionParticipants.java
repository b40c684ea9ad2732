package io.indigoreach.api;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.Transaction;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;

/** The optional features that take part in submissions. */
record SubmissionParticipants(List<SubmissionParticipant> all) {
    /** Throws a {@link io.indigoreach.net.WireException} if the field of a participant is malformed. */
    void check(JobSpec spec) {
        concerned(spec).forEach(participant -> participant.check(spec));
    }

    /** Returns the first optional field of the job that no participant handles. */
    Optional<String> unknownField(JobSpec spec) {
        return spec.more().keySet().stream()
                .filter(field -> all.stream()
                        .noneMatch(participant -> participant.field().equals(field)))
                .findFirst();
    }

    /** Collects the writes of the participants whose field the job has, one participant after the other. */
    Future<Transaction> writes(JobSpec spec) {
        Future<Transaction> writes = Future.succeededFuture(new Transaction());
        for (SubmissionParticipant participant : concerned(spec)) {
            writes = writes.compose(earlier -> participant.accepting(spec).map(earlier::and));
        }
        return writes;
    }

    /** Notifies the participants that their writes were committed with the job, at {@code revision}. */
    void accepted(JobSpec spec, Transaction writes, Revision revision) {
        concerned(spec).forEach(participant -> participant.accepted(writes, revision));
    }

    private List<SubmissionParticipant> concerned(JobSpec spec) {
        return all.stream()
                .filter(participant -> spec.more().containsKey(participant.field()))
                .toList();
    }
}
