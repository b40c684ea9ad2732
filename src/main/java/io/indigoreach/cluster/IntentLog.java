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
 * The record of a leader's {@link Intents}: one key of its own, each write conditional on the leadership key and on the
 * record's version, so that a leader that was replaced cannot add to it. Records of earlier leaders are read at a failover and
 * removed when everything in them is completed. Bound to the node's event loop.
 *
 * <p>Guards against a write without an answer that is executed late: the leader's own record is emptied and never removed, as a
 * write made while it was absent would bring back completed requests, and the next leader would repeat them. Nor is a
 * write without an answer the last one: what it contains may have been given up meanwhile.
 */
final class IntentLog {
    /** Between writes that only remove what is completed. */
    private static final Span CLEANUP_INTERVAL = Span.seconds(2);

    private static final int EMPTY_RECORD_BYTES =
            JsonSize.of(IntentRecordCodec.writeIntents(new Intents.Page(List.of(), List.of())));

    private final NodeContext context;
    private final Revision leadershipRevision;
    private final Runnable onDeposed;
    private final RateLimiter writeLimiter;
    private final String ownKey;
    private final Intents intents = new Intents(new HalfOfRecordEach());
    /** Earlier leaders' records, with their versions. */
    private final Map<String, Revision> earlierRecords = new LinkedHashMap<>();

    private boolean cancelled;
    private Revision ownRevision = Revision.ABSENT;
    /** The own record's version must be read before the next write. */
    private boolean revisionUnknown;
    /** A write was not answered, and may be executed at any time until a later one has been. */
    private boolean writeUnanswered;

    private Future<Boolean> writeInProgress;
    private Moment lastWriteAt = Moment.NEVER;

    /** {@code onDeposed}: called when a write shows that another node leads. */
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
        this.ownKey = RecordKeys.intentsKey(token);
    }

    /** Requests to rent and machines to be returned may fill half of the record's value each. */
    private final class HalfOfRecordEach implements Intents.Size {
        private int half() {
            return (context.limits().maxRecordBytes() - EMPTY_RECORD_BYTES) / 2;
        }

        @Override
        public boolean hasRoomForRent(Collection<Intents.Rent> rents, Intents.Rent next) {
            int used = rents.stream().mapToInt(IntentRecordCodec::bytes).sum();
            return used + IntentRecordCodec.bytes(next) <= half();
        }

        @Override
        public boolean hasRoomForReturn(Collection<MachineId> returns, MachineId next) {
            int used = returns.stream().mapToInt(IntentRecordCodec::bytes).sum();
            return used + IntentRecordCodec.bytes(next) <= half();
        }
    }

    /**
     * Ends this leadership's use of the log. Guards against a write that fails late, when the same node leads again under a new key: that
     * leadership goes on.
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

    /** What earlier leaders had in progress. */
    Future<Intents.Page> load() {
        List<Intents.Rent> rents = new ArrayList<>();
        List<MachineId> returns = new ArrayList<>();
        earlierRecords.clear();
        return RecordListing.readAll(context.state(), leadershipRevision, RecordKeys.INTENTS, entry -> {
                    Intents.Page page = IntentRecordCodec.readIntents(entry.value());
                    rents.addAll(page.rents());
                    returns.addAll(page.returns());
                    earlierRecords.put(entry.key(), entry.revision());
                })
                .map(revision -> new Intents.Page(rents, returns));
    }

    /** Removes earlier leaders' records, as everything in them is completed; as many at a time as a transaction takes. */
    Future<Void> forgetEarlier() {
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
                    onEarlierRemoved(keys, outcome);
                    return (Void) null;
                })
                .otherwiseEmpty();
    }

    private void onEarlierRemoved(List<String> keys, StateClient.Outcome outcome) {
        if (outcome.done()) {
            keys.forEach(earlierRecords::remove);
        } else if (outcome.failed().contains(RecordKeys.LEADER)) {
            onLeadershipKeyChanged();
        } else {
            // Removed by a write whose answer was lost, or added to by a leader that had not been replaced then.
            outcome.failed().forEach(earlierRecords::remove);
        }
    }

    /**
     * Writes the intents if need be. True when the record contains all of them, false if it cannot be written now; one write at a
     * time.
     */
    Future<Boolean> record() {
        if (writeInProgress != null) {
            return writeInProgress.transform(result -> record());
        }
        writeInProgress = writeIfNeeded();
        Future<Boolean> begun = writeInProgress;
        begun.onComplete(result -> writeInProgress = null);
        return begun;
    }

    private Future<Boolean> writeIfNeeded() {
        Moment now = context.clock().now();
        if (intents.isUnrecorded()) {
            return writeLimiter.tryAcquire(1, now) ? write(now) : Future.succeededFuture(false);
        }
        boolean cleanup = (writeUnanswered || intents.isOutdated())
                && now.since(lastWriteAt).compareTo(CLEANUP_INTERVAL) >= 0
                && writeLimiter.tryAcquireSpare(1, now);
        return cleanup ? write(now).map(true).otherwise(true) : Future.succeededFuture(true);
    }

    private Future<Boolean> write(Moment now) {
        if (revisionUnknown) {
            return readOwnRevision().map(false);
        }
        Intents.Page page = intents.page();
        // An absent record stays absent as long as there is nothing to record; the conditions are checked all the same.
        boolean puts = writeUnanswered || !page.isEmpty() || !ownRevision.equals(Revision.ABSENT);
        StateClient.Txn txn = new StateClient.Txn()
                .when(RecordKeys.LEADER, leadershipRevision)
                .when(ownKey, ownRevision);
        if (puts) {
            txn.put(ownKey, IntentRecordCodec.writeIntents(page));
        }
        lastWriteAt = now;
        return context.state()
                .commit(txn)
                .map(outcome -> onWritten(page, puts, outcome))
                .onFailure(this::onWriteFailed);
    }

    private Future<Void> readOwnRevision() {
        return context.state().get(ownKey).map(entry -> {
            ownRevision = entry == null ? Revision.ABSENT : entry.revision();
            revisionUnknown = false;
            return null;
        });
    }

    private boolean onWritten(Intents.Page page, boolean puts, StateClient.Outcome outcome) {
        if (outcome.done()) {
            ownRevision = puts ? outcome.writtenRevision() : Revision.ABSENT;
            writeUnanswered = false;
            intents.recorded(page);
            return true;
        }
        if (outcome.failed().contains(RecordKeys.LEADER)) {
            onLeadershipKeyChanged();
        }
        revisionUnknown = true;
        return false;
    }

    private void onWriteFailed(Throwable cause) {
        revisionUnknown |= !StateClient.surelyNotExecuted(cause);
        writeUnanswered |= revisionUnknown;
    }
}
