package io.indigoreach.api;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.Transaction;
import io.vertx.core.Future;

/**
 * An optional feature that takes part in the acceptance of jobs whose submission has its field (see
 * {@link JobSpec#extensions()}). Called on the event loop.
 */
public interface SubmissionParticipant {
    /** Returns the name of the feature's field, one of {@link JobCodec#OPTIONAL_FIELDS}. */
    String field();

    /** Throws a {@link io.indigoreach.net.WireException} if the field is malformed. Sends no requests. */
    void validate(JobSpec spec);

    /**
     * Returns the writes and conditions that are added to the transaction that accepts the job. Called again if one of those
     * conditions fails. The future fails with a {@link RequestRejectedException} if the job can never run, and with any other
     * exception if that cannot be determined now.
     */
    Future<Transaction> prepareAcceptance(JobSpec spec);

    /** Called after the writes were committed with the job, at this revision. */
    default void onAccepted(Transaction writes, Revision revision) {}
}
