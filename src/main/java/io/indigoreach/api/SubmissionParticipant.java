package io.indigoreach.api;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.Transaction;
import io.vertx.core.Future;

/** A part that has a say in the acceptance of jobs which bring its further field ({@link JobSpec#more()}). */
public interface SubmissionParticipant {
    /** The field's name, one of {@link JobCodec#MORE}. */
    String field();

    /** Throws {@link io.indigoreach.net.WireException} if the field is malformed; nothing is read for it. */
    void check(JobSpec spec);

    /**
     * What is to be written in the acceptance's own transaction, as things stand; asked again where its conditions fail. Fails
     * with a {@link RequestRejectedException} if the job can never run, with anything else if it cannot be said yet.
     */
    Future<Transaction> accepting(JobSpec spec);

    /** The change was written with the acceptance. */
    default void accepted(Transaction change, Revision stamp) {}
}
