package io.indigoreach.cluster;

import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateCodec;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Commits the writes of a {@link StateRebuilder} in order, several records to a transaction, within the leader's write rate. A
 * record that another writer has changed since it was read is newer and is not overwritten. Bound to the node's event loop.
 */
final class RebuildWriter {
    /**
     * Maximum size of the writes of one transaction, in bytes. It is below the transaction limit of 64 KiB because the
     * conditions repeat the keys.
     */
    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

    /** Delay before write rate is requested again. */
    private static final Span RATE_RETRY_DELAY = Span.seconds(0.05);

    /** The writes for one record and their conditions; a failed condition means that the record has a newer version. */
    private record RecordWrite(StateClient.Txn txn) {
        int bytes() {
            return JsonSize.of(StateCodec.writeTxn(txn));
        }

        int size() {
            return txn.size();
        }

        boolean dependsOnAny(List<String> keys) {
            return keys.stream().anyMatch(txn.conditions()::containsKey);
        }
    }

    /** Signals that the records have changed since they were read, so that the rebuild must start again. */
    static final class RebuildInterruptedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        RebuildInterruptedException(String reason) {
            super(reason, null, false, false);
        }
    }

    private final NodeContext context;
    private final Revision leadershipRevision;
    private final Revision eraRevision;
    private final RateLimiter writeLimiter;
    private final Deque<RecordWrite> pendingWrites = new ArrayDeque<>();
    private int writtenRecords;
    private int skippedRecords;

    /** @param eraRevision the revision of the era in which data was lost */
    RebuildWriter(NodeContext context, Revision leadershipRevision, Revision eraRevision, RateLimiter writeLimiter) {
        this.context = context;
        this.leadershipRevision = leadershipRevision;
        this.eraRevision = eraRevision;
        this.writeLimiter = writeLimiter;
    }

    /** Returns the number of records that were written. */
    int writtenRecords() {
        return writtenRecords;
    }

    /** Returns the number of records that were not overwritten because another writer had changed them. */
    int skippedRecords() {
        return skippedRecords;
    }

    /** Creates a transaction with the conditions of every write: this leadership, and the era in which data was lost. */
    StateClient.Txn newTransaction() {
        return new StateClient.Txn().when(RecordKeys.LEADER, leadershipRevision).when(RecordKeys.ERA, eraRevision);
    }

    /** Adds the writes for one record, which are committed in one transaction. */
    void addRecord(StateClient.Txn recordTransaction) {
        pendingWrites.add(new RecordWrite(recordTransaction));
    }

    /** Commits all added writes. */
    Future<Void> flush() {
        if (pendingWrites.isEmpty()) {
            return Future.succeededFuture();
        }
        List<RecordWrite> batch = nextBatch();
        return awaitWriteRate(totalSize(batch)).compose(ready -> commit(batch)).compose(done -> flush());
    }

    private List<RecordWrite> nextBatch() {
        List<RecordWrite> batch = new ArrayList<>();
        int size = 0;
        int bytes = 0;
        while (!pendingWrites.isEmpty() && (batch.isEmpty() || fits(pendingWrites.peek(), size, bytes))) {
            RecordWrite recordWrite = pendingWrites.poll();
            size += recordWrite.size();
            bytes += recordWrite.bytes();
            batch.add(recordWrite);
        }
        return batch;
    }

    private boolean fits(RecordWrite recordWrite, int size, int bytes) {
        return size + recordWrite.size() <= context.limits().txnOps()
                && bytes + recordWrite.bytes() <= MAX_TRANSACTION_BYTES;
    }

    private static int totalSize(List<RecordWrite> batch) {
        return batch.stream().mapToInt(RecordWrite::size).sum();
    }

    private Future<Void> awaitWriteRate(int writes) {
        if (writeLimiter.tryAcquire(writes, context.clock().now())) {
            return Future.succeededFuture();
        }
        Promise<Void> retry = Promise.promise();
        context.vertx().setTimer(RATE_RETRY_DELAY.ms(), timer -> retry.complete());
        return retry.future().compose(ready -> awaitWriteRate(writes));
    }

    private Future<Void> commit(List<RecordWrite> batch) {
        Map<String, Revision> conditions = new LinkedHashMap<>();
        StateClient.Txn combined = new StateClient.Txn();
        for (RecordWrite recordWrite : batch) {
            conditions.putAll(recordWrite.txn.conditions());
            combined.writes().addAll(recordWrite.txn.writes());
        }
        conditions.forEach(combined::when);
        return context.state().commit(combined).compose(outcome -> {
            if (outcome.executed()) {
                writtenRecords += batch.size();
                return Future.succeededFuture();
            }
            return commitWithoutFailed(List.copyOf(outcome.failedKeys()), batch);
        });
    }

    /** Commits a rejected batch once more, without the record writes whose conditions failed. */
    private Future<Void> commitWithoutFailed(List<String> failedKeys, List<RecordWrite> batch) {
        if (failedKeys.contains(RecordKeys.LEADER) || failedKeys.contains(RecordKeys.ERA)) {
            return leadershipOrEraChanged();
        }
        if (failedKeys.stream().anyMatch(RebuildWriter::requiresNewInventory)) {
            return Future.failedFuture(new RebuildInterruptedException(
                    "another writer changed machine pages or open jobs during the rebuild"));
        }
        // A condition failed because the record has a newer version, written either by an earlier attempt whose
        // response was lost or by a user request at another node.
        List<RecordWrite> remaining =
                batch.stream().filter(step -> !step.dependsOnAny(failedKeys)).toList();
        skippedRecords += batch.size() - remaining.size();
        if (remaining.isEmpty()) {
            return Future.succeededFuture();
        }
        if (remaining.size() == batch.size()) {
            return Future.failedFuture(new RebuildInterruptedException(
                    "the state service rejected a transaction without naming a failed condition"));
        }
        return awaitWriteRate(totalSize(remaining)).compose(ready -> commit(remaining));
    }

    static <T> Future<T> leadershipOrEraChanged() {
        return Future.failedFuture(new RebuildInterruptedException(
                "rebuild interrupted: another node has become leader, or the era has changed"));
    }

    /**
     * Returns whether a concurrent write of this key ends the attempt, so that all records are read again. A machine page from
     * an earlier attempt whose response was lost may lack machines that run tasks. A job acceptance that was executed late has
     * a start bound of zero, as if no task had ever been started.
     */
    private static boolean requiresNewInventory(String key) {
        return key.startsWith(RecordKeys.MACHINE_PAGES) || key.startsWith(RecordKeys.OPEN_JOBS);
    }
}
