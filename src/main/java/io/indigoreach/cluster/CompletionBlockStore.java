package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.RecordKeys;
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
 * The blocks of completion bits of open jobs whose bits do not fit into the job's record. A write of blocks is one transaction with
 * the job's record, whose revision it changes: executed late it is rejected, and cannot replace a newer block. Blocks of a finished
 * job are harmless, so the completion is one short transaction, and they are deleted afterwards, a few at a time; the next leader
 * continues with that. Bound to the node's event loop.
 */
final class CompletionBlockStore {
    private static final Span PERIOD = Span.seconds(0.5);

    /** The blocks of one job. */
    private static final class JobBlocks {
        /** The tasks that the written blocks name as completed. */
        final BitSet written = new BitSet();

        final Set<String> keys = new TreeSet<>();
        /** The blocks of the write in flight, by key. */
        Map<String, BitSet> inFlight = Map.of();
    }

    private final LeaderWrites writes;
    private final NodeContext context;
    private final PeriodicTask cleanupTask;
    private final Map<JobId, JobBlocks> blocksByJob = new HashMap<>();
    /** Keys of blocks that are to be deleted, as their jobs are no longer open. */
    private final Map<JobId, Set<String>> orphanedKeys = new LinkedHashMap<>();

    CompletionBlockStore(LeaderWrites writes) {
        this.writes = writes;
        this.context = writes.context();
        this.cleanupTask =
                new PeriodicTask(context.vertx(), "blocks of finished jobs", PERIOD, this::deleteOrphanedBlocks);
    }

    void start() {
        cleanupTask.start();
    }

    void cancel() {
        cleanupTask.cancel();
    }

    /** Forgets all blocks, before they are loaded. */
    void clear() {
        blocksByJob.clear();
        orphanedKeys.clear();
    }

    /** Takes over a block that an earlier leader wrote. */
    void inherit(String blockKey, BitSet done) {
        JobBlocks blocks = blocksOf(CompletionBits.jobOf(blockKey));
        blocks.keys.add(blockKey);
        blocks.written.or(done);
    }

    /** All open jobs are known: blocks of other jobs are orphaned. */
    void loaded(Set<JobId> openJobs) {
        List<JobId> finished = blocksByJob.keySet().stream()
                .filter(id -> !openJobs.contains(id))
                .toList();
        finished.forEach(this::jobEnded);
    }

    /** The job is over, and its blocks are to be deleted. */
    void jobEnded(JobId id) {
        JobBlocks blocks = blocksByJob.remove(id);
        if (blocks != null && !blocks.keys.isEmpty()) {
            orphanedKeys.put(id, blocks.keys);
        }
    }

    /** Whether the job's completion bits fit into its own record, so that it has no blocks. */
    boolean hasRoomInRecord(Job job) {
        return bits().areInRecord(job.spec(), job.submittedMs());
    }

    /**
     * Whether the job's record fits into a value. If limits were lowered since the job was accepted, its record stays as it is until
     * the job is over.
     */
    boolean canBeWritten(Job job) {
        return bits().canBeWritten(job.spec(), job.submittedMs());
    }

    /** Adds the job's record to a transaction, and as many of its outdated blocks as fit. */
    void addProgress(StateClient.Txn txn, Job job, BitSet done) {
        txn.put(RecordKeys.openKey(job.id()), openRecord(job, done));
        if (hasRoomInRecord(job)) {
            return;
        }
        JobBlocks blocks = blocksOf(job.id());
        BitSet unwritten = (BitSet) done.clone();
        unwritten.andNot(blocks.written);
        int room = context.limits().txnOps() - txn.size();
        blocks.inFlight = bits().blocksWith(job.id(), unwritten, done, room);
        blocks.inFlight.forEach(
                (blockKey, completed) -> txn.put(blockKey, CompletionBits.writeBlock(blockKey, completed)));
    }

    private Map<String, Object> openRecord(Job job, BitSet done) {
        return bits().writeJob(
                        job.spec(), job.submittedMs(), job.status(), done, job.runningCount(), job.startBoundToWrite());
    }

    /** The job's last write was executed; returns which of {@code done} are durable. */
    BitSet written(Job job, BitSet done) {
        if (hasRoomInRecord(job)) {
            return done;
        }
        JobBlocks blocks = blocksOf(job.id());
        blocks.inFlight.forEach((blockKey, completed) -> {
            blocks.keys.add(blockKey);
            blocks.written.or(completed);
        });
        blocks.inFlight = Map.of();
        return (BitSet) blocks.written.clone();
    }

    /** Whether completed tasks did not fit into the last write. */
    boolean isBehind(Job job) {
        if (hasRoomInRecord(job)) {
            return false;
        }
        BitSet unwritten = job.completedTasks();
        unwritten.andNot(blocksOf(job.id()).written);
        return !unwritten.isEmpty();
    }

    private JobBlocks blocksOf(JobId id) {
        return blocksByJob.computeIfAbsent(id, added -> new JobBlocks());
    }

    private CompletionBits bits() {
        return new CompletionBits(context.limits());
    }

    private Future<Span> deleteOrphanedBlocks() {
        if (orphanedKeys.isEmpty()) {
            return Future.succeededFuture(PERIOD);
        }
        JobId id = orphanedKeys.keySet().iterator().next();
        List<String> keys =
                orphanedKeys.get(id).stream().limit(context.limits().txnOps()).toList();
        if (!writes.limiter().tryAcquireSpare(keys.size(), context.clock().now())) {
            return Future.succeededFuture(PERIOD);
        }
        return context.state().get(RecordKeys.finalKey(id)).compose(finalRecord -> {
            if (finalRecord == null) {
                // The final record was lost, or the open record is unreadable: the blocks may still be needed.
                orphanedKeys.remove(id);
                return Future.succeededFuture(Span.ZERO);
            }
            return deleteBlocks(id, keys, finalRecord);
        });
    }

    private Future<Span> deleteBlocks(JobId id, List<String> keys, StateClient.Entry finalRecord) {
        StateClient.Txn txn = writes.newTransaction().when(finalRecord.key(), finalRecord.revision());
        keys.forEach(txn::delete);
        return context.state().commit(txn).map(outcome -> {
            if (outcome.done()) {
                onDeleted(id, keys);
            } else if (!cleanupTask.isCancelled() && LeaderWrites.isDeposed(outcome)) {
                writes.deposed();
            }
            return PERIOD;
        });
    }

    private void onDeleted(JobId id, List<String> keys) {
        orphanedKeys.get(id).removeAll(keys);
        if (orphanedKeys.get(id).isEmpty()) {
            orphanedKeys.remove(id);
        }
    }
}
