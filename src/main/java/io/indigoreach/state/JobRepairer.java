package io.indigoreach.state;

import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.loss.RecordRepair;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.vertx.core.Future;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rewrites a job's unreadable record from the state that the controllers remember and from a repeated submission by its user
 * ({@link RecordRepair}). Any node may repair a record: each write is conditional on the revision of the unreadable record, so
 * only one of two concurrent repairs is executed and no newer record is overwritten.
 */
public final class JobRepairer {
    private static final Logger LOG = LoggerFactory.getLogger(JobRepairer.class);

    private final StateClient state;
    private final SteadyClock clock;
    private final StateLimits limits;
    private Function<JobId, Future<RememberedState>> rememberedStateQuery =
            id -> Future.succeededFuture(new RememberedState());

    /** Creates a repairer without configured limits. */
    public JobRepairer(StateClient state, SteadyClock clock) {
        this(state, clock, EffectiveLimits.UNLIMITED);
    }

    /** {@code limits}: the configured limits of the state service. */
    public JobRepairer(StateClient state, SteadyClock clock, StateLimits limits) {
        this.state = state;
        this.clock = clock;
        this.limits = limits;
    }

    /** Sets the query for the state of a job that the controllers remember. */
    public void setRememberedStateQuery(Function<JobId, Future<RememberedState>> query) {
        rememberedStateQuery = query;
    }

    /**
     * Repairs an open job's record, or moves the job to the finished ones. Succeeds also if the record has been changed
     * concurrently; the caller reads it again in any case. Fails if no controller remembers the job and no user has resubmitted
     * it.
     *
     * @param resubmitted the job that its user has resubmitted, or null
     */
    public Future<Void> repairOpen(JobId id, StateClient.Entry unreadable, JobSpec resubmitted) {
        return rememberedStateQuery.apply(id).compose(remembered -> {
            RememberedState repaired = RecordRepair.repairOpen(
                    id,
                    JobRecordCodec.readReadableFields(unreadable.value()),
                    remembered,
                    resubmitted,
                    clock.timeOfDay());
            StateClient.Txn txn = state.transactionInEra()
                    .when(unreadable.key(), unreadable.revision())
                    .when(RecordKeys.finalKey(id), Revision.ABSENT);
            repaired.finishedJobs()
                    .values()
                    .forEach(finished -> txn.delete(unreadable.key())
                            .put(
                                    RecordKeys.finalKey(id),
                                    JobRecordCodec.writeFinal(finished.status(), finished.completedTaskCount())));
            // Does not delete the completion blocks, because their bits are still valid. Tasks whose completion is
            // recorded neither there nor in the job record are started again; their results are kept, so they exit
            // immediately.
            CompletionBits bits = new CompletionBits(state.limits().applyTo(limits));
            repaired.openJobs()
                    .forEach(job -> txn.put(
                            unreadable.key(),
                            bits.writeJob(
                                    job.spec(),
                                    job.submittedMs(),
                                    JobStatus.PENDING,
                                    job.done(),
                                    0,
                                    job.startBound())));
            return writeRepair(txn, unreadable.key());
        });
    }

    /** Repairs the record of a finished job, under the same conditions as {@link #repairOpen}. */
    public Future<Void> repairFinal(JobId id, StateClient.Entry unreadable, JobSpec resubmitted) {
        return rememberedStateQuery.apply(id).compose(remembered -> {
            RememberedState.FinishedJob finished = RecordRepair.repairFinal(
                    id, JobRecordCodec.readReadableFields(unreadable.value()), remembered, resubmitted);
            StateClient.Txn txn = state.transactionInEra().when(unreadable.key(), unreadable.revision());
            return writeRepair(
                    finished == null
                            ? txn
                            : txn.put(
                                    unreadable.key(),
                                    JobRecordCodec.writeFinal(finished.status(), finished.completedTaskCount())),
                    unreadable.key());
        });
    }

    private Future<Void> writeRepair(StateClient.Txn txn, String key) {
        if (txn.size() == 0) {
            return Future.failedFuture(
                    new WireException("the record " + key + " cannot be read, and no controller remembers the job"));
        }
        return state.commit(txn).map(outcome -> {
            if (outcome.executed()) {
                LOG.warn("record repaired key={}", key);
            }
            return null;
        });
    }
}
