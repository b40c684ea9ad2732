package io.indigoreach.cluster;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the records of open jobs: progress, start bounds and completions. Each write is conditional on the leadership key and
 * on the revision of the job's record, as a user may cancel the job through any node, which deletes the record. Bound to the
 * node's event loop.
 */
final class JobRecordWriter {
    private static final Logger LOG = LoggerFactory.getLogger(JobRecordWriter.class);
    private static final Span STEP_PERIOD = Span.seconds(0.1);
    /** Minimum interval between progress writes of one job; its completion is written immediately. */
    private static final Span PROGRESS_WRITE_PERIOD = Span.seconds(1);

    private static final int MAX_WRITES_IN_FLIGHT = 4;
    /** Number of changes in the transaction that moves a completed job to its final record. */
    private static final int MOVE_OPERATIONS = 2;

    private final LeaderWriteContext writes;
    private final StateClient state;
    private final JobRecordLookup lookup;
    private final SchedulerCore core;
    private final CompletionBlockStore completionBlocks;
    private final FinishedJobs finishedJobs;
    private final PeriodicTask writeTask;
    private final Set<Job> dirtyJobs = new LinkedHashSet<>();
    private final Set<JobId> writesInFlight = new HashSet<>();
    private final Map<JobId, Moment> lastWriteAt = new HashMap<>();
    /** Jobs whose completion must still be moved from the open record to a final record, with the open record's revision. */
    private final Map<JobId, Revision> completedJobsToMove = new LinkedHashMap<>();

    private final Map<JobId, JobStatus> recordedStatus = new HashMap<>();
    /** Open jobs whose records exceed the limits of the state service and for which this was already logged. */
    private final Set<JobId> loggedAsTooLarge = new HashSet<>();

    JobRecordWriter(
            LeaderWriteContext writes,
            SchedulerCore core,
            CompletionBlockStore completionBlocks,
            FinishedJobs finishedJobs) {
        this.writes = writes;
        this.state = writes.context().state();
        this.lookup = new JobRecordLookup(state);
        this.core = core;
        this.completionBlocks = completionBlocks;
        this.finishedJobs = finishedJobs;
        this.writeTask = new PeriodicTask(writes.context().vertx(), "job records", STEP_PERIOD, this::step);
    }

    void start() {
        writeTask.start();
    }

    void cancel() {
        writeTask.cancel();
    }

    boolean isCancelled() {
        return writeTask.isCancelled();
    }

    /** Starts the next step immediately, or right after the current one. */
    void wake() {
        writeTask.wake();
    }

    /** Clears pending writes before the records are loaded. */
    void clear() {
        dirtyJobs.clear();
        recordedStatus.clear();
    }

    /**
     * Handles a job that was added from its record.
     *
     * @param status the status in the record
     */
    void onJobAdded(Job job, JobStatus status) {
        recordedStatus.put(job.id(), status);
        if (job.isComplete()) {
            markDirty(job);
        }
    }

    /** Schedules a write of the job's record. */
    void markDirty(Job job) {
        dirtyJobs.add(job);
    }

    boolean hasWriteInFlight(JobId id) {
        return writesInFlight.contains(id);
    }

    /** Handles the end of a job. Only the move to its final record may still be written. */
    void onJobFinished(Job job) {
        dirtyJobs.remove(job);
        recordedStatus.remove(job.id());
        lastWriteAt.remove(job.id());
        completionBlocks.onJobFinished(job.id());
        loggedAsTooLarge.remove(job.id());
        finishedJobs.add(job);
    }

    private Future<Span> step() {
        Moment now = writes.context().clock().now();
        markChangedStatuses();
        List<Job> completed = dirtyJobs.stream().filter(Job::isComplete).toList();
        boolean manyCompletions = completed.size() > MAX_WRITES_IN_FLIGHT;
        List<Job> dueJobs = interleave(completed, core.startBoundsToRaise(now));
        dueJobs.addAll(findJobsWithDueProgress(now));
        writeDueRecords(dueJobs, manyCompletions, now);
        if (!completedJobsToMove.isEmpty()
                && !manyCompletions
                && writesInFlight.size() < MAX_WRITES_IN_FLIGHT
                && writes.limiter().tryAcquireSpare(MOVE_OPERATIONS, now)) {
            moveNextCompletedJob();
        }
        return Future.succeededFuture(STEP_PERIOD);
    }

    private void markChangedStatuses() {
        for (Job job : core.jobs()) {
            if (job.status() != recordedStatus.get(job.id())) {
                dirtyJobs.add(job);
            }
        }
    }

    /**
     * Alternates between two completions and one start bound. If all completions were written first, no job could start during
     * a burst of completions, and machines would be idle.
     */
    private static List<Job> interleave(List<Job> completed, List<Job> startBounds) {
        List<Job> order = new ArrayList<>();
        int nextBound = 0;
        for (int index = 0; index < completed.size(); index++) {
            order.add(completed.get(index));
            if (index % 2 == 1 && nextBound < startBounds.size()) {
                order.add(startBounds.get(nextBound++));
            }
        }
        order.addAll(startBounds.subList(nextBound, startBounds.size()));
        return order;
    }

    private List<Job> findJobsWithDueProgress(Moment now) {
        return dirtyJobs.stream()
                .filter(job -> !isUrgent(job) && isProgressDue(job, now))
                .toList();
    }

    private boolean isProgressDue(Job job, Moment now) {
        Moment lastWrite = lastWriteAt.getOrDefault(job.id(), Moment.NEVER);
        return now.since(lastWrite).compareTo(PROGRESS_WRITE_PERIOD) >= 0;
    }

    private static boolean isUrgent(Job job) {
        return job.isComplete() || job.needsHigherStartBound();
    }

    private void writeDueRecords(List<Job> dueJobs, boolean manyCompletions, Moment now) {
        for (Job job : dueJobs) {
            if (writesInFlight.size() >= MAX_WRITES_IN_FLIGHT) {
                return;
            }
            if (writesInFlight.contains(job.id()) || isTooLargeToWrite(job)) {
                continue;
            }
            StateClient.Txn txn = createTransaction(job, manyCompletions);
            if (!takeWriteRate(job, txn, now)) {
                return;
            }
            sendWrite(job, txn, now);
        }
    }

    /** Reserves write rate. Progress writes, which never end, may only use rate that completions and starts do not need. */
    private boolean takeWriteRate(Job job, StateClient.Txn txn, Moment now) {
        return isUrgent(job)
                ? writes.limiter().tryAcquire(txn.size(), now)
                : writes.limiter().tryAcquireSpare(txn.size(), now);
    }

    /**
     * Returns whether the state service would reject the job's record for its size. Such a record is not written, as its
     * repeated rejection would delay other jobs. Tasks within the recorded start bound continue to run. The completion and the
     * cancellation are short and are written as usual.
     */
    private boolean isTooLargeToWrite(Job job) {
        if (job.isComplete() || completionBlocks.isJobRecordWritable(job)) {
            return false;
        }
        dirtyJobs.remove(job);
        if (loggedAsTooLarge.add(job.id())) {
            LOG.error("record too large key={} job={}", RecordKeys.openKey(job.id()), job.id());
        }
        return true;
    }

    /**
     * Creates the transaction that is due for a job. A completion moves the job to the final records, which takes two changes.
     * If many completions wait, the completion is first written to the open record, which takes one change, and moved later.
     */
    private StateClient.Txn createTransaction(Job job, boolean manyCompletions) {
        JobId id = job.id();
        StateClient.Txn txn = writes.newTransaction().when(RecordKeys.openKey(id), job.revision());
        // A complete job is moved to its final record, unless there are many completions and its completion bits fit
        // into the open record. Without these bits, a later leader could not see that the job is complete.
        if (job.isComplete() && !(manyCompletions && completionBlocks.fitsInJobRecord(job))) {
            return addMoveToFinalRecord(txn, id, JobStatus.DONE, job.spec().taskCount());
        }
        completionBlocks.addProgress(txn, job, job.completedTasks());
        return txn;
    }

    private static StateClient.Txn addMoveToFinalRecord(
            StateClient.Txn txn, JobId id, JobStatus status, int completedTasks) {
        return txn.delete(RecordKeys.openKey(id))
                .put(RecordKeys.finalKey(id), JobRecordCodec.writeFinal(status, completedTasks));
    }

    /**
     * Moves one completed job to its final record. The write is rejected if a later leader or a rebuild has already moved it.
     */
    private void moveNextCompletedJob() {
        JobId id = completedJobsToMove.keySet().iterator().next();
        Revision revision = completedJobsToMove.remove(id);
        RememberedState.FinishedJob finished = finishedJobs.get(id);
        if (finished == null) {
            return;
        }
        writesInFlight.add(id);
        StateClient.Txn txn = writes.newTransaction().when(RecordKeys.openKey(id), revision);
        state.commit(addMoveToFinalRecord(txn, id, finished.status(), finished.completedTaskCount()))
                .onComplete(result -> {
                    writesInFlight.remove(id);
                    if (!isCancelled() && result.failed()) {
                        completedJobsToMove.put(id, revision);
                    }
                });
    }

    /** The state of a job when its write was sent; the job may have changed when the response arrives. */
    private record SentWrite(
            Job job, StateClient.Txn txn, BitSet completedTasks, boolean complete, JobStatus status, int startBound) {
        static SentWrite of(Job job, StateClient.Txn txn) {
            return new SentWrite(
                    job, txn, job.completedTasks(), job.isComplete(), job.status(), job.startBoundToWrite());
        }

        /** Returns whether the completion was written to the open record, which must still be moved. */
        boolean leavesOpenRecord() {
            return txn.writes().stream().noneMatch(StateClient.Write::isDelete);
        }
    }

    private void sendWrite(Job job, StateClient.Txn txn, Moment now) {
        SentWrite sent = SentWrite.of(job, txn);
        dirtyJobs.remove(job);
        writesInFlight.add(job.id());
        lastWriteAt.put(job.id(), now);
        state.commit(txn).onComplete(result -> {
            writesInFlight.remove(job.id());
            if (isCancelled()) {
                return;
            }
            if (result.succeeded()) {
                onResponse(sent, result.result());
            } else {
                dirtyJobs.add(job);
                if (!StateClient.wasNotExecuted(result.cause())) {
                    readCurrentRecords(job);
                }
            }
        });
    }

    private void onResponse(SentWrite sent, StateClient.Outcome outcome) {
        if (outcome.executed()) {
            if (sent.complete()) {
                onCompletionWritten(sent, outcome.writtenRevision());
            } else {
                onProgressWritten(sent, outcome.writtenRevision());
            }
        } else if (LeaderWriteContext.isDeposed(outcome)) {
            writes.onLeadershipLost();
        } else {
            dirtyJobs.add(sent.job());
            readCurrentRecords(sent.job());
        }
    }

    private void onCompletionWritten(SentWrite sent, Revision revision) {
        JobId id = sent.job().id();
        LOG.info("job completed job={}", id);
        core.closeJob(id);
        onJobFinished(sent.job());
        if (sent.leavesOpenRecord()) {
            completedJobsToMove.put(id, revision);
        }
    }

    private void onProgressWritten(SentWrite sent, Revision revision) {
        Job job = sent.job();
        core.onRevisionSeen(job, revision);
        job.completionsRecorded(completionBlocks.onProgressWritten(job, sent.completedTasks()));
        job.startBoundRecorded(sent.startBound());
        // The entry of a job that was cancelled before this response would never be removed.
        if (core.job(job.id()) == job) {
            recordedStatus.put(job.id(), sent.status());
            if (completionBlocks.hasUnwrittenCompletions(job)) {
                dirtyJobs.add(job);
            }
        }
    }

    /** Reads the job's records after a write was rejected or had an unknown outcome. */
    private void readCurrentRecords(Job job) {
        writesInFlight.add(job.id());
        lookup.openRecord(job.id())
                .compose(open -> {
                    if (open == null) {
                        return readFinalRecord(job);
                    }
                    core.onRevisionSeen(job, open.revision());
                    return Future.succeededFuture();
                })
                .onComplete(result -> writesInFlight.remove(job.id()));
    }

    private Future<Void> readFinalRecord(Job job) {
        return lookup.finalRecord(job.id()).compose(record -> {
            if (record == null) {
                return reportLossIfAbsent(job.id());
            }
            if (!isCancelled()) {
                onFinalRecordRead(
                        job, JobRecordCodec.readFinal(job.id(), record.value()).status());
            }
            return Future.succeededFuture();
        });
    }

    private Future<Void> reportLossIfAbsent(JobId id) {
        return lookup.confirmAbsent(id)
                .onSuccess(absent -> {
                    if (absent && !isCancelled()) {
                        state.reportMissingRecord(RecordKeys.openKey(id));
                    }
                })
                .mapEmpty();
    }

    private void onFinalRecordRead(Job job, JobStatus status) {
        LOG.info("job status changed job={} status={}", job.id(), status);
        if (status == JobStatus.CANCELLED) {
            core.cancelJob(job.id());
        } else {
            core.closeJob(job.id());
        }
        onJobFinished(job);
    }
}
