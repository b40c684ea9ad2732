package io.indigoreach.api;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.FinalRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.TransactionRejectedException;
import io.vertx.core.Future;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Accepts jobs. A submission is idempotent by the job's id: a job that has been accepted stays accepted, even if the
 * same request would be rejected now. Used on the event loop only.
 */
final class JobSubmission {
    private static final int MAX_ATTEMPTS = 3;

    /** The services that this class uses. */
    record Context(
            StateClient state,
            SteadyClock clock,
            JobAdmission admission,
            DependencyService dependencies,
            JobLookup lookup,
            JobCancellation cancellation,
            JobCache jobCache) {}

    /**
     * One attempt to write an accepted job.
     *
     * @param record the value of the job's open key
     * @param cancelled whether the job is cancelled from the start because a dependency is cancelled
     * @param submittedMs the time of day of the submission
     * @param attempt the number of the attempt, starting at 1
     */
    private record Acceptance(
            JobSpec spec, Map<String, Object> record, boolean cancelled, long submittedMs, int attempt) {
        Acceptance nextAttempt() {
            return new Acceptance(spec, record, cancelled, submittedMs, attempt + 1);
        }

        boolean mayRetry() {
            return attempt < MAX_ATTEMPTS;
        }
    }

    private final Context context;
    private final StateClient state;
    private final JobLookup lookup;
    private SubmissionParticipants participants = new SubmissionParticipants(List.of());

    JobSubmission(Context context) {
        this.context = context;
        this.state = context.state();
        this.lookup = context.lookup();
    }

    /** Sets the optional features that take part in submissions. */
    void setParticipants(SubmissionParticipants optionalFeatures) {
        participants = optionalFeatures;
    }

    /**
     * Accepts a job, or finds that it was accepted before. Fails with an {@link ApiException} if the job is not accepted, and with
     * any other exception if the outcome is unknown. Throws {@link io.indigoreach.net.WireException} if an optional field is
     * malformed.
     */
    Future<SubmissionResult> submit(JobSpec spec) {
        participants.validate(spec);
        Optional<FinalRecord> finished = context.jobCache().finished(spec.id());
        if (finished.isPresent()) {
            return Future.succeededFuture(
                    SubmissionResult.forExistingJob(finished.get().status()));
        }
        if (!context.admission().isReady()) {
            return Future.failedFuture(new RetryLaterException("the machine types are not known yet"));
        }
        long submittedMs = context.clock().timeOfDay();
        Optional<ApiException> rejection = context.admission().findRejection(spec, participants, submittedMs);
        if (rejection.isPresent()) {
            return existingOrFail(spec.id(), rejection.get());
        }
        Map<String, Object> record =
                JobRecordCodec.writeJob(spec, submittedMs, JobStatus.PENDING, new BitSet(), 0, initialStartBound(spec));
        return context.dependencies()
                .isAnyCancelled(spec.dependencies())
                .compose(
                        cancelled -> accept(new Acceptance(spec, record, cancelled, submittedMs, 1)),
                        failure -> existingOrFail(spec.id(), dependencyFailure(failure)));
    }

    private static ApiException dependencyFailure(Throwable failure) {
        return failure instanceof ApiException known
                ? known
                : new RetryLaterException("a job that this one names cannot be read");
    }

    /**
     * Returns the start bound that is written with the acceptance. Raising the bound later would cost a second write per job, which
     * doubles the writes under a flood of single-task jobs. In return, a new leader has to wait for the heartbeats of all machines
     * before it starts the waiting jobs among them.
     */
    private static int initialStartBound(JobSpec spec) {
        // The write that raises the bound also records that the dependencies are done, and no task starts before that
        // write.
        return spec.taskCount() == 1 && !spec.isService() && spec.dependencies().isEmpty() ? 1 : 0;
    }

    /**
     * Writes the job, but only if the era is known and no data loss is being repaired: the job may have been lost after it ended,
     * and must not run again.
     */
    private Future<SubmissionResult> accept(Acceptance acceptance) {
        if (!state.isEraKnown()) {
            // Without the condition on the era, a delayed transaction could be executed after a rebuild that has lost
            // the
            // job's final record.
            return state.checkEra().compose(checked -> acceptIfEraKnown(acceptance));
        }
        JobSpec spec = acceptance.spec();
        StateClient.Txn txn = state.transactionInEra()
                .when(RecordKeys.openKey(spec.id()), Revision.ABSENT)
                .when(RecordKeys.finalKey(spec.id()), Revision.ABSENT);
        if (state.losses().isLossPending()) {
            return lookup.find(spec.id()).compose(found -> existingOrRetry(spec.id(), found));
        }
        return participantWrites(acceptance)
                .compose(
                        writes -> commit(acceptance, txn, writes)
                                .recover(failure -> rejectIfUnacceptable(spec.id(), failure)),
                        failure -> existingOrFail(spec.id(), failure));
    }

    private Future<SubmissionResult> acceptIfEraKnown(Acceptance acceptance) {
        return state.isEraKnown()
                ? accept(acceptance)
                : Future.failedFuture(new RetryLaterException("the era is not known yet"));
    }

    private Future<Transaction> participantWrites(Acceptance acceptance) {
        return acceptance.cancelled()
                ? Future.succeededFuture(new Transaction())
                : participants.prepareAcceptance(acceptance.spec());
    }

    private Future<SubmissionResult> commit(Acceptance acceptance, StateClient.Txn txn, Transaction writes) {
        JobId id = acceptance.spec().id();
        StateClient.Txn withJobWrite = acceptance.cancelled()
                ? txn.put(RecordKeys.finalKey(id), JobRecordCodec.writeFinal(JobStatus.CANCELLED, 0))
                : txn.put(RecordKeys.openKey(id), acceptance.record());
        return state.commit(withJobWrite.addAll(writes))
                .compose(outcome -> outcome.executed()
                        ? Future.succeededFuture(recordAcceptance(acceptance, writes, outcome.writtenRevision()))
                        : resolveConflict(acceptance, writes, outcome.failedKeys()));
    }

    private SubmissionResult recordAcceptance(Acceptance acceptance, Transaction writes, Revision revision) {
        JobSpec spec = acceptance.spec();
        participants.onAccepted(spec, writes, revision);
        if (acceptance.cancelled()) {
            context.jobCache().addFinished(new FinalRecord(spec.id(), JobStatus.CANCELLED, 0));
        } else {
            context.jobCache().addAccepted(spec, acceptance.submittedMs());
        }
        return SubmissionResult.newlyCreated();
    }

    /**
     * Retries or looks up the job.
     *
     * @param failedKeys the keys that did not have the expected revisions
     */
    private Future<SubmissionResult> resolveConflict(
            Acceptance acceptance, Transaction writes, List<String> failedKeys) {
        if (failedKeys.equals(List.of(RecordKeys.ERA)) && acceptance.mayRetry()) {
            return state.checkEra().compose(checked -> accept(acceptance.nextAttempt()));
        }
        if (failedKeys.stream().anyMatch(writes.conditions()::containsKey) && acceptance.mayRetry()) {
            return accept(acceptance.nextAttempt());
        }
        JobSpec spec = acceptance.spec();
        return lookup.findSubmitted(spec).compose(found -> existingOrRetry(spec.id(), found));
    }

    /** Rejects a job whose write violates the limits of the state service, since a retry would fail in the same way. */
    private Future<SubmissionResult> rejectIfUnacceptable(JobId id, Throwable failure) {
        return failure instanceof TransactionRejectedException
                ? existingOrFail(id, RequestRejectedException.of("the state service takes no record of this size"))
                : Future.failedFuture(failure);
    }

    /** Returns the status of a job that was accepted before. Fails with {@code failureIfUnknown} if the job was never accepted. */
    private Future<SubmissionResult> existingOrFail(JobId id, Throwable failureIfUnknown) {
        return lookup.find(id)
                .compose(
                        found -> found.isUnknown() ? Future.failedFuture(failureIfUnknown) : existingResult(id, found));
    }

    /** Returns the status of a job that was found. Otherwise this request did not accept the job, and the client has to retry. */
    private Future<SubmissionResult> existingOrRetry(JobId id, StoredJob found) {
        return found.isUnknown()
                ? Future.failedFuture(new RetryLaterException("try again"))
                : existingResult(id, found);
    }

    private Future<SubmissionResult> existingResult(JobId id, StoredJob found) {
        return context.cancellation()
                .applyCascade(id, found)
                .map(current -> SubmissionResult.forExistingJob(current.status().orElseThrow()));
    }
}
