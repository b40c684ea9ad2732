package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.DependentJobs;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.WireException;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Resolves job dependencies: looks up the final status of dependencies that are not among the open jobs, and cancels
 * the dependents of a cancelled job, with one small transaction each. After an interruption the next leader derives the
 * remaining cancellations from the final records. Bound to the node's event loop.
 */
final class DependencyTask {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyTask.class);
    private static final Span PERIOD = Span.seconds(0.1);
    private static final int MAX_READS_IN_FLIGHT = 4;
    private static final int MAX_WRITES_IN_FLIGHT = 4;
    /** Share of the state service's request rate that lookups may use. */
    private static final double READ_SHARE = 0.1;
    /** Delay before an open dependency is looked up again; the watch usually reports its completion earlier. */
    private static final Span OPEN_RETRY = Span.seconds(1);
    /**
     * Delay before a missing dependency is looked up again; a controller that remembers the job may restore its record.
     */
    private static final Span MISSING_RETRY = Span.seconds(5);

    private final LeaderWriteContext writes;
    private final NodeContext context;
    private final JobRecordLookup lookup;
    private final SchedulerCore core;
    private final DependentJobs dependentJobs;
    private final JobStore jobStore;
    private final RateLimiter readLimiter;
    private final PeriodicTask task;
    private final Set<JobId> readsInFlight = new HashSet<>();
    private final Set<JobId> writesInFlight = new HashSet<>();
    private final Map<JobId, Moment> nextLookupAt = new HashMap<>();

    DependencyTask(LeaderWriteContext writes, SchedulerCore core, JobStore jobStore) {
        this.writes = writes;
        this.context = writes.context();
        this.lookup = new JobRecordLookup(context.state());
        this.core = core;
        this.dependentJobs = core.dependentJobs();
        this.jobStore = jobStore;
        double readsPerS = context.config().stateLimits().requestsPerS() * READ_SHARE;
        this.readLimiter =
                new RateLimiter(Math.max(1, readsPerS), context.clock().now());
        this.task = new PeriodicTask(context.vertx(), "dependencies", PERIOD, this::step);
    }

    void start() {
        task.start();
    }

    void cancel() {
        task.cancel();
    }

    private Future<Span> step() {
        Moment now = context.clock().now();
        dependentJobs.advance(now, context.clock().timeOfDay());
        cancelDependents(now);
        lookUpDependencies(now);
        return Future.succeededFuture(PERIOD);
    }

    private void lookUpDependencies(Moment now) {
        nextLookupAt.keySet().retainAll(dependentJobs.jobsToLookUp());
        for (JobId id : Set.copyOf(dependentJobs.jobsToLookUp())) {
            if (readsInFlight.size() >= MAX_READS_IN_FLIGHT) {
                return;
            }
            if (readsInFlight.contains(id) || now.isBefore(nextLookupAt.getOrDefault(id, Moment.NEVER))) {
                continue;
            }
            if (!readLimiter.tryAcquire(1, now)) {
                return;
            }
            lookUp(id);
        }
    }

    private void lookUp(JobId id) {
        readsInFlight.add(id);
        read(id).onComplete(result -> {
            readsInFlight.remove(id);
            if (result.succeeded() && !task.isCancelled()) {
                onRead(id, result.result());
            }
        });
    }

    /** The state of a required job according to the job records. */
    private enum DependencyState {
        DONE,
        CANCELLED,
        OPEN,
        MISSING
    }

    private Future<DependencyState> read(JobId id) {
        return lookup.finalRecord(id)
                .compose(record -> record != null
                        ? Future.succeededFuture(stateOfFinished(id, record))
                        : readWithoutFinalRecord(id));
    }

    private Future<DependencyState> readWithoutFinalRecord(JobId id) {
        return lookup.openRecord(id)
                .compose(record ->
                        record != null ? Future.succeededFuture(stateOfOpen(id, record)) : confirmMissing(id));
    }

    private Future<DependencyState> confirmMissing(JobId id) {
        return lookup.confirmAbsent(id)
                .compose(absent -> absent
                        ? Future.succeededFuture(DependencyState.MISSING)
                        : Future.failedFuture(new WireException(JobRecordLookup.STALE_READ)));
    }

    private static DependencyState stateOfFinished(JobId id, StateClient.Entry record) {
        JobStatus status = JobRecordCodec.readFinal(id, record.value()).status();
        return status == JobStatus.DONE ? DependencyState.DONE : DependencyState.CANCELLED;
    }

    /** A job marked as done in its open record is final, like one with a final record. */
    private static DependencyState stateOfOpen(JobId id, StateClient.Entry record) {
        JobStatus status =
                JobRecordCodec.readJob(id, record.value(), record.revision()).status();
        return status == JobStatus.DONE ? DependencyState.DONE : DependencyState.OPEN;
    }

    private void onRead(JobId id, DependencyState state) {
        if (!dependentJobs.jobsToLookUp().contains(id)) {
            return;
        }
        Moment now = context.clock().now();
        switch (state) {
            case DONE -> dependentJobs.onJobDone(id);
            case CANCELLED -> {
                LOG.info("cancellation cascaded job={}", id);
                dependentJobs.onJobCancelled(id);
            }
            case OPEN -> nextLookupAt.put(id, now.plus(OPEN_RETRY));
            // The outcome is unknown, so the dependents wait until a record is found.
            case MISSING -> {
                LOG.error("dependency missing job={}", id);
                nextLookupAt.put(id, now.plus(MISSING_RETRY));
            }
        }
    }

    private void cancelDependents(Moment now) {
        for (JobId id : Set.copyOf(dependentJobs.jobsToCancel())) {
            if (writesInFlight.size() >= MAX_WRITES_IN_FLIGHT) {
                return;
            }
            Job job = core.job(id);
            if (job == null || writesInFlight.contains(id)) {
                continue;
            }
            StateClient.Txn txn = cancellation(job);
            if (!writes.limiter().tryAcquire(txn.size(), now)) {
                return;
            }
            writesInFlight.add(id);
            write(job, txn).onComplete(result -> writesInFlight.remove(id));
        }
    }

    private StateClient.Txn cancellation(Job job) {
        return writes.newTransaction()
                .when(RecordKeys.openKey(job.id()), job.revision())
                .delete(RecordKeys.openKey(job.id()))
                .put(RecordKeys.finalKey(job.id()), JobRecordCodec.writeFinal(JobStatus.CANCELLED, job.doneCount()));
    }

    private Future<Void> write(Job job, StateClient.Txn txn) {
        return context.state()
                .commit(txn)
                .compose(
                        outcome -> onResponse(job, outcome),
                        failure -> StateClient.wasNotExecuted(failure) ? Future.succeededFuture() : readOutcome(job));
    }

    private Future<Void> onResponse(Job job, StateClient.Outcome outcome) {
        if (task.isCancelled()) {
            return Future.succeededFuture();
        }
        if (outcome.executed()) {
            onCancelled(job.id());
            return Future.succeededFuture();
        }
        if (LeaderWriteContext.isDeposed(outcome)) {
            writes.onLeadershipLost();
            return Future.succeededFuture();
        }
        return readOutcome(job);
    }

    /** Reads the job's records after a write that was rejected or has an unknown outcome. */
    private Future<Void> readOutcome(Job job) {
        return lookup.openRecord(job.id()).compose(open -> {
            if (open == null) {
                return readFinalRecord(job.id());
            }
            core.onRevisionSeen(job, open.revision());
            return Future.succeededFuture();
        });
    }

    private Future<Void> readFinalRecord(JobId id) {
        return lookup.finalRecord(id).map(record -> {
            if (record != null
                    && !task.isCancelled()
                    && JobRecordCodec.readFinal(id, record.value()).status() == JobStatus.CANCELLED) {
                onCancelled(id);
            }
            return null;
        });
    }

    private void onCancelled(JobId id) {
        dependentJobs.onJobCancelled(id);
        jobStore.onCancelled(id);
    }
}
