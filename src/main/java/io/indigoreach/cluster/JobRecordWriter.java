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
 * Writes the records of open jobs: progress, start bounds and completions. Each write is conditional on the leadership key and on
 * the revision of the job's own record, which its user may delete at any node by cancelling. Bound to the node's event loop.
 */
final class JobRecordWriter {
    private static final Logger LOG = LoggerFactory.getLogger(JobRecordWriter.class);
    private static final Span PERIOD = Span.seconds(0.1);
    /** Progress of one job is collected for this long; its completion is written at once. */
    private static final Span PROGRESS_WRITE_PERIOD = Span.seconds(1);

    private static final int MAX_WRITES_IN_FLIGHT = 4;
    /** Changes of the transaction that moves a completed job to its final record. */
    private static final int MOVE_SIZE = 2;

    private final LeaderWrites writes;
    private final StateClient state;
    private final JobRecordLookup lookup;
    private final SchedulerCore core;
    private final CompletionBlockStore completionBlocks;
    private final FinishedJobs finishedJobs;
    private final PeriodicTask writeTask;
    private final Set<Job> dirty = new LinkedHashSet<>();
    private final Set<JobId> writesInFlight = new HashSet<>();
    private final Map<JobId, Moment> lastWriteAt = new HashMap<>();
    /** Completions that were written to the open job's record, which is to be moved when there is room for it. */
    private final Map<JobId, Revision> finishedInOpenRecords = new LinkedHashMap<>();

    private final Map<JobId, JobStatus> recordedStatus = new HashMap<>();
    /** Open jobs whose records exceed the limits of the state service and that were logged. */
    private final Set<JobId> reportedTooLong = new HashSet<>();

    JobRecordWriter(
            LeaderWrites writes, SchedulerCore core, CompletionBlockStore completionBlocks, FinishedJobs finishedJobs) {
        this.writes = writes;
        this.state = writes.context().state();
        this.lookup = new JobRecordLookup(state);
        this.core = core;
        this.completionBlocks = completionBlocks;
        this.finishedJobs = finishedJobs;
        this.writeTask = new PeriodicTask(writes.context().vertx(), "job records", PERIOD, this::step);
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

    /** Looks for due writes now, or right after the current step. */
    void wake() {
        writeTask.wake();
    }

    /** Forgets what is to be written, before the records are loaded. */
    void clear() {
        dirty.clear();
        recordedStatus.clear();
    }

    /** A job whose record was read, with the status in it. */
    void jobAdded(Job job, JobStatus status) {
        recordedStatus.put(job.id(), status);
        if (job.isComplete()) {
            markDirty(job);
        }
    }

    /** The record of the job is to be written. */
    void markDirty(Job job) {
        dirty.add(job);
    }

    boolean isWriting(JobId id) {
        return writesInFlight.contains(id);
    }

    /** The job is over: nothing is written of it any more, except the move to its final record. */
    void jobFinished(Job job) {
        dirty.remove(job);
        recordedStatus.remove(job.id());
        lastWriteAt.remove(job.id());
        completionBlocks.jobEnded(job.id());
        reportedTooLong.remove(job.id());
        finishedJobs.add(job);
    }

    private Future<Span> step() {
        Moment now = writes.context().clock().now();
        markChangedStatuses();
        List<Job> completed = dirty.stream().filter(Job::isComplete).toList();
        boolean crowded = completed.size() > MAX_WRITES_IN_FLIGHT;
        List<Job> due = interleave(completed, core.startBoundsToRaise(now));
        due.addAll(progressDue(now));
        writeDue(due, crowded, now);
        if (!finishedInOpenRecords.isEmpty()
                && !crowded
                && writesInFlight.size() < MAX_WRITES_IN_FLIGHT
                && writes.limiter().tryAcquireSpare(MOVE_SIZE, now)) {
            moveFinished();
        }
        return Future.succeededFuture(PERIOD);
    }

    private void markChangedStatuses() {
        for (Job job : core.jobs()) {
            if (job.status() != recordedStatus.get(job.id())) {
                dirty.add(job);
            }
        }
    }

    /**
     * Two completions and one start bound in turn. If all completions went first, machines would be idle during a burst of them, as
     * no job could start.
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

    private List<Job> progressDue(Moment now) {
        return dirty.stream()
                .filter(job -> !isUrgent(job) && isProgressDue(job, now))
                .toList();
    }

    private boolean isProgressDue(Job job, Moment now) {
        Moment last = lastWriteAt.getOrDefault(job.id(), Moment.NEVER);
        return now.since(last).compareTo(PROGRESS_WRITE_PERIOD) >= 0;
    }

    private static boolean isUrgent(Job job) {
        return job.isComplete() || job.needsHigherStartBound();
    }

    private void writeDue(List<Job> due, boolean crowded, Moment now) {
        for (Job job : due) {
            if (writesInFlight.size() >= MAX_WRITES_IN_FLIGHT) {
                return;
            }
            if (writesInFlight.contains(job.id()) || isTooLongToWrite(job)) {
                continue;
            }
            StateClient.Txn txn = transaction(job, crowded);
            if (!takeBudget(job, txn, now)) {
                return;
            }
            write(job, txn, now);
        }
    }

    /** Progress, of which there is always more, may not use what a completion or a start needs. */
    private boolean takeBudget(Job job, StateClient.Txn txn, Moment now) {
        return isUrgent(job)
                ? writes.limiter().tryAcquire(txn.size(), now)
                : writes.limiter().tryAcquireSpare(txn.size(), now);
    }

    /**
     * The state service would reject the record each time, and others would wait behind it. Tasks within the recorded start bound
     * continue, and the completion or cancellation, which are short, are written as usual.
     */
    private boolean isTooLongToWrite(Job job) {
        if (job.isComplete() || completionBlocks.canBeWritten(job)) {
            return false;
        }
        dirty.remove(job);
        if (reportedTooLong.add(job.id())) {
            LOG.error("record too large key={} job={}", RecordKeys.openKey(job.id()), job.id());
        }
        return true;
    }

    /**
     * The write that is due for a job. A completion moves the job to the final records, which takes two changes; if many wait, it
     * is first written to the open record by one change, and moved later.
     */
    private StateClient.Txn transaction(Job job, boolean crowded) {
        JobId id = job.id();
        StateClient.Txn txn = writes.newTransaction().when(RecordKeys.openKey(id), job.revision());
        // Without the bits, a later leader would not know from the open record that the job is over.
        if (job.isComplete() && !(crowded && completionBlocks.hasRoomInRecord(job))) {
            return moveToFinal(txn, id, JobStatus.DONE, job.spec().tasks());
        }
        completionBlocks.addProgress(txn, job, job.completedTasks());
        return txn;
    }

    private static StateClient.Txn moveToFinal(StateClient.Txn txn, JobId id, JobStatus status, int completedTasks) {
        return txn.delete(RecordKeys.openKey(id))
                .put(RecordKeys.finalKey(id), JobRecordCodec.writeFinal(status, completedTasks));
    }

    /** Moves one job whose completion is in its open record. Rejected if a later leader or a rebuild has already done so. */
    private void moveFinished() {
        JobId id = finishedInOpenRecords.keySet().iterator().next();
        Revision revision = finishedInOpenRecords.remove(id);
        RememberedState.FinishedJob finished = finishedJobs.get(id);
        if (finished == null) {
            return;
        }
        writesInFlight.add(id);
        StateClient.Txn txn = writes.newTransaction().when(RecordKeys.openKey(id), revision);
        state.commit(moveToFinal(txn, id, finished.status(), finished.done())).onComplete(result -> {
            writesInFlight.remove(id);
            if (!isCancelled() && result.failed()) {
                finishedInOpenRecords.put(id, revision);
            }
        });
    }

    /** The state of a job when its write was sent, which may have changed by the time of the response. */
    private record SentWrite(
            Job job, StateClient.Txn txn, BitSet completedTasks, boolean complete, JobStatus status, int startBound) {
        static SentWrite of(Job job, StateClient.Txn txn) {
            return new SentWrite(
                    job, txn, job.completedTasks(), job.isComplete(), job.status(), job.startBoundToWrite());
        }

        /** Whether the completion went to the open record, which is still to be moved. */
        boolean keepsOpenRecord() {
            return txn.writes().stream().noneMatch(StateClient.Write::isDelete);
        }
    }

    private void write(Job job, StateClient.Txn txn, Moment now) {
        SentWrite sent = SentWrite.of(job, txn);
        dirty.remove(job);
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
                dirty.add(job);
                if (!StateClient.surelyNotExecuted(result.cause())) {
                    readOutcome(job);
                }
            }
        });
    }

    private void onResponse(SentWrite sent, StateClient.Outcome outcome) {
        if (outcome.done()) {
            if (sent.complete()) {
                onCompletionWritten(sent, outcome.writtenRevision());
            } else {
                onProgressWritten(sent, outcome.writtenRevision());
            }
        } else if (LeaderWrites.isDeposed(outcome)) {
            writes.deposed();
        } else {
            dirty.add(sent.job());
            readOutcome(sent.job());
        }
    }

    private void onCompletionWritten(SentWrite sent, Revision revision) {
        JobId id = sent.job().id();
        LOG.info("job completed job={}", id);
        core.closeJob(id);
        jobFinished(sent.job());
        if (sent.keepsOpenRecord()) {
            finishedInOpenRecords.put(id, revision);
        }
    }

    private void onProgressWritten(SentWrite sent, Revision revision) {
        Job job = sent.job();
        core.revisionSeen(job, revision);
        job.completionsRecorded(completionBlocks.written(job, sent.completedTasks()));
        job.startBoundRecorded(sent.startBound());
        // A job that was cancelled before this response must not be remembered, as nothing would remove it again.
        if (core.job(job.id()) == job) {
            recordedStatus.put(job.id(), sent.status());
            if (completionBlocks.isBehind(job)) {
                dirty.add(job);
            }
        }
    }

    /** Reads the job's records after a write that was rejected or has an unknown outcome. */
    private void readOutcome(Job job) {
        writesInFlight.add(job.id());
        lookup.openRecord(job.id())
                .compose(open -> {
                    if (open == null) {
                        return readFinalRecord(job);
                    }
                    core.revisionSeen(job, open.revision());
                    return Future.succeededFuture();
                })
                .onComplete(result -> writesInFlight.remove(job.id()));
    }

    private Future<Void> readFinalRecord(Job job) {
        return lookup.finalRecord(job.id()).compose(record -> {
            if (record == null) {
                return reportIfAbsent(job.id());
            }
            if (!isCancelled()) {
                onFinalRecord(
                        job, JobRecordCodec.readFinal(job.id(), record.value()).status());
            }
            return Future.succeededFuture();
        });
    }

    private Future<Void> reportIfAbsent(JobId id) {
        return lookup.confirmAbsent(id)
                .onSuccess(absent -> {
                    if (absent && !isCancelled()) {
                        state.recordMissing(RecordKeys.openKey(id));
                    }
                })
                .mapEmpty();
    }

    private void onFinalRecord(Job job, JobStatus status) {
        LOG.info("job status changed job={} status={}", job.id(), status);
        if (status == JobStatus.CANCELLED) {
            core.cancelJob(job.id());
        } else {
            core.closeJob(job.id());
        }
        jobFinished(job);
    }
}
