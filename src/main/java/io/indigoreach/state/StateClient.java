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
 * event loop of its connections. A failed future means that the outcome is unknown or that the
 * request was refused and surely not executed ({@link StateRequestRejectedException}).
 */
public final class StateClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;

    /** A key with its value, its version and the lease that it is attached to, or 0. */
    public record Entry(String key, Fields value, Revision revision, long lease) {}

    /** A page of a listing. */
    public record Page(List<Entry> entries, boolean hasMore, long revision) {}

    /** A change of a key; the value is null if it was deleted. */
    public record Change(String key, Fields value, Revision revision) {}

    /** What a watch brought; {@code tooOld}: the keys are to be read again. */
    public record Changes(List<Change> changes, long revision, boolean compacted) {}

    /** A transaction's outcome: done at a revision, or the keys that did not have the given version. */
    public record Outcome(boolean executed, long revision, List<String> failedKeys, boolean leaseEnded) {
        /** The revision of the keys that were written. */
        public Revision writtenRevision() {
            return new Revision(revision);
        }
    }

    /** One change of a transaction: a new value, attached to a lease unless that is 0, or null to delete the key. */
    public record Write(String key, Map<String, Object> value, long lease) {
        /** Whether the key is deleted. */
        public boolean isDelete() {
            return value == null;
        }
    }

    /** A transaction being put together: versions that keys must have, and what is then written. */
    public static final class Txn {
        private final Map<String, Revision> conditions = new LinkedHashMap<>();
        private final List<Write> writes = new ArrayList<>();

        /** Only if the key has this revision; {@link Revision#ABSENT}: only if it is absent. */
        public Txn when(String key, Revision revision) {
            conditions.put(key, revision);
            return this;
        }

        /** Writes a value. */
        public Txn put(String key, Map<String, Object> value) {
            return put(key, value, 0);
        }

        /** Writes a value that is deleted when the lease ends. */
        public Txn put(String key, Map<String, Object> value, long lease) {
            writes.add(new Write(key, value, lease));
            return this;
        }

        /** Deletes a key. */
        public Txn delete(String key) {
            writes.add(new Write(key, null, 0));
            return this;
        }

        /** With what a part beside the jobs writes, and depends on. */
        public Txn addAll(io.indigoreach.core.records.Transaction change) {
            conditions.putAll(change.conditions());
            change.writes().forEach((key, value) -> writes.add(new Write(key, value, 0)));
            return this;
        }

        /** The revision that each key must have. */
        public Map<String, Revision> conditions() {
            return conditions;
        }

        /** What is written, in order. */
        public List<Write> writes() {
            return writes;
        }

        /** How many keys are written. */
        public int size() {
            return writes.size();
        }
    }

    /** The era of a deployment in which nothing was ever lost: below every leader's token. */
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
    /** The era's version as it was last confirmed. */
    private Revision eraRevision = Revision.ABSENT;

    private Runnable onLoss = () -> {};
    private Runnable onFailure = () -> {};
    private Future<Void> pendingCheck;

    /** Watches stay open, so they have connections of their own. */
    public StateClient(ServiceClient requestClient, ServiceClient watchClient) {
        this.requestClient = requestClient;
        this.watchClient = watchClient;
    }

    /** What is known of losses of data; judged anew with each transaction and each {@link #check}. */
    public LossDetector losses() {
        return losses;
    }

    /** Called when a loss is found that was not known. */
    public void onLoss(Runnable callback) {
        onLoss = callback;
    }

    /** What the service's refusals have shown of its limits. */
    public EffectiveLimits limits() {
        return limits;
    }

    /** Called when a request gets no answer or is refused as in an outage. */
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

    /** Another controller says that data of this era were lost. */
    public void reportLossFromPeer(long era) {
        reportLoss(losses.onReportedByPeer(era));
    }

    /** A record that only a loss can have removed is gone. */
    public void reportMissingRecord(String key) {
        reportLoss(losses.onRecordMissing(key));
    }

    /** A leadership was taken with a counter below a token that had been in use. */
    void compareCounter(FencingToken highestSeen, FencingToken counterToken) {
        reportLoss(losses.checkCounter(highestSeen, counterToken));
    }

    /**
     * A condition under which nothing was lost since the era was last confirmed. A process that has just started knows none:
     * whatever is there is the content to it.
     */
    public Txn transactionInEra() {
        return losses.era() == 0 ? new Txn() : new Txn().when(RecordKeys.ERA, eraRevision);
    }

    /** Whether {@link #transactionInEra} says anything: this process has read the era. */
    public boolean isEraKnown() {
        return losses.era() != 0;
    }

    /**
     * Succeeds if the service answers requests of this node. Reads the era, and where it is not the known one, makes sure by
     * comparing. Who asks while another asks gets the same answer: after a change every submission under way comes here.
     */
    public Future<Void> checkEra() {
        if (pendingCheck == null) {
            Future<Void> started = readEra();
            pendingCheck = started;
            started.onComplete(r -> pendingCheck = null);
            return started;
        }
        return pendingCheck;
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
            // Nothing is known to compare with; a stale answer fails in the first transaction.
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
     * A new deployment, as far as this process can know. Whoever knows better sees a lower era than there was, and says so.
     */
    private Future<Void> firstEra() {
        return commit(new Txn()
                        .when(RecordKeys.ERA, Revision.ABSENT)
                        .put(RecordKeys.ERA, EraRecordCodec.writeEra(FIRST_ERA)))
                .compose(outcome -> outcome.executed()
                        ? adoptEra(FIRST_ERA.value(), outcome.writtenRevision())
                        : Future.succeededFuture());
    }

    /** The version of what was read; {@link Revision#ABSENT} if nothing was there. */
    static Revision revisionOf(Entry entry) {
        return entry == null ? Revision.ABSENT : entry.revision();
    }

    /** The entry of a key; null if there is none. */
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

    /** Up to {@code most} entries with a prefix, after a key or from the first if that is null. */
    public Future<Page> list(String prefix, String after, int limit) {
        long knownWhenSent = staleReads.highestRevision();
        return reportingFailure(requestClient.get(StateCodec.listPath(prefix, after, limit), LIST_TIMEOUT))
                .map(response -> {
                    Page page = StateCodec.readPage(requireOk(response));
                    staleReads.observe(knownWhenSent, page.revision());
                    return page;
                });
    }

    /** Whether the service has lately answered with what was there before something it had told already. */
    public boolean shouldConfirmRead() {
        return staleReads.shouldConfirm();
    }

    /**
     * Whether these keys have these versions at this moment: by a transaction that only compares, which unlike a read
     * cannot be answered with the past. A failed comparison is a sign that a read was.
     */
    public Future<Boolean> confirm(Txn comparison) {
        return commit(comparison).map(outcome -> {
            if (!outcome.executed() && !outcome.failedKeys().equals(List.of(RecordKeys.ERA))) {
                staleReads.suspectReads();
            }
            return outcome.executed();
        });
    }

    /** Executes a compare-and-swap; fails with {@link TransactionRejectedException} if it can never be executed as it is. */
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

    /** {@code known}: the highest revision seen when the transaction was sent; a lower one now shows a loss of data. */
    private Outcome committed(long knownWhenSent, long revision) {
        boolean lost = losses.checkRevision(knownWhenSent, revision);
        staleReads.observe(0, revision);
        if (revision < knownWhenSent) {
            staleReads.restartAt(revision);
        }
        reportLoss(lost);
        return new Outcome(true, revision, List.of(), false);
    }

    /** Requests a lease. */
    public Future<Long> grantLease(Span leaseTime) {
        return requestClient
                .post(StateCodec.LEASES, StateCodec.writeLeaseTime(leaseTime), TIMEOUT)
                .map(r -> StateCodec.readLease(requireOk(r)));
    }

    /** Whether the lease goes on; false if it has ended. */
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

    /** Ends a lease, and deletes the keys attached to it. */
    public Future<Void> revokeLease(long lease) {
        return requestClient.delete(StateCodec.leasePath(lease), TIMEOUT).mapEmpty();
    }

    /** The changes of keys with a prefix after a revision; waits for the first at most {@code wait}. */
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

    /** Whether a failure says that the request surely was not executed. */
    public static boolean wasNotExecuted(Throwable failure) {
        return failure instanceof StateRequestRejectedException;
    }
}
