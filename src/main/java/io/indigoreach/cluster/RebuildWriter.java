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
    private static final Span RATE_RETRY = Span.seconds(0.05);

    /** The writes for one record, with their conditions; a condition that fails shows that something newer is there. */
    private record Step(StateClient.Txn txn) {
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
    private final Deque<Step> steps = new ArrayDeque<>();
    private int written;
    private int present;

    /** {@code eraRevision}: the version of the era in which data were lost. */
    RebuildWriter(NodeContext context, Revision leadershipRevision, Revision eraRevision, RateLimiter writeLimiter) {
        this.context = context;
        this.leadershipRevision = leadershipRevision;
        this.eraRevision = eraRevision;
        this.writeLimiter = writeLimiter;
    }

    /** How many records were written. */
    int written() {
        return written;
    }

    /** How many records were left as somebody else had written them. */
    int present() {
        return present;
    }

    /** A transaction under the conditions of every write: this leadership, and the era in which data were lost. */
    StateClient.Txn transaction() {
        return new StateClient.Txn().when(RecordKeys.LEADER, leadershipRevision).when(RecordKeys.ERA, eraRevision);
    }

    /** Adds the writes for one record, which are committed together. */
    void add(StateClient.Txn record) {
        steps.add(new Step(record));
    }

    /** Commits all that was added. */
    Future<Void> flush() {
        if (steps.isEmpty()) {
            return Future.succeededFuture();
        }
        List<Step> batch = nextBatch();
        return awaitRate(size(batch)).compose(ready -> commit(batch)).compose(done -> flush());
    }

    private List<Step> nextBatch() {
        List<Step> batch = new ArrayList<>();
        int size = 0;
        int bytes = 0;
        while (!steps.isEmpty() && (batch.isEmpty() || fits(steps.peek(), size, bytes))) {
            Step step = steps.poll();
            size += step.size();
            bytes += step.bytes();
            batch.add(step);
        }
        return batch;
    }

    private boolean fits(Step step, int size, int bytes) {
        return size + step.size() <= context.limits().txnOps() && bytes + step.bytes() <= MAX_TRANSACTION_BYTES;
    }

    private static int size(List<Step> batch) {
        return batch.stream().mapToInt(Step::size).sum();
    }

    private Future<Void> awaitRate(int writes) {
        if (writeLimiter.tryAcquire(writes, context.clock().now())) {
            return Future.succeededFuture();
        }
        Promise<Void> later = Promise.promise();
        context.vertx().setTimer(RATE_RETRY.ms(), timer -> later.complete());
        return later.future().compose(ready -> awaitRate(writes));
    }

    private Future<Void> commit(List<Step> batch) {
        Map<String, Revision> conditions = new LinkedHashMap<>();
        StateClient.Txn combined = new StateClient.Txn();
        for (Step step : batch) {
            conditions.putAll(step.txn.conditions());
            combined.writes().addAll(step.txn.writes());
        }
        conditions.forEach(combined::when);
        return context.state().commit(combined).compose(outcome -> {
            if (outcome.done()) {
                written += batch.size();
                return Future.succeededFuture();
            }
            return commitWithout(List.copyOf(outcome.failed()), batch);
        });
    }

    /** Commits a rejected batch once more, without the steps whose conditions failed. */
    private Future<Void> commitWithout(List<String> failedKeys, List<Step> batch) {
        if (failedKeys.contains(RecordKeys.LEADER) || failedKeys.contains(RecordKeys.ERA)) {
            return failedByAnotherLeader();
        }
        if (failedKeys.stream().anyMatch(RebuildWriter::mustBeReadAgain)) {
            return Future.failedFuture(new RebuildInterruptedException("machines or open jobs were written meanwhile"));
        }
        // Written by an earlier attempt whose answer was lost, or by a user at another node: that is newer, and stays.
        List<Step> rest =
                batch.stream().filter(step -> !step.dependsOnAny(failedKeys)).toList();
        present += batch.size() - rest.size();
        if (rest.isEmpty()) {
            return Future.succeededFuture();
        }
        if (rest.size() == batch.size()) {
            return Future.failedFuture(new RebuildInterruptedException("the state service does not say what failed"));
        }
        return awaitRate(size(rest)).compose(ready -> commit(rest));
    }

    static <T> Future<T> failedByAnotherLeader() {
        return Future.failedFuture(new RebuildInterruptedException("another node leads, or the era is another"));
    }

    /**
     * Whether a key that was written meanwhile ends the attempt, so that everything is read again. A page of machines of an earlier attempt, whose
     * answer was lost, may lack machines that hold tasks. An acceptance that was executed late states that nothing of the job was ever
     * started.
     */
    private static boolean mustBeReadAgain(String key) {
        return key.startsWith(RecordKeys.MACHINE_PAGES) || key.startsWith(RecordKeys.OPEN_JOBS);
    }
}
