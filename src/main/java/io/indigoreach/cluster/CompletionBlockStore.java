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
 * Stores the completion bits of open jobs whose bits do not fit into the job's record, in separate blocks. Blocks are written
 * in one transaction with the job's record, which changes the record's revision. A transaction that is executed late is
 * therefore rejected and cannot replace a newer block. Blocks of a finished job are harmless, so the completion itself is one
 * short transaction. The blocks are deleted afterwards, a few at a time, and the next leader continues the deletion. Bound to
 * the node's event loop.
 */
final class CompletionBlockStore {
    private static final Span CLEANUP_PERIOD = Span.seconds(0.5);

    /** The blocks of one job. */
    private static final class JobBlocks {
        /** Tasks that are marked as completed in the written blocks. */
        final BitSet writtenTasks = new BitSet();

        final Set<String> keys = new TreeSet<>();
        /** Blocks of the write in flight, by key. */
        Map<String, BitSet> inFlight = Map.of();
    }

    private final LeaderWriteContext writeContext;
    private final NodeContext context;
    private final PeriodicTask cleanupTask;
    private final Map<JobId, JobBlocks> blocksByJob = new HashMap<>();
    /** Keys of blocks to delete because their jobs are no longer open. */
    private final Map<JobId, Set<String>> orphanedKeys = new LinkedHashMap<>();

    CompletionBlockStore(LeaderWriteContext writeContext) {
        this.writeContext = writeContext;
        this.context = writeContext.context();
        this.cleanupTask = new PeriodicTask(
                context.vertx(), "blocks of finished jobs", CLEANUP_PERIOD, this::deleteOrphanedBlocks);
    }

    void start() {
        cleanupTask.start();
    }

    void cancel() {
        cleanupTask.cancel();
    }

    /** Clears all blocks before they are loaded. */
    void clear() {
        blocksByJob.clear();
        orphanedKeys.clear();
    }

    /** Adds a block that an earlier leader wrote. */
    void addInheritedBlock(String blockKey, BitSet completedTasks) {
        JobBlocks blocks = blocksOf(CompletionBits.jobOf(blockKey));
        blocks.keys.add(blockKey);
        blocks.writtenTasks.or(completedTasks);
    }

    /** Marks the blocks of all jobs that are not in {@code openJobs} for deletion. */
    void onOpenJobsLoaded(Set<JobId> openJobs) {
        List<JobId> finished = blocksByJob.keySet().stream()
                .filter(id -> !openJobs.contains(id))
                .toList();
        finished.forEach(this::onJobFinished);
    }

    /** Marks the blocks of a finished job for deletion. */
    void onJobFinished(JobId id) {
        JobBlocks blocks = blocksByJob.remove(id);
        if (blocks != null && !blocks.keys.isEmpty()) {
            orphanedKeys.put(id, blocks.keys);
        }
    }

    /** Returns whether the job's completion bits fit into its own record, so that the job needs no blocks. */
    boolean fitsInJobRecord(Job job) {
        return completionBits().fitInRecord(job.spec(), job.submittedMs());
    }

    /**
     * Returns whether the job's record fits into one value. If the limits were lowered after the job was accepted, its record
     * is not written again until the job finishes.
     */
    boolean isJobRecordWritable(Job job) {
        return completionBits().recordFits(job.spec(), job.submittedMs());
    }

    /** Adds the job's record and as many of its outdated blocks as fit to a transaction. */
    void addProgress(StateClient.Txn txn, Job job, BitSet completedTasks) {
        txn.put(RecordKeys.openKey(job.id()), openRecord(job, completedTasks));
        if (fitsInJobRecord(job)) {
            return;
        }
        JobBlocks blocks = blocksOf(job.id());
        BitSet unwritten = (BitSet) completedTasks.clone();
        unwritten.andNot(blocks.writtenTasks);
        int remainingOperations = context.limits().txnOps() - txn.size();
        blocks.inFlight = completionBits().blocksCovering(job.id(), unwritten, completedTasks, remainingOperations);
        blocks.inFlight.forEach(
                (blockKey, completed) -> txn.put(blockKey, CompletionBits.writeBlock(blockKey, completed)));
    }

    private Map<String, Object> openRecord(Job job, BitSet completedTasks) {
        return completionBits()
                .writeJob(
                        job.spec(),
                        job.submittedMs(),
                        job.status(),
                        completedTasks,
                        job.runningCount(),
                        job.startBoundToWrite());
    }

    /** Handles the success of the job's last write and returns which of {@code completedTasks} are durable. */
    BitSet onProgressWritten(Job job, BitSet completedTasks) {
        if (fitsInJobRecord(job)) {
            return completedTasks;
        }
        JobBlocks blocks = blocksOf(job.id());
        blocks.inFlight.forEach((blockKey, completed) -> {
            blocks.keys.add(blockKey);
            blocks.writtenTasks.or(completed);
        });
        blocks.inFlight = Map.of();
        return (BitSet) blocks.writtenTasks.clone();
    }

    /** Returns whether some completed tasks did not fit into the last write. */
    boolean hasUnwrittenCompletions(Job job) {
        if (fitsInJobRecord(job)) {
            return false;
        }
        BitSet unwritten = job.completedTasks();
        unwritten.andNot(blocksOf(job.id()).writtenTasks);
        return !unwritten.isEmpty();
    }

    private JobBlocks blocksOf(JobId id) {
        return blocksByJob.computeIfAbsent(id, added -> new JobBlocks());
    }

    private CompletionBits completionBits() {
        return new CompletionBits(context.limits());
    }

    private Future<Span> deleteOrphanedBlocks() {
        if (orphanedKeys.isEmpty()) {
            return Future.succeededFuture(CLEANUP_PERIOD);
        }
        JobId id = orphanedKeys.keySet().iterator().next();
        List<String> keys =
                orphanedKeys.get(id).stream().limit(context.limits().txnOps()).toList();
        if (!writeContext.limiter().tryAcquireSpare(keys.size(), context.clock().now())) {
            return Future.succeededFuture(CLEANUP_PERIOD);
        }
        return context.state().get(RecordKeys.finalKey(id)).compose(finalRecord -> {
            if (finalRecord == null) {
                // The final record was lost or the open record is unreadable, so the blocks may still be needed.
                orphanedKeys.remove(id);
                return Future.succeededFuture(Span.ZERO);
            }
            return deleteBlocks(id, keys, finalRecord);
        });
    }

    private Future<Span> deleteBlocks(JobId id, List<String> keys, StateClient.Entry finalRecord) {
        StateClient.Txn txn = writeContext.newTransaction().when(finalRecord.key(), finalRecord.revision());
        keys.forEach(txn::delete);
        return context.state().commit(txn).map(outcome -> {
            if (outcome.executed()) {
                onBlocksDeleted(id, keys);
            } else if (!cleanupTask.isCancelled() && LeaderWriteContext.isDeposed(outcome)) {
                writeContext.onLeadershipLost();
            }
            return CLEANUP_PERIOD;
        });
    }

    private void onBlocksDeleted(JobId id, List<String> keys) {
        orphanedKeys.get(id).removeAll(keys);
        if (orphanedKeys.get(id).isEmpty()) {
            orphanedKeys.remove(id);
        }
    }
}
