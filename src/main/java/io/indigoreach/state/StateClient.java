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
    private static final int MALFORMED = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;

    /** A key with its value, its version and the lease that it is attached to, or 0. */
    public record Entry(String key, Fields value, Revision revision, long lease) {}

    /** A page of a listing. */
    public record Page(List<Entry> items, boolean more, long revision) {}

    /** A change of a key; the value is null if it was deleted. */
    public record Change(String key, Fields value, Revision revision) {}

    /** What a watch brought; {@code tooOld}: the keys are to be read again. */
    public record Changes(List<Change> changes, long revision, boolean tooOld) {}

    /** A transaction's outcome: done at a revision, or the keys that did not have the given version. */
    public record Outcome(boolean done, long revision, List<String> failed, boolean leaseGone) {
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
        public Txn and(io.indigoreach.core.records.Transaction change) {
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
    private static final FencingToken FIRST = new FencingToken(1);

    private static final int OUTAGE = 503;
    private static final Span TIMEOUT = Span.seconds(2);
    private static final Span ERA_TIMEOUT = Span.seconds(1);
    private static final Span LIST_TIMEOUT = Span.seconds(4);

    private final ServiceClient caller;
    private final ServiceClient watcher;
    private final StaleReadDetector staleReads = new StaleReadDetector();
    private final LossDetector losses = new LossDetector();
    private final EffectiveLimits limits = new EffectiveLimits();
    /** The era's version as it was last confirmed. */
    private Revision eraRevision = Revision.ABSENT;

    private Runnable onLoss = () -> {};
    private Runnable onFailure = () -> {};
    private Future<Void> pendingCheck;

    /** Watches stay open, so they have connections of their own. */
    public StateClient(ServiceClient caller, ServiceClient watcher) {
        this.caller = caller;
        this.watcher = watcher;
    }

    /** What is known of losses of data; judged anew with each transaction and each {@link #check}. */
    public LossDetector losses() {
        return losses;
    }

    /** Called when a loss is found that was not known. */
    public void onLoss(Runnable what) {
        onLoss = what;
    }

    /** What the service's refusals have shown of its limits. */
    public EffectiveLimits limits() {
        return limits;
    }

    /** Called when a request gets no answer or is refused as in an outage. */
    public void onFailure(Runnable what) {
        onFailure = what;
    }

    private Future<ServiceResponse> reportingFailure(Future<ServiceResponse> asked) {
        return asked.onComplete(r -> {
            if (r.failed() || r.result().status() == OUTAGE) {
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
    public void lossReportedByPeer(long era) {
        reportLoss(losses.onReportedByPeer(era));
    }

    /** A record that only a loss can have removed is gone. */
    public void recordMissing(String key) {
        reportLoss(losses.onRecordMissing(key));
    }

    /** A leadership was taken with a counter below a token that had been in use. */
    void compareCounter(FencingToken seen, FencingToken counted) {
        reportLoss(losses.checkCounter(seen, counted));
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
    public Future<Void> check() {
        if (pendingCheck == null) {
            Future<Void> begun = readEra();
            pendingCheck = begun;
            begun.onComplete(r -> pendingCheck = null);
            return begun;
        }
        return pendingCheck;
    }

    private Future<Void> readEra() {
        return reportingFailure(caller.get(StateCodec.keyPath(RecordKeys.ERA), ERA_TIMEOUT))
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
                .compose(outcome -> outcome.done() ? adoptEra(era, revision) : Future.succeededFuture());
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
                        .put(RecordKeys.ERA, EraRecordCodec.writeEra(FIRST)))
                .compose(outcome ->
                        outcome.done() ? adoptEra(FIRST.value(), outcome.writtenRevision()) : Future.succeededFuture());
    }

    /** The version of what was read; {@link Revision#ABSENT} if nothing was there. */
    static Revision revisionOf(Entry entry) {
        return entry == null ? Revision.ABSENT : entry.revision();
    }

    /** The entry of a key; null if there is none. */
    public Future<Entry> get(String key) {
        long known = staleReads.highest();
        return reportingFailure(caller.get(StateCodec.keyPath(key), TIMEOUT)).map(r -> {
            if (r.status() == NOT_FOUND) {
                staleReads.observe(known, StateCodec.readRevision(r.body()));
                return null;
            }
            return StateCodec.readEntry(requireOk(r));
        });
    }

    /** Up to {@code most} entries with a prefix, after a key or from the first if that is null. */
    public Future<Page> list(String prefix, String after, int most) {
        long known = staleReads.highest();
        return reportingFailure(caller.get(StateCodec.listPath(prefix, after, most), LIST_TIMEOUT))
                .map(r -> {
                    Page page = StateCodec.readPage(requireOk(r));
                    staleReads.observe(known, page.revision());
                    return page;
                });
    }

    /** Whether the service has lately answered with what was there before something it had told already. */
    public boolean areReadsSuspect() {
        return staleReads.shouldConfirm();
    }

    /**
     * Whether these keys have these versions at this moment: by a transaction that only compares, which unlike a read
     * cannot be answered with the past. A failed comparison is a sign that a read was.
     */
    public Future<Boolean> confirm(Txn comparison) {
        return commit(comparison).map(outcome -> {
            if (!outcome.done() && !outcome.failed().equals(List.of(RecordKeys.ERA))) {
                staleReads.suspectReads();
            }
            return outcome.done();
        });
    }

    /** Executes a compare-and-swap; fails with {@link TransactionRejectedException} if it can never be executed as it is. */
    public Future<Outcome> commit(Txn txn) {
        long known = staleReads.highest();
        return reportingFailure(caller.post(StateCodec.TXN, StateCodec.writeTxn(txn), TIMEOUT))
                .map(response -> outcome(txn, known, response));
    }

    private Outcome outcome(Txn txn, long known, ServiceResponse response) {
        if (response.status() == OK) {
            return committed(known, StateCodec.readRevision(response.body()));
        }
        if (response.status() == CONFLICT) {
            Outcome failed = StateCodec.readConflict(response.body());
            staleReads.observe(0, failed.revision());
            return failed;
        }
        if (response.status() == MALFORMED
                && StateCodec.NO_SUCH_LEASE.equals(response.body().optionalText("error"))) {
            return new Outcome(false, 0, List.of(), true);
        }
        if (response.status() == MALFORMED) {
            limits.transactionRefused(txn);
            throw new TransactionRejectedException(MALFORMED);
        }
        throw new StateRequestRejectedException(response.status());
    }

    /** {@code known}: the highest revision seen when the transaction was sent; a lower one now shows a loss of data. */
    private Outcome committed(long known, long revision) {
        boolean lost = losses.checkRevision(known, revision);
        staleReads.observe(0, revision);
        if (revision < known) {
            staleReads.restartAt(revision);
        }
        reportLoss(lost);
        return new Outcome(true, revision, List.of(), false);
    }

    /** Requests a lease. */
    public Future<Long> grant(Span life) {
        return caller.post(StateCodec.LEASES, StateCodec.writeLife(life), TIMEOUT)
                .map(r -> StateCodec.readLease(requireOk(r)));
    }

    /** Whether the lease goes on; false if it has ended. */
    public Future<Boolean> renew(long lease, Span patience) {
        return caller.post(StateCodec.leasePath(lease) + StateCodec.RENEW, Map.of(), patience)
                .map(r -> {
                    if (r.status() == NOT_FOUND) {
                        return false;
                    }
                    requireOk(r);
                    return true;
                });
    }

    /** Ends a lease, and deletes the keys attached to it. */
    public Future<Void> drop(long lease) {
        return caller.delete(StateCodec.leasePath(lease), TIMEOUT).mapEmpty();
    }

    /** The changes of keys with a prefix after a revision; waits for the first at most {@code wait}. */
    public Future<Changes> watch(String prefix, long since, Span wait) {
        return watcher.get(StateCodec.watchPath(prefix, since, wait), wait.plus(TIMEOUT))
                .map(r -> r.status() == GONE ? new Changes(List.of(), 0, true) : StateCodec.readChanges(requireOk(r)));
    }

    private static Fields requireOk(ServiceResponse reply) {
        if (reply.status() == OK) {
            return reply.body();
        }
        throw new StateRequestRejectedException(reply.status());
    }

    /** Whether a failure says that the request surely was not executed. */
    public static boolean surelyNotExecuted(Throwable failure) {
        return failure instanceof StateRequestRejectedException;
    }
}
