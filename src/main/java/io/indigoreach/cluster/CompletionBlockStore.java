package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The blocks of done tasks that stand beside open jobs' records. Each write of blocks goes with the job's record, whose version it
 * changes: carried out late it fails, and takes no newer block back. Blocks of a job that is over are of no use and do no harm,
 * so its end is one short transaction and they are removed afterwards, a few at a time; whoever leads next goes on with that.
 */
final class CompletionBlockStore {
    private static final Span PERIOD = Span.seconds(0.5);

    /** What stands beside one job's record. */
    private static final class JobBlocks {
        final BitSet done = new BitSet();
        final Set<String> keys = new TreeSet<>();
        /** The blocks of the write that is under way. */
        Map<String, BitSet> underWay = Map.of();
    }

    private final NodeContext context;
    private final Revision leadershipRevision;
    private final Runnable onDeposed;
    private final RateLimiter writeLimiter;
    private final PeriodicTask cleanupTask;
    private final Map<JobId, JobBlocks> blocksByJob = new HashMap<>();
    private final Map<JobId, Set<String>> leftOver = new LinkedHashMap<>();

    CompletionBlockStore(
            NodeContext context, Revision leadershipRevision, Runnable onDeposed, RateLimiter writeLimiter) {
        this.context = context;
        this.leadershipRevision = leadershipRevision;
        this.onDeposed = onDeposed;
        this.writeLimiter = writeLimiter;
        this.cleanupTask =
                new PeriodicTask(context.vertx(), "blocks of jobs that are over", PERIOD, this::deleteLeftOver);
    }

    void start() {
        cleanupTask.start();
    }

    void cancel() {
        cleanupTask.cancel();
    }

    void clear() {
        blocksByJob.clear();
        leftOver.clear();
    }

    /** A block that an earlier leader wrote. */
    void inherit(String block, BitSet done) {
        JobBlocks beside = blocksOf(CompletionBits.jobOf(block));
        beside.keys.add(block);
        beside.done.or(done);
    }

    /** All open jobs are known: what stands beside others is left over. */
    void loaded(Set<JobId> jobs) {
        List<JobId> gone =
                blocksByJob.keySet().stream().filter(id -> !jobs.contains(id)).toList();
        gone.forEach(this::jobEnded);
    }

    /** The job is over. */
    void jobEnded(JobId id) {
        JobBlocks beside = blocksByJob.remove(id);
        if (beside != null && !beside.keys.isEmpty()) {
            leftOver.put(id, beside.keys);
        }
    }

    boolean hasRoomInRecord(Job job) {
        return bits().areInRecord(job.spec(), job.submittedMs());
    }

    /** An earlier version accepted a description that does not fit any more: its record stays as it is until its end. */
    boolean canBeWritten(Job job) {
        return bits().canBeWritten(job.spec(), job.submittedMs());
    }

    /** Adds the job's progress to a transaction: its record, and of the blocks that are behind as many as fit beside it. */
    void addProgress(StateClient.Txn txn, Job job, BitSet done) {
        txn.put(
                RecordCodec.openKey(job.id()),
                bits().writeJob(
                                job.spec(),
                                job.submittedMs(),
                                job.status(),
                                done,
                                job.runningCount(),
                                job.startBoundToWrite()));
        if (hasRoomInRecord(job)) {
            return;
        }
        JobBlocks beside = blocksOf(job.id());
        BitSet missing = (BitSet) done.clone();
        missing.andNot(beside.done);
        beside.underWay =
                bits().blocksWith(job.id(), missing, done, context.limits().txnOps() - txn.size());
        beside.underWay.forEach((block, covered) -> txn.put(block, CompletionBits.writeBlock(block, covered)));
    }

    /** What the job's write, which is done, has made durable of {@code done}. */
    BitSet written(Job job, BitSet done) {
        if (hasRoomInRecord(job)) {
            return done;
        }
        JobBlocks beside = blocksOf(job.id());
        beside.underWay.forEach((block, covered) -> {
            beside.keys.add(block);
            beside.done.or(covered);
        });
        beside.underWay = Map.of();
        return (BitSet) beside.done.clone();
    }

    /** Not all that is done fitted into the last write. */
    boolean isBehind(Job job) {
        if (hasRoomInRecord(job)) {
            return false;
        }
        BitSet missing = job.completedTasks();
        missing.andNot(blocksOf(job.id()).done);
        return !missing.isEmpty();
    }

    private JobBlocks blocksOf(JobId id) {
        return blocksByJob.computeIfAbsent(id, k -> new JobBlocks());
    }

    private CompletionBits bits() {
        return new CompletionBits(context.limits());
    }

    private Future<Span> deleteLeftOver() {
        if (leftOver.isEmpty()) {
            return Future.succeededFuture(PERIOD);
        }
        JobId id = leftOver.keySet().iterator().next();
        List<String> some =
                leftOver.get(id).stream().limit(context.limits().txnOps()).toList();
        if (!writeLimiter.takeSpare(some.size(), context.clock().now())) {
            return Future.succeededFuture(PERIOD);
        }
        return context.state().get(RecordCodec.finalKey(id)).compose(over -> {
            if (over == null) {
                // Its end was lost, or its record cannot be read: the blocks may be of use yet.
                leftOver.remove(id);
                return Future.succeededFuture(Span.ZERO);
            }
            StateClient.Txn txn = new StateClient.Txn()
                    .when(RecordCodec.LEADER, leadershipRevision)
                    .when(over.key(), over.stamp());
            some.forEach(txn::delete);
            return context.state().commit(txn).map(outcome -> {
                if (outcome.done()) {
                    leftOver.get(id).removeAll(some);
                    if (leftOver.get(id).isEmpty()) {
                        leftOver.remove(id);
                    }
                } else if (!cleanupTask.isCancelled() && outcome.failed().contains(RecordCodec.LEADER)) {
                    onDeposed.run();
                }
                return PERIOD;
            });
        });
    }
}
