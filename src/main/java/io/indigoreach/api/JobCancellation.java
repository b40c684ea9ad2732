package io.indigoreach.api;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.net.WireException;
import io.indigoreach.state.FinalRecord;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Cancels jobs, on request of a user or because a dependency was cancelled. Used on the event loop only. */
final class JobCancellation {
    private static final Logger LOG = LoggerFactory.getLogger(JobCancellation.class);
    private static final int MAX_ATTEMPTS = 3;

    private final StateClient state;
    private final JobLookup lookup;
    private final JobCache jobCache;
    private final DependencyService dependencies;

    JobCancellation(StateClient state, JobLookup lookup, JobCache jobCache, DependencyService dependencies) {
        this.state = state;
        this.lookup = lookup;
        this.jobCache = jobCache;
        this.dependencies = dependencies;
    }

    /**
     * Cancels a job. The result is its final status, which is {@link JobStatus#DONE} if the job had been done before. Fails with
     * {@link NotFoundException} if the job does not exist, and with {@link RetryLaterException} if its record keeps changing.
     */
    Future<JobStatus> cancel(JobId id) {
        return cancel(id, 1);
    }

    private Future<JobStatus> cancel(JobId id, int attempt) {
        return lookup.find(id).compose(found -> cancel(id, found, attempt));
    }

    private Future<JobStatus> cancel(JobId id, StoredJob found, int attempt) {
        if (found instanceof StoredJob.Finished finished) {
            return Future.succeededFuture(finished.finalRecord().status());
        }
        if (!(found instanceof StoredJob.Open open)) {
            return Future.failedFuture(NotFoundException.job());
        }
        return state.commit(cancellationTransaction(open.jobRecord())).compose(outcome -> {
            if (outcome.executed()) {
                LOG.info("job cancelled by user job={}", id);
                jobCache.addFinished(cancelledRecord(open.jobRecord()));
                return Future.succeededFuture(JobStatus.CANCELLED);
            }
            // The leader has updated the record since it was read.
            return attempt < MAX_ATTEMPTS
                    ? cancel(id, attempt + 1)
                    : Future.failedFuture(new RetryLaterException("the job changes at this moment"));
        });
    }

    /**
     * Applies the cancellation cascade to a job that was looked up. If an open job has a cancelled dependency, its final record is
     * written here before the response is sent, so that no later response contradicts it.
     */
    Future<StoredJob> applyCascade(JobId id, StoredJob found) {
        if (!(found instanceof StoredJob.Open open)) {
            return Future.succeededFuture(found);
        }
        return dependencies
                .isCancelledByCascade(id, open.jobRecord().spec().dependencies(), jobCache::isCancelled)
                .compose(
                        cancelled -> cancelled ? cancelByCascade(id, open.jobRecord()) : Future.succeededFuture(found));
    }

    private Future<StoredJob> cancelByCascade(JobId id, JobRecord open) {
        return state.commit(cancellationTransaction(open)).compose(outcome -> {
            if (!outcome.executed()) {
                return Future.failedFuture(new WireException("the job was modified concurrently"));
            }
            LOG.info("job cancelled by dependency job={}", id);
            return Future.succeededFuture(new StoredJob.Finished(jobCache.addFinished(cancelledRecord(open))));
        });
    }

    /**
     * Returns the transaction that moves the job to its final key if its record is unchanged. The leader deletes the job's separate
     * blocks of completion bits, because there may be more of them than one transaction can delete.
     */
    private static StateClient.Txn cancellationTransaction(JobRecord open) {
        return new StateClient.Txn()
                .when(RecordKeys.openKey(open.id()), open.revision())
                .delete(RecordKeys.openKey(open.id()))
                .put(RecordKeys.finalKey(open.id()), JobRecordCodec.writeFinal(JobStatus.CANCELLED, open.doneCount()));
    }

    private static FinalRecord cancelledRecord(JobRecord open) {
        return new FinalRecord(open.id(), JobStatus.CANCELLED, open.doneCount());
    }
}
