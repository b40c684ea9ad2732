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
 * Runs the {@link Routine}s of optional features against the state service, on the event loop of its Vert.x instance. Every write
 * is conditional on the era that this process knows, and a record is reported as absent only after a transaction has confirmed
 * it in that era. While a loss of data is not rebuilt, routines fail, because a missing record may have been lost. Records that
 * were read or written are cached, so that a lost one can be rebuilt.
 */
public final class RoutineRunner {
    private static final int MAX_CONCURRENT_READS = 8;
    private static final int MAX_ATTEMPTS = 3;
    private static final Span PAUSE_TIME = Span.seconds(0.1);

    private final Vertx vertx;
    private final StateClient state;
    private final SteadyClock clock;
    private final RecordCache cache;
    /** The key and revision of the leadership that writes depend on; null if any node may write. */
    private final VersionedRecord leadership;

    private final RateLimiter budget;

    /** Creates a runner whose writes do not require leadership and whose requests are not rate-limited. */
    public RoutineRunner(Vertx vertx, StateClient state, SteadyClock clock, RecordCache cache) {
        this(vertx, state, clock, cache, null, null);
    }

    private RoutineRunner(
            Vertx vertx,
            StateClient state,
            SteadyClock clock,
            RecordCache cache,
            VersionedRecord leadership,
            RateLimiter budget) {
        this.vertx = vertx;
        this.state = state;
        this.clock = clock;
        this.cache = cache;
        this.leadership = leadership;
        this.budget = budget;
    }

    /** A runner for a leader: writes depend on the leadership key and use only the spare part of its request budget. */
    public RoutineRunner forLeader(String key, Revision revision, RateLimiter leaderBudget) {
        return new RoutineRunner(vertx, state, clock, cache, new VersionedRecord(key, null, revision), leaderBudget);
    }

    /** A runner that takes writes only from the upper half of a budget, so that users' requests to a feature yield to jobs. */
    public RoutineRunner withBudget(RateLimiter writeBudget) {
        return new RoutineRunner(vertx, state, clock, cache, null, writeBudget);
    }

    /** This node's cache of the records. */
    public RecordCache cache() {
        return cache;
    }

    /**
     * Runs a routine to its end. Fails if the state service does not respond or has lost data, or if this node's leadership has
     * ended.
     */
    public <R> Future<R> run(Routine<R> routine) {
        return state.losses().era() == 0 ? state.checkEra().compose(v -> start(routine)) : start(routine);
    }

    private <R> Future<R> start(Routine<R> routine) {
        return step(routine, StepResult.empty(state.losses().era(), clock.timeOfDay()));
    }

    private <R> Future<R> step(Routine<R> routine, StepResult previous) {
        if (state.losses().isLossPending()) {
            return Future.failedFuture(new WireException("state data were lost and have not been rebuilt yet"));
        }
        Step<R> next = routine.next(previous);
        if (next instanceof Step.End<R> end) {
            return Future.succeededFuture(end.result());
        }
        Future<StepResult> result;
        if (next instanceof Step.Read<R> read) {
            result = read(read.keys(), 0, new LinkedHashMap<>());
        } else if (next instanceof Step.Scan<R> scan) {
            result = scan(scan.prefix(), scan.afterKey(), scan.limit());
        } else {
            result = write(((Step.Write<R>) next).transaction(), 1);
        }
        return result.compose(nextResult -> step(routine, nextResult));
    }

    private StepResult toResult(Map<String, VersionedRecord> records, boolean more) {
        return new StepResult(state.losses().era(), clock.timeOfDay(), records, more, null, List.of());
    }

    private Future<StepResult> read(List<String> keys, int fromIndex, Map<String, VersionedRecord> into) {
        if (fromIndex >= keys.size()) {
            return Future.succeededFuture(toResult(into, false));
        }
        List<String> batch = keys.subList(fromIndex, Math.min(keys.size(), fromIndex + MAX_CONCURRENT_READS));
        return readBatch(batch, 1).compose(read -> {
            read.forEach(k -> into.put(k.key(), k));
            // The service would reject hundreds of reads at once, and lease renewals with them.
            return fromIndex + MAX_CONCURRENT_READS < keys.size() && budget != null
                    ? pause().compose(v -> read(keys, fromIndex + MAX_CONCURRENT_READS, into))
                    : read(keys, fromIndex + MAX_CONCURRENT_READS, into);
        });
    }

    private Future<List<VersionedRecord>> readBatch(List<String> batch, int attempt) {
        List<Future<VersionedRecord>> reads = new ArrayList<>();
        batch.forEach(key -> reads.add(state.get(key).map(entry -> versioned(key, entry))));
        return Future.all(reads).compose(all -> confirmSuspectReads(batch, all.list(), attempt));
    }

    private static VersionedRecord versioned(String key, StateClient.Entry entry) {
        return entry == null
                ? VersionedRecord.absent(key)
                : new VersionedRecord(key, entry.value().map(), entry.revision());
    }

    /** Confirms by a comparison every read that may be stale: absent records, and records older than the cached ones. */
    private Future<List<VersionedRecord>> confirmSuspectReads(
            List<String> keys, List<VersionedRecord> read, int attempt) {
        List<VersionedRecord> suspect = read.stream()
                .filter(record -> !record.exists() || state.shouldConfirmRead() || isOlderThanCached(record))
                .toList();
        if (suspect.isEmpty()) {
            read.forEach(cache::add);
            return Future.succeededFuture(read);
        }
        // Determined before the comparison is sent, because another routine may write newer records meanwhile.
        List<VersionedRecord> olderThanCache =
                suspect.stream().filter(this::isOlderThanCached).toList();
        StateClient.Txn comparison = state.transactionInEra();
        suspect.forEach(record -> comparison.when(record.key(), record.revision()));
        return state.confirm(comparison)
                .compose(confirmed -> confirmed ? acceptConfirmed(read, olderThanCache) : readAgain(keys, attempt));
    }

    private Future<List<VersionedRecord>> readAgain(List<String> keys, int attempt) {
        return attempt < MAX_ATTEMPTS
                ? state.checkEra().compose(v -> readBatch(keys, attempt + 1))
                : Future.failedFuture(new WireException("could not read a consistent version of " + keys + " in "
                        + MAX_ATTEMPTS + " attempts, because they kept changing"));
    }

    private Future<List<VersionedRecord>> acceptConfirmed(
            List<VersionedRecord> read, List<VersionedRecord> olderThanCache) {
        olderThanCache.forEach(this::handleOlderRecord);
        if (state.losses().isLossPending()) {
            return Future.failedFuture(new WireException("the state service lost data during the operation"));
        }
        read.forEach(cache::add);
        return Future.succeededFuture(read);
    }

    private boolean isOlderThanCached(VersionedRecord read) {
        VersionedRecord cached = cache.get(read.key());
        return cached != null && read.version() < cached.version();
    }

    /** Handles a record that is confirmed to be older than the cached one: a loss, unless its family may delete records. */
    private void handleOlderRecord(VersionedRecord read) {
        RecordFamily family = cache.familyOf(read.key());
        if (family.permanent() || read.exists()) {
            state.reportMissingRecord(read.key());
        } else {
            cache.remove(read.key());
        }
    }

    private Future<StepResult> scan(String prefix, String after, int limit) {
        return state.list(prefix, after, limit).map(page -> {
            Map<String, VersionedRecord> found = new LinkedHashMap<>();
            page.entries().forEach(entry -> {
                VersionedRecord record = versioned(entry.key(), entry);
                found.put(entry.key(), record);
                // A listing may be stale and is returned unconfirmed, as writes depend on the revisions in it.
                cache.add(record);
            });
            return toResult(found, page.hasMore());
        });
    }

    private Future<Void> pause() {
        Promise<Void> later = Promise.promise();
        vertx.setTimer(PAUSE_TIME.ms(), t -> later.complete());
        return later.future();
    }

    private Future<StepResult> write(Transaction change, int attempt) {
        if (budget != null && !budget.tryAcquireSpare(change.writes().size(), clock.now())) {
            return pause().compose(v -> write(change, attempt));
        }
        StateClient.Txn txn = state.transactionInEra().addAll(change);
        if (leadership != null) {
            txn.when(leadership.key(), leadership.revision());
        }
        return state.commit(txn).compose(outcome -> {
            if (outcome.executed()) {
                recordCommitted(change, outcome.writtenRevision());
                return Future.succeededFuture(new StepResult(
                        state.losses().era(),
                        clock.timeOfDay(),
                        Map.of(),
                        false,
                        outcome.writtenRevision(),
                        List.of()));
            }
            if (leadership != null && outcome.failedKeys().contains(leadership.key())) {
                return Future.failedFuture(
                        new WireException("leadership lost: the key " + leadership.key() + " has changed"));
            }
            if (outcome.failedKeys().equals(List.of(RecordKeys.ERA)) && attempt < MAX_ATTEMPTS) {
                return state.checkEra().compose(v -> write(change, attempt + 1));
            }
            return Future.succeededFuture(new StepResult(
                    state.losses().era(), clock.timeOfDay(), Map.of(), false, null, outcome.failedKeys()));
        });
    }

    /** Updates the cache after a change was committed as part of another transaction. */
    public void recordCommitted(Transaction change, Revision revision) {
        change.writes().forEach((key, value) -> {
            if (value == null) {
                cache.remove(key);
            } else {
                cache.add(new VersionedRecord(key, value, revision));
            }
        });
    }
}
