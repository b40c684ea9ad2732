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
 * Writes a job's record that cannot be read anew, from what the controllers remember of the job and what its user submits again
 * ({@link RecordRepair}). Any node may: each write is conditional on the version that cannot be read, so of two only one is done, and
 * nothing newer is overwritten.
 */
public final class JobRepairer {
    private static final Logger LOG = LoggerFactory.getLogger(JobRepairer.class);

    private final StateClient state;
    private final SteadyClock clock;
    private final StateLimits limits;
    private Function<JobId, Future<RememberedState>> recall = id -> Future.succeededFuture(new RememberedState());

    /** Without limits from the settings. */
    public JobRepairer(StateClient state, SteadyClock clock) {
        this(state, clock, EffectiveLimits.NONE);
    }

    /** {@code limits}: those of the settings. */
    public JobRepairer(StateClient state, SteadyClock clock, StateLimits limits) {
        this.state = state;
        this.clock = clock;
        this.limits = limits;
    }

    /** How to ask what the controllers remember of a job. */
    public void recallFrom(Function<JobId, Future<RememberedState>> controllers) {
        recall = controllers;
    }

    /**
     * Repairs an open job's record, or moves the job to those that are over. Succeeds also if somebody else has changed it: it is
     * to be read again in any case. Fails if nobody knows the job.
     *
     * @param offered the job as its user submits it again, or null
     */
    public Future<Void> repairOpen(JobId id, StateClient.Entry unreadable, JobSpec offered) {
        return recall.apply(id).compose(remembered -> {
            RememberedState known = RecordRepair.repairOpen(
                    id, JobRecordCodec.readRest(unreadable.value()), remembered, offered, clock.timeOfDay());
            StateClient.Txn txn = state.transactionInEra()
                    .when(unreadable.key(), unreadable.revision())
                    .when(RecordKeys.finalKey(id), Revision.ABSENT);
            known.finishedJobs()
                    .values()
                    .forEach(end -> txn.delete(unreadable.key())
                            .put(
                                    RecordKeys.finalKey(id),
                                    JobRecordCodec.writeFinal(end.status(), end.completedTaskCount())));
            // Blocks of bits that stand beside the record are left as they are: what they say is done stays so. What
            // has no
            // place in the record either is run again and ends at once.
            CompletionBits bits = new CompletionBits(state.limits().within(limits));
            known.openJobs()
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

    /** Repairs the record of a job that is over; as {@link #repairOpen}. */
    public Future<Void> repairFinal(JobId id, StateClient.Entry unreadable, JobSpec offered) {
        return recall.apply(id).compose(remembered -> {
            RememberedState.FinishedJob end =
                    RecordRepair.repairFinal(id, JobRecordCodec.readRest(unreadable.value()), remembered, offered);
            StateClient.Txn txn = state.transactionInEra().when(unreadable.key(), unreadable.revision());
            return writeRepair(
                    end == null
                            ? txn
                            : txn.put(
                                    unreadable.key(),
                                    JobRecordCodec.writeFinal(end.status(), end.completedTaskCount())),
                    unreadable.key());
        });
    }

    private Future<Void> writeRepair(StateClient.Txn txn, String key) {
        if (txn.size() == 0) {
            return Future.failedFuture(
                    new WireException("the record " + key + " cannot be read, and nobody remembers the job"));
        }
        return state.commit(txn).map(outcome -> {
            if (outcome.done()) {
                LOG.warn("record repaired key={}", key);
            }
            return null;
        });
    }
}
