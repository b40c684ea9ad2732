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
 * What this process remembers of jobs: final statuses that it has seen, and jobs that it accepted and does not know to have
 * ended. Final statuses never change and are answered from here; after a data loss both serve as copies of lost records. Used on the event
 * loop only.
 */
final class JobCache {
    private static final int MAX_FINISHED = 20_000;
    private static final int MAX_ACCEPTED = 5_000;

    private final SteadyClock clock;
    private final ConfirmedCancellations confirmedCancellations;
    private final Map<JobId, FinalRecord> finished = BoundedMaps.withLimit(MAX_FINISHED);
    /** Accepted here and not known to have ended: after a data loss no other process may know of these. */
    private final Map<JobId, RememberedState.OpenJob> accepted = BoundedMaps.withLimit(MAX_ACCEPTED);

    JobCache(SteadyClock clock) {
        this.clock = clock;
        this.confirmedCancellations = new ConfirmedCancellations(clock.now());
    }

    /** The final record of the job, if this process has seen it. */
    Optional<FinalRecord> finished(JobId id) {
        return Optional.ofNullable(finished.get(id));
    }

    /** Whether this process has seen that the job is cancelled. */
    boolean isCancelled(JobId id) {
        FinalRecord record = finished.get(id);
        return record != null && record.status() == JobStatus.CANCELLED;
    }

    /** Whether this process has accepted the job or seen its final status. */
    boolean contains(JobId id) {
        return accepted.containsKey(id) || finished.containsKey(id);
    }

    /** Remembers a job that was accepted just now. */
    void addAccepted(JobSpec spec, long submittedMs) {
        accepted.put(spec.id(), new RememberedState.OpenJob(spec, submittedMs, new BitSet(), spec.taskCount()));
    }

    /** Remembers a final status, before any user is told. */
    FinalRecord addFinished(FinalRecord record) {
        if (record.status() == JobStatus.CANCELLED) {
            confirmedCancellations.add(record.id(), clock.now());
        }
        finished.put(record.id(), record);
        accepted.remove(record.id());
        return record;
    }

    /** The cancellations that this process has confirmed to users or is about to. */
    ConfirmedCancellations confirmedCancellations() {
        return confirmedCancellations;
    }

    /** What is remembered of one job. */
    RememberedState rememberedState(JobId id) {
        RememberedState remembered = new RememberedState();
        if (finished.containsKey(id)) {
            remembered.add(id, finishedJob(finished.get(id)));
        } else if (accepted.containsKey(id)) {
            remembered.add(accepted.get(id));
        }
        return remembered;
    }

    /** What is remembered of all jobs. */
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
