package io.indigoreach.cluster;

import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.IntentRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Persists a leader's {@link Intents} in one record per leadership term. Each write is conditional on the leadership
 * key and on the record's version, so that a leader that was replaced cannot write to it. The new leader reads the
 * records of earlier leaders at a failover, and removes them once all their intents are completed. Bound to the node's
 * event loop.
 *
 * <p>Guards against a write that gets no response and is executed late. The leader empties its own record but never
 * removes it: otherwise a late write that was conditional on the record's absence could restore completed requests, and
 * the next leader would repeat them. After a write without a response the leader always writes again, as some of the
 * intents in it may since have been dropped.
 */
final class IntentLog {
    /** Minimum interval between writes that only remove completed intents. */
    private static final Span CLEANUP_INTERVAL = Span.seconds(2);

    private static final int EMPTY_RECORD_BYTES =
            JsonSize.of(IntentRecordCodec.writeIntents(new Intents.Content(List.of(), List.of())));

    private final NodeContext context;
    private final Revision leadershipRevision;
    private final Runnable onDeposed;
    private final RateLimiter writeLimiter;
    private final String recordKey;
    private final Intents intents = new Intents(new RecordSizeLimit());
    /** Keys and revisions of the earlier leaders' records. */
    private final Map<String, Revision> earlierRecords = new LinkedHashMap<>();

    private boolean cancelled;
    private Revision recordRevision = Revision.ABSENT;
    /** Whether the revision of this leader's record must be read before the next write. */
    private boolean recordRevisionUnknown;
    /** Whether a write got no response; it may still be executed, until a later write has been. */
    private boolean writeOutcomeUnknown;

    private Future<Boolean> writeInProgress;
    private Moment lastWriteAt = Moment.NEVER;

    /** @param onDeposed called when a write shows that the leadership key has changed */
    IntentLog(
            NodeContext context,
            FencingToken token,
            Revision leadershipRevision,
            Runnable onDeposed,
            RateLimiter writeLimiter) {
        this.context = context;
        this.leadershipRevision = leadershipRevision;
        this.onDeposed = onDeposed;
        this.writeLimiter = writeLimiter;
        this.recordKey = RecordKeys.intentsKey(token);
    }

    /** Limits rent requests and machine returns to half of the record's maximum size each. */
    private final class RecordSizeLimit implements Intents.Capacity {
        private int bytesPerKind() {
            return (context.limits().maxRecordBytes() - EMPTY_RECORD_BYTES) / 2;
        }

        @Override
        public boolean hasRoomForRental(Collection<Intents.Rental> rents, Intents.Rental next) {
            int used = rents.stream().mapToInt(IntentRecordCodec::encodedBytes).sum();
            return used + IntentRecordCodec.encodedBytes(next) <= bytesPerKind();
        }

        @Override
        public boolean hasRoomForReturn(Collection<MachineId> returns, MachineId next) {
            int used =
                    returns.stream().mapToInt(IntentRecordCodec::encodedBytes).sum();
            return used + IntentRecordCodec.encodedBytes(next) <= bytesPerKind();
        }
    }

    /**
     * Ends this term's use of the log. Guards against a write of this term that fails after the same node has been
     * elected again: it must not depose the new term.
     */
    void cancel() {
        cancelled = true;
    }

    private void onLeadershipKeyChanged() {
        if (!cancelled) {
            onDeposed.run();
        }
    }

    Intents intents() {
        return intents;
    }

    /** Reads the intents that earlier leaders had in progress. */
    Future<Intents.Content> load() {
        List<Intents.Rental> rents = new ArrayList<>();
        List<MachineId> returns = new ArrayList<>();
        earlierRecords.clear();
        return RecordListing.readAll(context.state(), leadershipRevision, RecordKeys.INTENTS, entry -> {
                    Intents.Content page = IntentRecordCodec.readIntents(entry.value());
                    rents.addAll(page.rentals());
                    returns.addAll(page.returns());
                    earlierRecords.put(entry.key(), entry.revision());
                })
                .map(revision -> new Intents.Content(rents, returns));
    }

    /**
     * Removes the records of earlier leaders, once all intents in them are completed; at most one transaction's worth
     * per call.
     */
    Future<Void> removeEarlierRecords() {
        List<String> keys = earlierRecords.keySet().stream()
                .limit(context.limits().txnOps())
                .toList();
        if (keys.isEmpty()
                || !writeLimiter.tryAcquireSpare(keys.size(), context.clock().now())) {
            return Future.succeededFuture();
        }
        StateClient.Txn txn = new StateClient.Txn().when(RecordKeys.LEADER, leadershipRevision);
        keys.forEach(key -> txn.when(key, earlierRecords.get(key)).delete(key));
        return context.state()
                .commit(txn)
                .map(outcome -> {
                    onEarlierRecordsRemoved(keys, outcome);
                    return (Void) null;
                })
                .otherwiseEmpty();
    }

    private void onEarlierRecordsRemoved(List<String> keys, StateClient.Outcome outcome) {
        if (outcome.executed()) {
            keys.forEach(earlierRecords::remove);
        } else if (outcome.failedKeys().contains(RecordKeys.LEADER)) {
            onLeadershipKeyChanged();
        } else {
            // Removed by a write whose response was lost, or changed by its leader before that leader was replaced.
            outcome.failedKeys().forEach(earlierRecords::remove);
        }
    }

    /**
     * Writes the intents if they have changed. True when the record contains all of them, false if it cannot be written
     * now. Only one write is in flight at a time.
     */
    Future<Boolean> record() {
        if (writeInProgress != null) {
            return writeInProgress.transform(result -> record());
        }
        writeInProgress = writeIfNeeded();
        Future<Boolean> startedWrite = writeInProgress;
        startedWrite.onComplete(result -> writeInProgress = null);
        return startedWrite;
    }

    private Future<Boolean> writeIfNeeded() {
        Moment now = context.clock().now();
        if (intents.hasUnrecordedRequests()) {
            return writeLimiter.tryAcquire(1, now) ? write(now) : Future.succeededFuture(false);
        }
        boolean cleanup = (writeOutcomeUnknown || intents.isRecordOutdated())
                && now.since(lastWriteAt).compareTo(CLEANUP_INTERVAL) >= 0
                && writeLimiter.tryAcquireSpare(1, now);
        return cleanup ? write(now).map(true).otherwise(true) : Future.succeededFuture(true);
    }

    private Future<Boolean> write(Moment now) {
        if (recordRevisionUnknown) {
            return readRecordRevision().map(false);
        }
        Intents.Content page = intents.content();
        // Without intents, an absent record is not created, but the transaction still checks its conditions.
        boolean writesRecord = writeOutcomeUnknown || !page.isEmpty() || !recordRevision.equals(Revision.ABSENT);
        StateClient.Txn txn = new StateClient.Txn()
                .when(RecordKeys.LEADER, leadershipRevision)
                .when(recordKey, recordRevision);
        if (writesRecord) {
            txn.put(recordKey, IntentRecordCodec.writeIntents(page));
        }
        lastWriteAt = now;
        return context.state()
                .commit(txn)
                .map(outcome -> onWritten(page, writesRecord, outcome))
                .onFailure(this::onWriteFailed);
    }

    private Future<Void> readRecordRevision() {
        return context.state().get(recordKey).map(entry -> {
            recordRevision = entry == null ? Revision.ABSENT : entry.revision();
            recordRevisionUnknown = false;
            return null;
        });
    }

    private boolean onWritten(Intents.Content page, boolean recordWritten, StateClient.Outcome outcome) {
        if (outcome.executed()) {
            recordRevision = recordWritten ? outcome.writtenRevision() : Revision.ABSENT;
            writeOutcomeUnknown = false;
            intents.onRecorded(page);
            return true;
        }
        if (outcome.failedKeys().contains(RecordKeys.LEADER)) {
            onLeadershipKeyChanged();
        }
        recordRevisionUnknown = true;
        return false;
    }

    private void onWriteFailed(Throwable cause) {
        recordRevisionUnknown |= !StateClient.wasNotExecuted(cause);
        writeOutcomeUnknown |= recordRevisionUnknown;
    }
}
