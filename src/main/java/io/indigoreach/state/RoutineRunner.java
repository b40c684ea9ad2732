package io.indigoreach.state;

import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.records.RecordCache;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.StepResult;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs the {@link Routine}s of optional features against the state service, on the event loop of its Vert.x instance. Every write is made only in the era that this process knows, and what
 * is absent is said to be so only when a transaction has compared it in that era; while a loss of data is not mended nothing is
 * read or written at all, since "not there" would mean "lost". What is read or written is remembered for rebuilding.
 */
public final class RoutineRunner {
    private static final int READ_AT_ONCE = 8;
    private static final int MAX_ATTEMPTS = 3;
    private static final Span PACE = Span.seconds(0.1);

    private final Vertx vertx;
    private final StateClient state;
    private final SteadyClock clock;
    private final RecordCache copies;
    /** Key and version of the leadership for which this writes; null where any node may. */
    private final VersionedRecord leadership;

    private final RateLimiter budget;

    /** Runs routines for any node, without a limit on its requests. */
    public RoutineRunner(Vertx vertx, StateClient state, SteadyClock clock, RecordCache copies) {
        this(vertx, state, clock, copies, null, null);
    }

    private RoutineRunner(
            Vertx vertx,
            StateClient state,
            SteadyClock clock,
            RecordCache copies,
            VersionedRecord leadership,
            RateLimiter budget) {
        this.vertx = vertx;
        this.state = state;
        this.clock = clock;
        this.copies = copies;
        this.leadership = leadership;
        this.budget = budget;
    }

    /** The same for a leader: writes depend on its key, and take only what the leader's budget has to spare. */
    public RoutineRunner leading(String key, Revision revision, RateLimiter spare) {
        return new RoutineRunner(vertx, state, clock, copies, new VersionedRecord(key, null, revision), spare);
    }

    /** The same, with no more changes than half of a budget has to spare: what people ask of a part comes behind jobs. */
    public RoutineRunner within(RateLimiter spare) {
        return new RoutineRunner(vertx, state, clock, copies, null, spare);
    }

    /** This node's copies of the records. */
    public RecordCache copies() {
        return copies;
    }

    /** Fails if the state service does not answer, has lost data, or this node's leadership has ended. */
    public <R> Future<R> run(Routine<R> routine) {
        return state.losses().era() == 0 ? state.check().compose(v -> begin(routine)) : begin(routine);
    }

    private <R> Future<R> begin(Routine<R> routine) {
        return step(routine, StepResult.nothing(state.losses().era(), clock.timeOfDay()));
    }

    private <R> Future<R> step(Routine<R> routine, StepResult seen) {
        if (state.losses().isHolding()) {
            return Future.failedFuture(new WireException("data were lost, and are not rebuilt yet"));
        }
        Step<R> next = routine.next(seen);
        if (next instanceof Step.End<R> end) {
            return Future.succeededFuture(end.result());
        }
        Future<StepResult> done;
        if (next instanceof Step.Read<R> read) {
            done = read(read.keys(), 0, new LinkedHashMap<>());
        } else if (next instanceof Step.Scan<R> scan) {
            done = scan(scan.prefix(), scan.after(), scan.most());
        } else {
            done = write(((Step.Write<R>) next).change(), 1);
        }
        return done.compose(s -> step(routine, s));
    }

    private StepResult seen(Map<String, VersionedRecord> records, boolean more) {
        return new StepResult(state.losses().era(), clock.timeOfDay(), records, more, null, List.of());
    }

    private Future<StepResult> read(List<String> keys, int from, Map<String, VersionedRecord> into) {
        if (from >= keys.size()) {
            return Future.succeededFuture(seen(into, false));
        }
        List<String> some = keys.subList(from, Math.min(keys.size(), from + READ_AT_ONCE));
        return readSome(some, 1).compose(read -> {
            read.forEach(k -> into.put(k.key(), k));
            // Hundreds of reads at once would be refused, and leases' renewals with them.
            return from + READ_AT_ONCE < keys.size() && budget != null
                    ? pause().compose(v -> read(keys, from + READ_AT_ONCE, into))
                    : read(keys, from + READ_AT_ONCE, into);
        });
    }

    private Future<List<VersionedRecord>> readSome(List<String> keys, int attempt) {
        List<Future<VersionedRecord>> reads = new ArrayList<>();
        keys.forEach(key -> reads.add(state.get(key).map(entry -> versioned(key, entry))));
        return Future.all(reads).compose(all -> confirmSuspect(keys, all.list(), attempt));
    }

    private static VersionedRecord versioned(String key, StateClient.Entry entry) {
        return entry == null
                ? VersionedRecord.absent(key)
                : new VersionedRecord(key, entry.value().map(), entry.revision());
    }

    /** Confirms by a compare-and-swap what may be a stale read: absent records, and ones older than this node's copies. */
    private Future<List<VersionedRecord>> confirmSuspect(List<String> keys, List<VersionedRecord> read, int attempt) {
        List<VersionedRecord> suspect = read.stream()
                .filter(record -> !record.exists() || state.areReadsSuspect() || isOlderThanCopy(record))
                .toList();
        if (suspect.isEmpty()) {
            read.forEach(copies::add);
            return Future.succeededFuture(read);
        }
        // Decided by what was known before the comparison was sent: what another routine writes meanwhile is newer.
        List<VersionedRecord> older =
                suspect.stream().filter(this::isOlderThanCopy).toList();
        StateClient.Txn comparison = state.transactionInEra();
        suspect.forEach(record -> comparison.when(record.key(), record.revision()));
        return state.confirm(comparison)
                .compose(confirmed -> confirmed ? acceptConfirmed(read, older) : readAgain(keys, attempt));
    }

    private Future<List<VersionedRecord>> readAgain(List<String> keys, int attempt) {
        return attempt < MAX_ATTEMPTS
                ? state.check().compose(v -> readSome(keys, attempt + 1))
                : Future.failedFuture(new WireException("the records change at this moment"));
    }

    private Future<List<VersionedRecord>> acceptConfirmed(List<VersionedRecord> read, List<VersionedRecord> older) {
        older.forEach(this::lost);
        if (state.losses().isHolding()) {
            return Future.failedFuture(new WireException("data were lost"));
        }
        read.forEach(copies::add);
        return Future.succeededFuture(read);
    }

    private boolean isOlderThanCopy(VersionedRecord read) {
        VersionedRecord copy = copies.get(read.key());
        return copy != null && read.version() < copy.version();
    }

    /** It surely is older than what was acknowledged: only another family's way of removing records explains it. */
    private void lost(VersionedRecord read) {
        RecordFamily family = copies.familyOf(read.key());
        if (family.permanent() || read.exists()) {
            state.recordMissing(read.key());
        } else {
            copies.remove(read.key());
        }
    }

    private Future<StepResult> scan(String prefix, String after, int most) {
        return state.list(prefix, after, most).map(page -> {
            Map<String, VersionedRecord> found = new LinkedHashMap<>();
            page.items().forEach(entry -> {
                VersionedRecord record = versioned(entry.key(), entry);
                found.put(entry.key(), record);
                // A listing may be stale: it is returned as it is, and writes depend on the revisions in it.
                copies.add(record);
            });
            return seen(found, page.more());
        });
    }

    private Future<Void> pause() {
        Promise<Void> later = Promise.promise();
        vertx.setTimer(PACE.ms(), t -> later.complete());
        return later.future();
    }

    private Future<StepResult> write(Transaction change, int attempt) {
        if (budget != null && !budget.tryAcquireSpare(change.writes().size(), clock.now())) {
            return pause().compose(v -> write(change, attempt));
        }
        StateClient.Txn txn = state.transactionInEra().and(change);
        if (leadership != null) {
            txn.when(leadership.key(), leadership.revision());
        }
        return state.commit(txn).compose(outcome -> {
            if (outcome.done()) {
                written(change, outcome.writtenRevision());
                return Future.succeededFuture(new StepResult(
                        state.losses().era(),
                        clock.timeOfDay(),
                        Map.of(),
                        false,
                        outcome.writtenRevision(),
                        List.of()));
            }
            if (leadership != null && outcome.failed().contains(leadership.key())) {
                return Future.failedFuture(new WireException("another node leads"));
            }
            if (outcome.failed().equals(List.of(RecordKeys.ERA)) && attempt < MAX_ATTEMPTS) {
                return state.check().compose(v -> write(change, attempt + 1));
            }
            return Future.succeededFuture(
                    new StepResult(state.losses().era(), clock.timeOfDay(), Map.of(), false, null, outcome.failed()));
        });
    }

    /** A change that went with another transaction is done. */
    public void written(Transaction change, Revision revision) {
        change.writes().forEach((key, value) -> {
            if (value == null) {
                copies.remove(key);
            } else {
                copies.add(new VersionedRecord(key, value, revision));
            }
        });
    }
}
