package io.indigoreach.cluster;

import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.Fields;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.WireException;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's records: reads them when it takes over, and writes tasks' results, jobs' ends and machines. Every
 * write depends on the leadership key, and a job's also on the job's own key, which its user may cancel at any node.
 */
final class JobStore {
    private static final Logger LOG = LoggerFactory.getLogger(JobStore.class);
    private static final int PAGE = 500;
    private static final Span PERIOD = Span.seconds(0.1);
    /** Results of one job are gathered for this long; its end is written at once. */
    private static final Span PROGRESS_WRITE_PERIOD = Span.seconds(1);

    private static final int MAX_WRITES_IN_FLIGHT = 4;
    /** For how long a new leader mends records that it cannot read, before it goes on without the rest. */
    private static final Span REPAIR_TIME = Span.seconds(2);

    private static final int MAX_FINISHED_REMEMBERED = 10_000;

    /** A record without which nobody may lead: trying again is of no use before somebody has mended it. */
    static final class UnreadableRecordException extends RuntimeException {
        UnreadableRecordException(String key, WireException cause) {
            super("the record " + key + " cannot be read (" + cause.getMessage() + ")", cause, false, false);
        }
    }

    private final LeadershipTerm.Context context;
    private final SchedulerCore core;
    private final MachineStore machineStore;
    private final Revision leadershipRevision;
    private final Runnable onDeposed;
    private final RateLimiter writeLimiter;
    private final boolean startBoundsTrusted;
    private final CancellationHorizon horizon;
    /**
     * When this leadership had begun: no earlier leader has answered since. Counted from the reading's begin, machines that are
     * silent or deaf would hold the take-over up for as long as a slow state service takes, and anew with each reading that fails.
     */
    private final Moment termBeganAt;

    private final CompletionBlockStore completionBlocks;
    private final PeriodicTask writeTask;
    private final Set<Job> dirty = new LinkedHashSet<>();
    private final Set<JobId> writesInFlight = new HashSet<>();
    private final Map<JobId, Moment> lastWriteAt = new HashMap<>();
    /** Ends written into the open job's record, to be moved when there is room for it. */
    private final Map<JobId, Revision> finishedInOpenRecords = new LinkedHashMap<>();

    private final Map<JobId, JobStatus> recordedStatus = new HashMap<>();
    /** Open jobs whose records are longer than what the state service takes; each is said once. */
    private final Set<JobId> reportedTooLong = new HashSet<>();

    /** Open jobs that stand still, as nobody could read or mend their records. */
    private final Set<JobId> unreadable = new HashSet<>();
    /** Jobs that are over, also those that were never open here: a late change of theirs must not open them. */
    private final Map<JobId, RememberedState.FinishedJob> finished = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, RememberedState.FinishedJob> eldest) {
            return size() > MAX_FINISHED_REMEMBERED;
        }
    };

    /** {@code boundsKept}: every leader so far has kept to the jobs' start bounds. */
    JobStore(
            LeadershipTerm.Context context,
            SchedulerCore core,
            MachineStore machineStore,
            Revision leadershipRevision,
            Runnable onDeposed,
            RateLimiter writeLimiter,
            boolean startBoundsTrusted,
            CancellationHorizon horizon) {
        this.horizon = horizon;
        this.context = context;
        this.core = core;
        this.leadershipRevision = leadershipRevision;
        this.onDeposed = onDeposed;
        this.writeLimiter = writeLimiter;
        this.startBoundsTrusted = startBoundsTrusted;
        this.machineStore = machineStore;
        this.termBeganAt = context.clock().now();
        this.completionBlocks = new CompletionBlockStore(context, leadershipRevision, onDeposed, writeLimiter);
        this.writeTask = new PeriodicTask(context.vertx(), "ledger", PERIOD, this::step);
    }

    void start() {
        writeTask.start();
        completionBlocks.start();
    }

    void cancel() {
        writeTask.cancel();
        completionBlocks.cancel();
    }

    /** A job has something to be written. */
    void markDirty(Job job) {
        dirty.add(job);
    }

    /** Reads every open job and every machine; returns the revision to watch from. */
    Future<Long> load() {
        Map<JobId, BitSet> bits = new HashMap<>();
        List<StateClient.Entry> spoilt = new ArrayList<>();
        // From a reading that something failed after: a job that was cancelled since would never be heard of.
        core.forgetJobs();
        dirty.clear();
        recordedStatus.clear();
        completionBlocks.clear();
        // Blocks first: one that is written between the two readings would otherwise be newer than its job.
        return pages(RecordCodec.BITS, e -> readBlock(e, bits))
                .compose(r -> pages(CompletionBits.SMALL, e -> readBlock(e, bits)))
                .compose(r -> pages(RecordCodec.MACHINES, e -> {
                    List<MachineRecord> machines = RecordCodec.readMachines(e.value());
                    machineStore.inherit(e.key(), e.stamp(), machines);
                    for (MachineRecord m : machines) {
                        // Another node wrote this time, by a clock that may be off as far the other way as this one's.
                        Moment existed = toSteadyTime(m.existedMs())
                                .plus(context.config().maxClockError().times(2));
                        core.inheritMachine(m.id(), m.pool(), toSteadyTime(m.rentedMs()), existed, termBeganAt);
                    }
                }))
                .compose(r -> listOpen(e -> {
                    if (!readOrLog(
                            e.key(),
                            () -> inherit(
                                    RecordCodec.readJob(RecordCodec.jobOfOpenKey(e.key()), e.value(), e.stamp()),
                                    bits))) {
                        spoilt.add(e);
                    }
                }))
                .compose(revision -> repair(
                                spoilt.iterator(), bits, context.clock().now().plus(REPAIR_TIME))
                        .map(revision))
                .onSuccess(revision -> completionBlocks.loaded(
                        core.jobs().stream().map(Job::id).collect(Collectors.toSet())));
    }

    private void readBlock(StateClient.Entry block, Map<JobId, BitSet> bits) {
        readOrLog(block.key(), () -> {
            BitSet done = new BitSet();
            CompletionBits.readBlock(block.key(), block.value(), done);
            bits.computeIfAbsent(CompletionBits.jobOf(block.key()), k -> new BitSet())
                    .or(done);
            completionBlocks.inherit(block.key(), done);
        });
    }

    /** What was cancelled before it is asked for is not in it. */
    private Future<Long> listOpen(Consumer<StateClient.Entry> each) {
        Moment asked = context.clock().now();
        return pages(RecordCodec.OPEN, each).onSuccess(revision -> horizon.advanceTo(asked));
    }

    private void inherit(JobRecord record, Map<JobId, BitSet> bits) {
        add(record, bits.getOrDefault(record.id(), new BitSet()), true);
    }

    /**
     * Jobs whose records cannot be read, from what other controllers remember: before any order stops their tasks. Not for long,
     * as all others wait; a question about such a job mends it as well.
     */
    private Future<Void> repair(Iterator<StateClient.Entry> spoilt, Map<JobId, BitSet> bits, Moment until) {
        if (!spoilt.hasNext() || writeTask.isCancelled()) {
            return Future.succeededFuture();
        }
        StateClient.Entry entry = spoilt.next();
        if (!JobId.isValid(entry.key().substring(RecordCodec.OPEN.length()))) {
            return repair(spoilt, bits, until);
        }
        JobId id = RecordCodec.jobOfOpenKey(entry.key());
        unreadable.add(id);
        Future<Void> mended = context.clock().now().isBefore(until)
                ? context.repairer()
                        .repairOpen(id, entry, null)
                        .compose(v -> context.state().get(entry.key()))
                        .map(now -> {
                            if (now != null) {
                                inherit(RecordCodec.readJob(id, now.value(), now.stamp()), bits);
                            }
                            unreadable.remove(id);
                            return null;
                        })
                : Future.failedFuture(new WireException("others wait"));
        return mended.recover(e -> {
                    LOG.error(
                            "the job of the record {} is not served ({}) until its user asks and a controller remembers it, it is "
                                    + "submitted again, or the record is restored",
                            entry.key(),
                            e.getMessage());
                    return Future.succeededFuture();
                })
                .compose(v -> repair(spoilt, bits, until));
    }

    /**
     * One job's record that cannot be read keeps no other job from being served; false if it cannot. Of a block of bits that cannot,
     * the tasks are run again, which does no harm: their results are kept. A page of machines is another matter, as what it holds
     * may run tasks: then nobody leads.
     */
    static boolean readOrLog(String key, Runnable read) {
        try {
            read.run();
            return true;
        } catch (WireException e) {
            LOG.error(
                    "the record {} cannot be read ({}). Was it written by a newer version? Run that, or restore the record",
                    key,
                    e.getMessage());
            return false;
        }
    }

    /** Reads the open jobs once more after the watch has lost its place. */
    Future<Long> resynchronize() {
        Set<JobId> present = new HashSet<>();
        return pages(
                        RecordCodec.OPEN,
                        e -> readOrLog(e.key(), () -> {
                            JobId id = RecordCodec.jobOfOpenKey(e.key());
                            present.add(id);
                            onOpenRecordWritten(id, e.value(), e.stamp());
                        }))
                .map(revision -> {
                    for (Job job : new ArrayList<>(core.jobs())) {
                        if (!present.contains(job.id()) && job.revision().value() <= revision) {
                            onOpenRecordDeleted(job.id());
                        }
                    }
                    return revision;
                });
    }

    private Future<Long> pages(String prefix, Consumer<StateClient.Entry> each) {
        return pages(context.state(), leadershipRevision, prefix, each);
    }

    /** Every record with a prefix; the result is the revision to watch from. Nothing older than the leadership {@code key}. */
    static Future<Long> pages(StateClient state, Revision key, String prefix, Consumer<StateClient.Entry> each) {
        return page(state, key, prefix, null, -1, each);
    }

    private static Future<Long> page(
            StateClient state,
            Revision key,
            String prefix,
            String after,
            long first,
            Consumer<StateClient.Entry> each) {
        return state.list(prefix, after, PAGE).compose(page -> {
            if (page.revision() < key.value()) {
                // What an earlier leader recorded last could be missing: machines that hold tasks, above all.
                return Future.failedFuture(
                        new WireException("the state service lists what was there before this " + "leadership"));
            }
            for (StateClient.Entry item : page.items()) {
                try {
                    each.accept(item);
                } catch (WireException e) {
                    return Future.failedFuture(new UnreadableRecordException(item.key(), e));
                }
            }
            // The oldest page counts: the watch then tells whatever a page does not have yet.
            long revision = first < 0 ? page.revision() : Math.min(first, page.revision());
            if (page.more() && !page.items().isEmpty()) {
                return page(
                        state,
                        key,
                        prefix,
                        page.items().get(page.items().size() - 1).key(),
                        revision,
                        each);
            }
            return Future.succeededFuture(revision);
        });
    }

    private Moment toSteadyTime(long timeOfDay) {
        long ago = Math.max(0, context.clock().timeOfDay() - timeOfDay);
        return context.clock().now().minus(new Span(ago));
    }

    private void add(JobRecord record, BitSet beside, boolean inherited) {
        BitSet done = (BitSet) beside.clone();
        done.or(record.done());
        // An earlier leader may have run a version of the program that started tasks without raising their bounds.
        int bound = inherited && !startBoundsTrusted ? record.spec().tasks() : record.bound();
        Job job = new Job(
                record.spec(),
                record.submittedMs(),
                toSteadyTime(record.submittedMs()),
                record.stamp(),
                done,
                bound,
                inherited);
        core.addJob(job);
        recordedStatus.put(job.id(), record.status());
        if (job.isComplete()) {
            markDirty(job);
        }
    }

    /**
     * An open job's key was written: a new job, or one of this leader's own writes. What cannot be read must not keep the
     * leader from hearing the rest, cancellations above all. A job that is known here is written anew; one that could not be read
     * until now is taken for an earlier leader's, whose tasks may be anywhere.
     */
    void onOpenRecordWritten(JobId id, Fields value, Revision stamp) {
        Job job = core.job(id);
        if (job == null) {
            if (!finished.containsKey(id)) {
                boolean was = unreadable.contains(id);
                if (readOrLog(
                        RecordCodec.openKey(id), () -> add(RecordCodec.readJob(id, value, stamp), new BitSet(), was))) {
                    unreadable.remove(id);
                } else {
                    unreadable.add(id);
                }
                writeTask.wake();
            }
        } else {
            core.revisionSeen(job, stamp);
            if (!readOrLog(RecordCodec.openKey(id), () -> RecordCodec.readJob(id, value, stamp))) {
                markDirty(job);
            }
        }
    }

    /** An open job's key is gone: its user has cancelled it, unless this leader has just written its end. */
    void onOpenRecordDeleted(JobId id) {
        Job job = core.job(id);
        if (writeTask.isCancelled() || job == null || (writesInFlight.contains(id) && job.isComplete())) {
            horizon.settled(id);
            return;
        }
        if (job.isComplete()) {
            // The end was written and its answer lost, or the user cancelled first: the record tells.
            markDirty(job);
            horizon.settled(id);
            return;
        }
        horizon.recordGone(id);
        fateOf(id).onComplete(why -> {
            if (writeTask.isCancelled()) {
                return;
            }
            if (why.failed()) {
                // Until the state service says why, this job's tasks may run on although its user was told that it is
                // cancelled.
                context.vertx().setTimer(PERIOD.ms() * 5, t -> onOpenRecordDeleted(id));
                return;
            }
            if (core.job(id) == job) {
                switch (why.result()) {
                    case CANCELLED -> onCancelled(id);
                    case LOST -> context.state().recordGone(RecordCodec.openKey(id));
                    default -> {}
                }
            }
            horizon.settled(id);
        });
    }

    /** What became of an open job whose key was heard to be gone. */
    private enum Fate {
        CANCELLED,
        LOST,
        STILL_OPEN
    }

    /** Cancelled by its user, which leaves a record of its end, or lost; or what was heard is from before a loss was mended. */
    private Future<Fate> fateOf(JobId id) {
        return context.state()
                .get(RecordCodec.finalKey(id))
                .compose(over -> over != null
                        ? Future.succeededFuture(Fate.CANCELLED)
                        : context.state()
                                .get(RecordCodec.openKey(id))
                                .compose(open -> open != null
                                        ? Future.succeededFuture(Fate.STILL_OPEN)
                                        : context.state()
                                                .confirm(new StateClient.Txn()
                                                        .when(RecordCodec.openKey(id), Revision.ABSENT)
                                                        .when(RecordCodec.finalKey(id), Revision.ABSENT))
                                                .compose(nowhere -> nowhere
                                                        ? Future.succeededFuture(Fate.LOST)
                                                        : Future.failedFuture(
                                                                new WireException("a read came from the past")))));
    }

    /** The user of the job has cancelled it, by its record or by the word of a node that has told so: nothing undoes that. */
    void onCancelled(JobId id) {
        Job job = core.job(id);
        if (job != null) {
            LOG.info("job {} is cancelled", id);
            core.cancelJob(id);
            forget(job);
        } else {
            // Guards against its acceptance, which the watch may bring only now: it would open the job, and its end may
            // not be
            // readable for as long as an outage lasts.
            finished.putIfAbsent(id, new RememberedState.FinishedJob(JobStatus.CANCELLED, 0));
        }
    }

    /** Jobs that ended under this leader. */
    void addTo(RememberedState rememberedState) {
        finished.forEach(rememberedState::add);
    }

    void addTo(RememberedState rememberedState, JobId id) {
        if (finished.containsKey(id)) {
            rememberedState.add(id, finished.get(id));
        }
    }

    private void forget(Job job) {
        dirty.remove(job);
        recordedStatus.remove(job.id());
        lastWriteAt.remove(job.id());
        completionBlocks.jobEnded(job.id());
        reportedTooLong.remove(job.id());
        finished.put(
                job.id(),
                new RememberedState.FinishedJob(
                        job.isCancelled() ? JobStatus.CANCELLED : JobStatus.DONE, job.doneCount()));
    }

    private Future<Span> step() {
        Moment now = context.clock().now();
        for (Job job : core.jobs()) {
            if (job.status() != recordedStatus.get(job.id())) {
                dirty.add(job);
            }
        }
        List<Job> ends = dirty.stream().filter(Job::isComplete).toList();
        boolean crowded = ends.size() > MAX_WRITES_IN_FLIGHT;
        List<Job> ready = new ArrayList<>();
        interleave(ends, core.startBoundsToRaise(now), ready);
        for (Job job : dirty) {
            boolean gathered =
                    now.since(lastWriteAt.getOrDefault(job.id(), Moment.NEVER)).compareTo(PROGRESS_WRITE_PERIOD) >= 0;
            if (!job.isComplete() && !job.needsHigherStartBound() && gathered) {
                ready.add(job);
            }
        }
        for (Job job : ready) {
            if (writesInFlight.size() >= MAX_WRITES_IN_FLIGHT) {
                break;
            }
            if (writesInFlight.contains(job.id()) || isTooLongToWrite(job)) {
                continue;
            }
            StateClient.Txn txn = transaction(job, crowded);
            // Progress, which there is always more of, may not take what an end or a start is waiting for.
            if (!((job.isComplete() || job.needsHigherStartBound())
                    ? writeLimiter.take(txn.size(), now)
                    : writeLimiter.takeSpare(txn.size(), now))) {
                break;
            }
            write(job, txn, now);
        }
        if (!finishedInOpenRecords.isEmpty()
                && !crowded
                && writesInFlight.size() < MAX_WRITES_IN_FLIGHT
                && writeLimiter.takeSpare(2, now)) {
            moveFinished();
        }
        return Future.succeededFuture(PERIOD);
    }

    /**
     * Its record would be refused each time, and others would wait behind it: the tasks that may be ordered by its recorded bound go
     * on, and its end or cancellation, which are short, are written as ever.
     */
    private boolean isTooLongToWrite(Job job) {
        if (job.isComplete() || completionBlocks.canBeWritten(job)) {
            return false;
        }
        dirty.remove(job);
        if (reportedTooLong.add(job.id())) {
            LOG.error(
                    "the record {} is longer than the state service takes now: no further tasks of this job are started. Cancel it, and "
                            + "submit it with a shorter description",
                    RecordCodec.openKey(job.id()));
        }
        return true;
    }

    /** Two ends and a start bound in turn: in a flood of ends machines stood idle, as no job could be begun. */
    private static void interleave(List<Job> ends, List<Job> bounds, List<Job> into) {
        int b = 0;
        for (int e = 0; e < ends.size(); e++) {
            into.add(ends.get(e));
            if (e % 2 == 1 && b < bounds.size()) {
                into.add(bounds.get(b++));
            }
        }
        into.addAll(bounds.subList(b, bounds.size()));
    }

    /**
     * What is to be written of a job. An end moves the job to the jobs that are over, which are two changes; where many wait,
     * it is written into the open job's record first, by one, and moved later.
     */
    private StateClient.Txn transaction(Job job, boolean crowded) {
        JobId id = job.id();
        BitSet done = job.completedTasks();
        StateClient.Txn txn = new StateClient.Txn()
                .when(RecordCodec.LEADER, leadershipRevision)
                .when(RecordCodec.openKey(id), job.revision());
        // Without the bits, a later leader would not know from the open record that the job is over.
        if (job.isComplete() && !(crowded && completionBlocks.hasRoomInRecord(job))) {
            return txn.delete(RecordCodec.openKey(id))
                    .put(
                            RecordCodec.finalKey(id),
                            RecordCodec.writeFinal(JobStatus.DONE, job.spec().tasks()));
        }
        completionBlocks.addProgress(txn, job, done);
        return txn;
    }

    /** Moves one job whose end is written already. In vain if a later leader has done so, or whoever rebuilt. */
    private void moveFinished() {
        JobId id = finishedInOpenRecords.keySet().iterator().next();
        Revision stamp = finishedInOpenRecords.remove(id);
        RememberedState.FinishedJob end = finished.get(id);
        if (end == null) {
            return;
        }
        writesInFlight.add(id);
        context.state()
                .commit(new StateClient.Txn()
                        .when(RecordCodec.LEADER, leadershipRevision)
                        .when(RecordCodec.openKey(id), stamp)
                        .delete(RecordCodec.openKey(id))
                        .put(RecordCodec.finalKey(id), RecordCodec.writeFinal(end.status(), end.done())))
                .onComplete(result -> {
                    writesInFlight.remove(id);
                    if (!writeTask.isCancelled() && result.failed()) {
                        finishedInOpenRecords.put(id, stamp);
                    }
                });
    }

    private void write(Job job, StateClient.Txn txn, Moment now) {
        JobId id = job.id();
        BitSet done = job.completedTasks();
        boolean complete = job.isComplete();
        JobStatus status = job.status();
        int bound = job.startBoundToWrite();
        dirty.remove(job);
        writesInFlight.add(id);
        lastWriteAt.put(id, now);
        context.state().commit(txn).onComplete(result -> {
            writesInFlight.remove(id);
            if (writeTask.isCancelled()) {
                return;
            }
            if (result.failed()) {
                readOutcome(job, StateClient.surelyNotExecuted(result.cause()));
            } else if (result.result().done()) {
                if (complete) {
                    LOG.info("job {} is done", id);
                    core.closeJob(id);
                    forget(job);
                    if (txn.writes().stream().noneMatch(StateClient.Write::isDelete)) {
                        finishedInOpenRecords.put(id, result.result().stamp());
                    }
                } else {
                    core.revisionSeen(job, result.result().stamp());
                    job.completionsRecorded(completionBlocks.written(job, done));
                    job.startBoundRecorded(bound);
                    if (core.job(id) == job) {
                        // Else cancelled since, as its watch told before this answer came: it would be kept for ever.
                        recordedStatus.put(id, status);
                        if (completionBlocks.isBehind(job)) {
                            dirty.add(job);
                        }
                    }
                }
            } else if (result.result().failed().contains(RecordCodec.LEADER)) {
                onDeposed.run();
            } else {
                readOutcome(job, false);
            }
        });
    }

    /** After a write that failed or has an unknown outcome: reads how the job stands. */
    private void readOutcome(Job job, boolean refused) {
        JobId id = job.id();
        dirty.add(job);
        if (refused) {
            return;
        }
        writesInFlight.add(id);
        context.state()
                .get(RecordCodec.openKey(id))
                .compose(open -> {
                    if (open != null) {
                        core.revisionSeen(job, open.stamp());
                        return Future.succeededFuture();
                    }
                    return context.state().get(RecordCodec.finalKey(id)).compose(over -> {
                        if (over == null) {
                            return context.state()
                                    .confirm(new StateClient.Txn()
                                            .when(RecordCodec.openKey(id), Revision.ABSENT)
                                            .when(RecordCodec.finalKey(id), Revision.ABSENT))
                                    .onSuccess(gone -> {
                                        if (gone && !writeTask.isCancelled()) {
                                            context.state().recordGone(RecordCodec.openKey(id));
                                        }
                                    })
                                    .mapEmpty();
                        }
                        if (!writeTask.isCancelled()) {
                            JobStatus status =
                                    RecordCodec.readFinal(id, over.value()).status();
                            LOG.info("job {} is {}", id, status);
                            if (status == JobStatus.CANCELLED) {
                                core.cancelJob(id);
                            } else {
                                core.closeJob(id);
                            }
                            forget(job);
                        }
                        return Future.succeededFuture();
                    });
                })
                .onComplete(r -> writesInFlight.remove(id));
    }
}
