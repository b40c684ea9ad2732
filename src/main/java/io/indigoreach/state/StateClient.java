package io.indigoreach.state;

import io.indigoreach.core.loss.LossDetector;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client of the state service, a consensus-backed key-value store whose transactions are compare-and-swaps. Bound to the
 * event loop of its connections. A future that fails with {@link StateRequestRejectedException} means that the service rejected
 * the request without executing it; any other failure leaves the outcome unknown.
 */
public final class StateClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;

    /** A key with its value, its revision and the lease that it is attached to, or 0 if there is none. */
    public record Entry(String key, Fields value, Revision revision, long lease) {}

    /** One page of a listing; {@code hasMore} tells whether further keys follow. */
    public record Page(List<Entry> entries, boolean hasMore, long revision) {}

    /** A change of a key; the value is null if it was deleted. */
    public record Change(String key, Fields value, Revision revision) {}

    /** The result of a watch; {@code compacted}: the revision has been compacted, so the caller reads the keys again. */
    public record Changes(List<Change> changes, long revision, boolean compacted) {}

    /**
     * The outcome of a transaction: executed at a revision, or rejected because {@code failedKeys} did not have the required
     * revision or because a lease had expired.
     */
    public record Outcome(boolean executed, long revision, List<String> failedKeys, boolean leaseEnded) {
        /** The revision of the keys that were written. */
        public Revision writtenRevision() {
            return new Revision(revision);
        }
    }

    /** One write of a transaction: a new value, attached to a lease unless that is 0, or null to delete the key. */
    public record Write(String key, Map<String, Object> value, long lease) {
        /** Whether the key is deleted. */
        public boolean isDelete() {
            return value == null;
        }
    }

    /** A mutable transaction: the revisions that keys must have, and the writes to execute if they do. */
    public static final class Txn {
        private final Map<String, Revision> conditions = new LinkedHashMap<>();
        private final List<Write> writes = new ArrayList<>();

        /** Requires that the key has this revision, or that it does not exist for {@link Revision#ABSENT}. */
        public Txn when(String key, Revision revision) {
            conditions.put(key, revision);
            return this;
        }

        /** Adds a write of a value. */
        public Txn put(String key, Map<String, Object> value) {
            return put(key, value, 0);
        }

        /** Adds a write of a value that is deleted when the lease ends. */
        public Txn put(String key, Map<String, Object> value, long lease) {
            writes.add(new Write(key, value, lease));
            return this;
        }

        /** Adds the deletion of a key. */
        public Txn delete(String key) {
            writes.add(new Write(key, null, 0));
            return this;
        }

        /** Adds the conditions and writes of an optional feature's transaction. */
        public Txn addAll(io.indigoreach.core.records.Transaction change) {
            conditions.putAll(change.conditions());
            change.writes().forEach((key, value) -> writes.add(new Write(key, value, 0)));
            return this;
        }

        /** The revision that each key must have. */
        public Map<String, Revision> conditions() {
            return conditions;
        }

        /** The writes, in order. */
        public List<Write> writes() {
            return writes;
        }

        /** The number of writes. */
        public int size() {
            return writes.size();
        }
    }

    /** The era of a deployment that has never lost data; it is below every leader's token. */
    private static final FencingToken FIRST_ERA = new FencingToken(1);

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final Span TIMEOUT = Span.seconds(2);
    private static final Span ERA_TIMEOUT = Span.seconds(1);
    private static final Span LIST_TIMEOUT = Span.seconds(4);

    private final ServiceClient requestClient;
    private final ServiceClient watchClient;
    private final StaleReadDetector staleReads = new StaleReadDetector();
    private final LossDetector losses = new LossDetector();
    private final EffectiveLimits limits = new EffectiveLimits();
    /** The revision of the era record when it was last confirmed. */
    private Revision eraRevision = Revision.ABSENT;

    private Runnable onLoss = () -> {};
    private Runnable onFailure = () -> {};
    private Future<Void> pendingEraCheck;

    /** {@code watchClient} has separate connections, because a watch request occupies its connection while it waits. */
    public StateClient(ServiceClient requestClient, ServiceClient watchClient) {
        this.requestClient = requestClient;
        this.watchClient = watchClient;
    }

    /** Detects losses of data from the revisions and eras in the responses of each transaction and each {@link #checkEra}. */
    public LossDetector losses() {
        return losses;
    }

    /** Sets the callback for each newly detected loss of data. */
    public void onLoss(Runnable callback) {
        onLoss = callback;
    }

    /** The limits of the service that rejected transactions have revealed. */
    public EffectiveLimits limits() {
        return limits;
    }

    /** Sets the callback for each request that gets no response or the status of an outage. */
    public void onFailure(Runnable callback) {
        onFailure = callback;
    }

    private Future<ServiceResponse> reportingFailure(Future<ServiceResponse> response) {
        return response.onComplete(result -> {
            if (result.failed() || result.result().status() == SERVICE_UNAVAILABLE) {
                onFailure.run();
            }
        });
    }

    private void reportLoss(boolean lost) {
        if (lost) {
            LOG.error(
                    "state data lost evidence={}",
                    losses.evidence().get(losses.evidence().size() - 1));
            onLoss.run();
        }
    }

    /** Records that a peer has reported a loss of the data of this era. */
    public void reportLossFromPeer(long era) {
        reportLoss(losses.onReportedByPeer(era));
    }

    /** Reports that a record is missing that only a loss of data can have removed. */
    public void reportMissingRecord(String key) {
        reportLoss(losses.onRecordMissing(key));
    }

    /** Compares the counter at a campaign with the highest token seen before; a lower counter shows a loss of data. */
    void compareCounter(FencingToken highestSeen, FencingToken counterToken) {
        reportLoss(losses.checkCounter(highestSeen, counterToken));
    }

    /**
     * Returns a transaction that the state service rejects if data were lost since the era was last confirmed. If this
     * process has not read the era yet, the transaction has no such condition.
     */
    public Txn transactionInEra() {
        return losses.era() == 0 ? new Txn() : new Txn().when(RecordKeys.ERA, eraRevision);
    }

    /** Whether this process has read the era, so that {@link #transactionInEra} has a condition. */
    public boolean isEraKnown() {
        return losses.era() != 0;
    }

    /**
     * Reads the era and, if it differs from the known one, confirms it by a comparison. Succeeds if the service responds to this
     * node. Concurrent callers share one request, because after a change of the era every submission in progress calls this.
     */
    public Future<Void> checkEra() {
        if (pendingEraCheck == null) {
            Future<Void> started = readEra();
            pendingEraCheck = started;
            started.onComplete(r -> pendingEraCheck = null);
            return started;
        }
        return pendingEraCheck;
    }

    private Future<Void> readEra() {
        return reportingFailure(requestClient.get(StateCodec.keyPath(RecordKeys.ERA), ERA_TIMEOUT))
                .compose(this::compareEra);
    }

    private Future<Void> compareEra(ServiceResponse response) {
        if (response.status() == TOO_MANY_REQUESTS) {
            return Future.succeededFuture();
        }
        Entry entry = response.status() == NOT_FOUND ? null : StateCodec.readEntry(requireOk(response));
        Revision revision = revisionOf(entry);
        long era = entry == null ? 0 : EraRecordCodec.readEra(entry.value());
        if (losses.era() == 0) {
            // No known era to compare with; if this read is stale, the first transaction fails.
            return entry == null ? firstEra() : adoptEra(era, revision);
        }
        if (revision.equals(eraRevision) && era == losses.era()) {
            return Future.succeededFuture();
        }
        return commit(new Txn().when(RecordKeys.ERA, revision))
                .compose(outcome -> outcome.executed() ? adoptEra(era, revision) : Future.succeededFuture());
    }

    private Future<Void> adoptEra(long era, Revision revision) {
        reportLoss(losses.era(era));
        if (!losses.isLossPending()) {
            eraRevision = revision;
        }
        return Future.succeededFuture();
    }

    /**
     * Writes the first era if no era record exists. If the record was lost instead, the other controllers see an era below the
     * one that they know and report the loss.
     */
    private Future<Void> firstEra() {
        return commit(new Txn()
                        .when(RecordKeys.ERA, Revision.ABSENT)
                        .put(RecordKeys.ERA, EraRecordCodec.writeEra(FIRST_ERA)))
                .compose(outcome -> outcome.executed()
                        ? adoptEra(FIRST_ERA.value(), outcome.writtenRevision())
                        : Future.succeededFuture());
    }

    /** The revision of an entry; {@link Revision#ABSENT} if it is null. */
    static Revision revisionOf(Entry entry) {
        return entry == null ? Revision.ABSENT : entry.revision();
    }

    /** Reads the entry of a key; null if there is none. */
    public Future<Entry> get(String key) {
        long knownWhenSent = staleReads.highestRevision();
        return reportingFailure(requestClient.get(StateCodec.keyPath(key), TIMEOUT))
                .map(response -> {
                    if (response.status() == NOT_FOUND) {
                        staleReads.observe(knownWhenSent, StateCodec.readRevision(response.body()));
                        return null;
                    }
                    return StateCodec.readEntry(requireOk(response));
                });
    }

    /** Lists up to {@code limit} entries with a prefix, starting after a key, or from the first if it is null. */
    public Future<Page> list(String prefix, String after, int limit) {
        long knownWhenSent = staleReads.highestRevision();
        return reportingFailure(requestClient.get(StateCodec.listPath(prefix, after, limit), LIST_TIMEOUT))
                .map(response -> {
                    Page page = StateCodec.readPage(requireOk(response));
                    staleReads.observe(knownWhenSent, page.revision());
                    return page;
                });
    }

    /** Whether a read must be confirmed, because the service has recently returned stale data. Counts as one read. */
    public boolean shouldConfirmRead() {
        return staleReads.shouldConfirm();
    }

    /**
     * Whether these keys have these revisions now. Executes a transaction that only compares: unlike a read, it cannot return
     * stale data. A failed comparison indicates that an earlier read was stale.
     */
    public Future<Boolean> confirm(Txn comparison) {
        return commit(comparison).map(outcome -> {
            if (!outcome.executed() && !outcome.failedKeys().equals(List.of(RecordKeys.ERA))) {
                staleReads.suspectReads();
            }
            return outcome.executed();
        });
    }

    /** Executes a transaction; fails with {@link TransactionRejectedException} if it can never be executed unchanged. */
    public Future<Outcome> commit(Txn txn) {
        long knownWhenSent = staleReads.highestRevision();
        return reportingFailure(requestClient.post(StateCodec.TXN, StateCodec.writeTxn(txn), TIMEOUT))
                .map(response -> outcome(txn, knownWhenSent, response));
    }

    private Outcome outcome(Txn txn, long knownWhenSent, ServiceResponse response) {
        if (response.status() == OK) {
            return committed(knownWhenSent, StateCodec.readRevision(response.body()));
        }
        if (response.status() == CONFLICT) {
            Outcome failed = StateCodec.readConflict(response.body());
            staleReads.observe(0, failed.revision());
            return failed;
        }
        if (response.status() == BAD_REQUEST
                && StateCodec.NO_SUCH_LEASE.equals(response.body().optionalText("error"))) {
            return new Outcome(false, 0, List.of(), true);
        }
        if (response.status() == BAD_REQUEST) {
            limits.transactionRejected(txn);
            throw new TransactionRejectedException(BAD_REQUEST);
        }
        throw new StateRequestRejectedException(response.status());
    }

    /** {@code knownWhenSent}: the highest revision seen when the transaction was sent; a lower {@code revision} shows a loss of data. */
    private Outcome committed(long knownWhenSent, long revision) {
        boolean lost = losses.checkRevision(knownWhenSent, revision);
        staleReads.observe(0, revision);
        if (revision < knownWhenSent) {
            staleReads.restartAt(revision);
        }
        reportLoss(lost);
        return new Outcome(true, revision, List.of(), false);
    }

    /** Requests a lease that expires after {@code leaseTime} unless it is renewed. */
    public Future<Long> grantLease(Span leaseTime) {
        return requestClient
                .post(StateCodec.LEASES, StateCodec.writeLeaseTime(leaseTime), TIMEOUT)
                .map(r -> StateCodec.readLease(requireOk(r)));
    }

    /** Renews a lease; false if it has ended. */
    public Future<Boolean> renewLease(long lease, Span timeout) {
        return requestClient
                .post(StateCodec.leasePath(lease) + StateCodec.RENEW, Map.of(), timeout)
                .map(response -> {
                    if (response.status() == NOT_FOUND) {
                        return false;
                    }
                    requireOk(response);
                    return true;
                });
    }

    /** Revokes a lease, which deletes the keys attached to it. */
    public Future<Void> revokeLease(long lease) {
        return requestClient.delete(StateCodec.leasePath(lease), TIMEOUT).mapEmpty();
    }

    /** Returns the changes of keys with a prefix after a revision, waiting up to {@code wait} for the first. */
    public Future<Changes> watch(String prefix, long since, Span wait) {
        return watchClient
                .get(StateCodec.watchPath(prefix, since, wait), wait.plus(TIMEOUT))
                .map(r -> r.status() == GONE ? new Changes(List.of(), 0, true) : StateCodec.readChanges(requireOk(r)));
    }

    private static Fields requireOk(ServiceResponse response) {
        if (response.status() == OK) {
            return response.body();
        }
        throw new StateRequestRejectedException(response.status());
    }

    /** Whether a failure shows that the request was not executed. */
    public static boolean wasNotExecuted(Throwable failure) {
        return failure instanceof StateRequestRejectedException;
    }
}
