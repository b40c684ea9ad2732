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
 * Commits the writes of a {@link StateRebuilder} in their order, several records to a transaction, within the leader's write rate.
 * A record that was written by somebody else meanwhile is newer, and is left as it is. Bound to the node's event loop.
 */
final class RebuildWriter {
    /** A transaction may have 64 KiB; the rest is for the conditions, which repeat keys. */
    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;

    /** Before the write rate is tried again. */
    private static final Span RATE_RETRY_DELAY = Span.seconds(0.05);

    /** The writes for one record, with their conditions; a condition that fails shows that something newer is there. */
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

    /** The rebuild cannot go on with what it has read; it is tried again from the beginning. */
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

    /** {@code eraRevision}: the version of the era in which data were lost. */
    RebuildWriter(NodeContext context, Revision leadershipRevision, Revision eraRevision, RateLimiter writeLimiter) {
        this.context = context;
        this.leadershipRevision = leadershipRevision;
        this.eraRevision = eraRevision;
        this.writeLimiter = writeLimiter;
    }

    /** How many records were written. */
    int writtenRecords() {
        return writtenRecords;
    }

    /** How many records were left as somebody else had written them. */
    int skippedRecords() {
        return skippedRecords;
    }

    /** A transaction under the conditions of every write: this leadership, and the era in which data were lost. */
    StateClient.Txn newTransaction() {
        return new StateClient.Txn().when(RecordKeys.LEADER, leadershipRevision).when(RecordKeys.ERA, eraRevision);
    }

    /** Adds the writes for one record, which are committed together. */
    void addRecord(StateClient.Txn recordTransaction) {
        pendingWrites.add(new RecordWrite(recordTransaction));
    }

    /** Commits all that was added. */
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
        if (writeLimiter.take(writes, context.clock().now())) {
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

    /** Commits a rejected batch once more, without the steps whose conditions failed. */
    private Future<Void> commitWithoutFailed(List<String> failedKeys, List<RecordWrite> batch) {
        if (failedKeys.contains(RecordKeys.LEADER) || failedKeys.contains(RecordKeys.ERA)) {
            return leadershipOrEraChanged();
        }
        if (failedKeys.stream().anyMatch(RebuildWriter::requiresNewInventory)) {
            return Future.failedFuture(new RebuildInterruptedException("machines or open jobs were written meanwhile"));
        }
        // Written by an earlier attempt whose answer was lost, or by a user at another node: that is newer, and stays.
        List<RecordWrite> remaining =
                batch.stream().filter(step -> !step.dependsOnAny(failedKeys)).toList();
        skippedRecords += batch.size() - remaining.size();
        if (remaining.isEmpty()) {
            return Future.succeededFuture();
        }
        if (remaining.size() == batch.size()) {
            return Future.failedFuture(new RebuildInterruptedException("the state service does not say what failed"));
        }
        return awaitWriteRate(totalSize(remaining)).compose(ready -> commit(remaining));
    }

    static <T> Future<T> leadershipOrEraChanged() {
        return Future.failedFuture(new RebuildInterruptedException("another node leads, or the era is another"));
    }

    /**
     * Whether a key that was written meanwhile ends the attempt, so that everything is read again. A page of machines of an earlier attempt, whose
     * answer was lost, may lack machines that hold tasks. An acceptance that was executed late states that nothing of the job was ever
     * started.
     */
    private static boolean requiresNewInventory(String key) {
        return key.startsWith(RecordKeys.MACHINE_PAGES) || key.startsWith(RecordKeys.OPEN_JOBS);
    }
}
