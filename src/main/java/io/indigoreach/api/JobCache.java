package io.indigoreach.api;

import io.indigoreach.core.leadership.ConfirmedCancellations;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.FinalRecord;
import java.util.BitSet;
import java.util.Map;
import java.util.Optional;

/**
 * Caches the final records that this process has seen, and the jobs that it accepted and that have not ended as far as it knows.
 * A final status never changes, so it is served from this cache. After a data loss of the state service, lost records are
 * restored from both. Used on the event loop only.
 */
final class JobCache {
    private static final int MAX_FINISHED = 20_000;
    private static final int MAX_ACCEPTED = 5_000;

    private final SteadyClock clock;
    private final ConfirmedCancellations confirmedCancellations;
    private final Map<JobId, FinalRecord> finished = BoundedMaps.withLimit(MAX_FINISHED);
    /**
     * Jobs that this process accepted and that have not ended as far as it knows. After a data loss, this may be the
     * only copy of their records.
     */
    private final Map<JobId, RememberedState.OpenJob> accepted = BoundedMaps.withLimit(MAX_ACCEPTED);

    JobCache(SteadyClock clock) {
        this.clock = clock;
        this.confirmedCancellations = new ConfirmedCancellations(clock.now());
    }

    /** Returns the final record of the job if this process has seen it. */
    Optional<FinalRecord> finished(JobId id) {
        return Optional.ofNullable(finished.get(id));
    }

    /** Returns whether this process has seen that the job is cancelled. */
    boolean isCancelled(JobId id) {
        FinalRecord record = finished.get(id);
        return record != null && record.status() == JobStatus.CANCELLED;
    }

    /** Returns whether this process has accepted the job or seen its final status. */
    boolean contains(JobId id) {
        return accepted.containsKey(id) || finished.containsKey(id);
    }

    /** Adds a job that was just accepted. */
    void addAccepted(JobSpec spec, long submittedMs) {
        accepted.put(spec.id(), new RememberedState.OpenJob(spec, submittedMs, new BitSet(), spec.taskCount()));
    }

    /** Adds a final record. Called before the final status is sent to any user. */
    FinalRecord addFinished(FinalRecord record) {
        if (record.status() == JobStatus.CANCELLED) {
            confirmedCancellations.add(record.id(), clock.now());
        }
        finished.put(record.id(), record);
        accepted.remove(record.id());
        return record;
    }

    /** Returns the cancellations that this process has confirmed or is about to confirm to users. */
    ConfirmedCancellations confirmedCancellations() {
        return confirmedCancellations;
    }

    /** Returns the cached state of one job. */
    RememberedState rememberedState(JobId id) {
        RememberedState remembered = new RememberedState();
        if (finished.containsKey(id)) {
            remembered.add(id, finishedJob(finished.get(id)));
        } else if (accepted.containsKey(id)) {
            remembered.add(accepted.get(id));
        }
        return remembered;
    }

    /** Returns the cached state of all jobs. */
    RememberedState rememberedState() {
        RememberedState remembered = new RememberedState();
        finished.values().forEach(record -> remembered.add(record.id(), finishedJob(record)));
        accepted.values().forEach(remembered::add);
        return remembered;
    }

    private static RememberedState.FinishedJob finishedJob(FinalRecord record) {
        return new RememberedState.FinishedJob(record.status(), record.done());
    }
}
