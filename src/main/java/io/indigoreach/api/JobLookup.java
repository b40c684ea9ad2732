package io.indigoreach.api;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.WireException;
import io.indigoreach.state.FinalRecord;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.Optional;
import java.util.function.Function;

/**
 * Looks up the state of a job: in memory if this process has seen its final record, otherwise in the state service. The open key
 * is read before the final key, because a job moves from the open to the final key and never back. If neither key is found, a
 * transaction confirms that both are absent, since a stale read may predate the job's acceptance. While reads of the state
 * service are suspect, open records are confirmed in the same way. Unreadable records are repaired. A lookup fails if the state
 * cannot be determined now. Used on the event loop only.
 */
final class JobLookup {
    private static final int MAX_ATTEMPTS = 3;

    /**
     * The parameters of one attempt of a lookup.
     *
     * @param submitted the specification if the user submits the job again; an unreadable record can be repaired from it
     * @param attempt the number of the attempt, starting at 1
     */
    private record Search(JobId id, Optional<JobSpec> submitted, int attempt) {
        Search nextAttempt() {
            return new Search(id, submitted, attempt + 1);
        }

        Search withoutSubmission() {
            return new Search(id, Optional.empty(), attempt);
        }
    }

    private final StateClient state;
    private final JobRepairer repairer;
    private final JobCache jobCache;
    private final OpenRecordReader batchedReads;
    private Function<JobId, Future<Boolean>> knownToPeersQuery = id -> Future.succeededFuture(false);

    /** {@code batchedReads}: batches the reads of queries, so that their request rate is bounded. */
    JobLookup(StateClient state, JobRepairer repairer, JobCache jobCache, OpenRecordReader batchedReads) {
        this.state = state;
        this.repairer = repairer;
        this.jobCache = jobCache;
        this.batchedReads = batchedReads;
    }

    /** Sets the query that finds out whether any other controller remembers a job. */
    void setPeerQuery(Function<JobId, Future<Boolean>> peerQuery) {
        knownToPeersQuery = peerQuery;
    }

    /** Looks up a job with separate reads. */
    Future<StoredJob> find(JobId id) {
        return search(new Search(id, Optional.empty(), 1), this::readDirectly);
    }

    /** Looks up a job for a query. Under load, queries share listings of the open jobs. */
    Future<StoredJob> findBatched(JobId id) {
        return search(new Search(id, Optional.empty(), 1), batchedReads);
    }

    /** Looks up a job that its user submits again. An unreadable record is repaired from {@code spec}. */
    Future<StoredJob> findSubmitted(JobSpec spec) {
        return search(new Search(spec.id(), Optional.of(spec), 1), this::readDirectly);
    }

    private Future<Optional<StateClient.Entry>> readDirectly(JobId id) {
        return state.get(RecordKeys.openKey(id)).map(Optional::ofNullable);
    }

    private Future<StoredJob> search(Search search, OpenRecordReader reader) {
        Optional<FinalRecord> cached = jobCache.finished(search.id());
        if (cached.isPresent()) {
            return Future.succeededFuture(new StoredJob.Finished(cached.get()));
        }
        return reader.read(search.id())
                .compose(entry -> entry.isPresent() ? decodeOpen(search, entry.get()) : searchFinal(search));
    }

    private Future<StoredJob> decodeOpen(Search search, StateClient.Entry entry) {
        JobId id = search.id();
        JobRecord record;
        try {
            record = JobRecordCodec.readJob(id, entry.value(), entry.revision());
        } catch (WireException unreadable) {
            Future<Void> repaired =
                    repairer.repairOpen(id, entry, search.submitted().orElse(null));
            return retrySearch(search, repaired, unreadable.getMessage());
        }
        if (record.status() == JobStatus.DONE) {
            // The job is done, but its record has not been moved to the final key yet.
            return Future.succeededFuture(cacheFinished(new FinalRecord(id, JobStatus.DONE, record.doneCount())));
        }
        return state.shouldConfirmRead()
                ? confirmOpen(search, record)
                : Future.succeededFuture(new StoredJob.Open(record));
    }

    private Future<StoredJob> searchFinal(Search search) {
        return state.get(RecordKeys.finalKey(search.id()))
                .map(Optional::ofNullable)
                .compose(entry -> entry.isPresent() ? decodeFinal(search, entry.get()) : confirmUnknown(search));
    }

    private Future<StoredJob> decodeFinal(Search search, StateClient.Entry entry) {
        try {
            return Future.succeededFuture(cacheFinished(JobRecordCodec.readFinal(search.id(), entry.value())));
        } catch (WireException unreadable) {
            Future<Void> repaired =
                    repairer.repairFinal(search.id(), entry, search.submitted().orElse(null));
            return retrySearch(search, repaired, unreadable.getMessage());
        }
    }

    private StoredJob cacheFinished(FinalRecord record) {
        return new StoredJob.Finished(jobCache.addFinished(record));
    }

    private Future<StoredJob> retrySearch(Search search, Future<Void> precondition, String failureMessage) {
        return precondition.compose(done -> search.attempt() < MAX_ATTEMPTS
                ? search(search.nextAttempt(), this::readDirectly)
                : Future.failedFuture(new WireException(failureMessage)));
    }

    private Future<StoredJob> confirmOpen(Search search, JobRecord record) {
        StateClient.Txn unchanged = new StateClient.Txn()
                .when(RecordKeys.openKey(search.id()), record.revision())
                .when(RecordKeys.finalKey(search.id()), Revision.ABSENT);
        return state.confirm(unchanged)
                .compose(holds ->
                        holds ? Future.succeededFuture(new StoredJob.Open(record)) : retryAfterStaleRead(search));
    }

    private Future<StoredJob> confirmUnknown(Search search) {
        if (state.losses().isLossPending()) {
            return Future.failedFuture(
                    new WireException("the state service lost data, and job " + search.id() + " may have been lost"));
        }
        return state.confirm(bothKeysAbsent(state.transactionInEra(), search.id()))
                .compose(holds -> holds ? confirmUnknownToControllers(search) : retryAfterStaleRead(search));
    }

    private Future<StoredJob> retryAfterStaleRead(Search search) {
        return retrySearch(
                search.withoutSubmission(),
                state.checkEra(),
                "the state service returned a stale read of job " + search.id());
    }

    /** Reports a job as unknown only if no controller remembers it. If one does, the job's record was lost. */
    private Future<StoredJob> confirmUnknownToControllers(Search search) {
        JobId id = search.id();
        Future<Boolean> remembered = jobCache.contains(id) ? Future.succeededFuture(true) : knownToPeersQuery.apply(id);
        return remembered.compose(
                known -> known ? reportLostRecord(search) : Future.succeededFuture(new StoredJob.Unknown()));
    }

    private Future<StoredJob> reportLostRecord(Search search) {
        return state.confirm(bothKeysAbsent(new StateClient.Txn(), search.id())).compose(absent -> {
            if (!absent) {
                // The job was accepted after the lookup had read its keys.
                return retrySearch(
                        search.withoutSubmission(),
                        Future.succeededFuture(),
                        "job " + search.id() + " changed during the lookup");
            }
            state.reportMissingRecord(RecordKeys.openKey(search.id()));
            return Future.failedFuture(new WireException("the record of job " + search.id() + " was lost"));
        });
    }

    private static StateClient.Txn bothKeysAbsent(StateClient.Txn txn, JobId id) {
        return txn.when(RecordKeys.openKey(id), Revision.ABSENT).when(RecordKeys.finalKey(id), Revision.ABSENT);
    }
}
