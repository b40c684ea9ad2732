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
 * Accepts jobs. A submission is idempotent by the job's id: a job that was accepted once stays accepted, whatever would be
 * decided about the repeated request now. Used on the event loop only.
 */
final class JobSubmission {
    private static final int MAX_ATTEMPTS = 3;

    /** The objects that a submission works with. */
    record Context(
            StateClient state,
            SteadyClock clock,
            JobAdmission admission,
            DependencyService dependencies,
            JobLookup lookup,
            JobCancellation cancellation,
            JobCache jobCache) {}

    /**
     * A job to be written.
     *
     * @param record the value of its open key
     * @param cancelled whether it is cancelled from the start, as a dependency is
     * @param submittedMs by the time of day
     * @param attempt counted from 1
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

    /** Sets the optional features that take part. */
    void setParticipants(SubmissionParticipants optionalFeatures) {
        participants = optionalFeatures;
    }

    /**
     * Accepts a job, or finds that it was accepted before. Fails with an {@link ApiException} if it is not accepted, and with
     * anything else if the outcome is unknown. Throws {@link io.indigoreach.net.WireException} if an optional field is
     * malformed.
     */
    Future<SubmissionResult> submit(JobSpec spec) {
        participants.validate(spec);
        Optional<FinalRecord> finished = context.jobCache().finished(spec.id());
        if (finished.isPresent()) {
            return Future.succeededFuture(
                    SubmissionResult.existing(finished.get().status()));
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
     * In a flood of single-task jobs, raising each start bound would cost one more write than the acceptance. With the bound set at
     * once, a later leader starts those that wait only after it has heard from all machines.
     */
    private static int initialStartBound(JobSpec spec) {
        // No task of a job with dependencies starts before its release, which is recorded by the write of the bound.
        return spec.taskCount() == 1 && !spec.isService() && spec.dependencies().isEmpty() ? 1 : 0;
    }

    /**
     * Writes the job, only in an era that is known and while no data loss is being repaired: a lost job may have ended, and
     * must not run again.
     */
    private Future<SubmissionResult> accept(Acceptance acceptance) {
        if (!state.isEraKnown()) {
            // Without the condition on the era, a transaction without an answer could be executed after a rebuild that
            // no longer knows of the job's end.
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

    /** {@code failedKeys}: the keys that did not have the expected revisions. */
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

    /** A write that the state service does not take as it is will never be taken: a repetition would only fail again. */
    private Future<SubmissionResult> rejectIfUnacceptable(JobId id, Throwable failure) {
        return failure instanceof TransactionRejectedException
                ? existingOrFail(id, RequestRejectedException.of("the state service takes no record of this size"))
                : Future.failedFuture(failure);
    }

    /** The status of a job that was accepted before; fails with {@code otherwise} if it never was. */
    private Future<SubmissionResult> existingOrFail(JobId id, Throwable failureIfUnknown) {
        return lookup.find(id)
                .compose(
                        found -> found.isUnknown() ? Future.failedFuture(failureIfUnknown) : existingResult(id, found));
    }

    /** A job that is still unknown was not accepted by this request: the user has to repeat it. */
    private Future<SubmissionResult> existingOrRetry(JobId id, StoredJob found) {
        return found.isUnknown()
                ? Future.failedFuture(new RetryLaterException("try again"))
                : existingResult(id, found);
    }

    private Future<SubmissionResult> existingResult(JobId id, StoredJob found) {
        return context.cancellation()
                .applyCascade(id, found)
                .map(current -> SubmissionResult.existing(current.status().orElseThrow()));
    }
}
