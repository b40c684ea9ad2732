package io.indigoreach.api;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.Transaction;
import io.vertx.core.Future;

/**
 * An optional feature that takes part in the acceptance of jobs which have its field ({@link JobSpec#extensions()}). Called on the
 * event loop.
 */
public interface SubmissionParticipant {
    /** The field's name, one of {@link JobCodec#OPTIONAL_FIELDS}. */
    String field();

    /** Throws {@link io.indigoreach.net.WireException} if the field is malformed; nothing is read for this. */
    void validate(JobSpec spec);

    /**
     * The writes and conditions to be added to the transaction that accepts the job. Called again if those conditions fail. Fails with a
     * {@link RequestRejectedException} if the job can never run, and with anything else if that cannot be determined now.
     */
    Future<Transaction> prepareAcceptance(JobSpec spec);

    /** The writes were committed with the job, at this revision. */
    default void onAccepted(Transaction writes, Revision revision) {}
}
