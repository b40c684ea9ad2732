package io.indigoreach.cluster;

import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The record of a leader's {@link Intents}: one key of its own, each write conditional on the leadership key and on the
 * record's version, so that a holder that was replaced cannot add to it. Records of earlier leaders are read at a take-over and
 * removed when everything in them is settled.
 *
 * <p>Guards against a write without an answer that is carried out late: the leader's own record is emptied and never removed, as a
 * write made while it was not there would bring back requests that are settled, and the next leader would repeat them. Nor is a
 * write without an answer the last one: what it says may have been given up meanwhile.
 */
final class IntentLog {
    private static final Span TIDY = Span.seconds(2);
    private static final int EMPTY = JsonSize.of(RecordCodec.writeIntents(new Intents.Page(List.of(), List.of())));

    private final LeadershipTerm.Context env;
    private final Revision key;
    private final Runnable deposed;
    private boolean cancelled;
    private final RateLimiter budget;
    private final String own;
    private final Intents intents = new Intents(new HalfEach());
    /** Earlier leaders' records, with their versions. */
    private final Map<String, Revision> earlier = new LinkedHashMap<>();

    private Revision stamp = Revision.ABSENT;
    /** The record's version is to be read before the next write. */
    private boolean unsure;
    /** A write had no answer and may be carried out at any time, until a later one has been. */
    private boolean unanswered;

    private Future<Boolean> underWay;
    private Moment written = Moment.NEVER;

    IntentLog(LeadershipTerm.Context env, FencingToken token, Revision key, Runnable deposed, RateLimiter budget) {
        this.env = env;
        this.key = key;
        this.deposed = deposed;
        this.budget = budget;
        this.own = RecordCodec.intentsKey(token);
    }

    /** Requests and machines to be returned may fill half of the record's value each. */
    private final class HalfEach implements Intents.Size {
        private int half() {
            return (env.limits().maxRecordBytes() - EMPTY) / 2;
        }

        @Override
        public boolean hasRoomForRent(Collection<Intents.Rent> rents, Intents.Rent next) {
            int used = rents.stream().mapToInt(RecordCodec::bytes).sum();
            return used + RecordCodec.bytes(next) <= half();
        }

        @Override
        public boolean hasRoomFor(Collection<MachineId> condemned, MachineId next) {
            int used = condemned.stream().mapToInt(RecordCodec::bytes).sum();
            return used + RecordCodec.bytes(next) <= half();
        }
    }

    /** Guards against a write of this leadership that fails late, when the same node has taken the key anew: that one goes on. */
    void cancel() {
        cancelled = true;
    }

    private void failedOnKey() {
        if (!cancelled) {
            deposed.run();
        }
    }

    Intents intents() {
        return intents;
    }

    /** What earlier leaders had under way. */
    Future<Intents.Page> load() {
        List<Intents.Rent> rents = new ArrayList<>();
        List<MachineId> condemned = new ArrayList<>();
        earlier.clear();
        return JobStore.pages(env.state(), key, RecordCodec.INTENTS, e -> {
                    Intents.Page old = RecordCodec.readIntents(e.value());
                    rents.addAll(old.rents());
                    condemned.addAll(old.returns());
                    earlier.put(e.key(), e.stamp());
                })
                .map(revision -> new Intents.Page(rents, condemned));
    }

    /** Everything that earlier leaders had under way is settled: their records are of no use any more. */
    Future<Void> forgetEarlier() {
        List<String> some =
                earlier.keySet().stream().limit(env.limits().txnOps()).toList();
        if (some.isEmpty() || !budget.takeSpare(some.size(), env.clock().now())) {
            return Future.succeededFuture();
        }
        StateClient.Txn txn = new StateClient.Txn().when(RecordCodec.LEADER, key);
        some.forEach(name -> txn.when(name, earlier.get(name)).delete(name));
        return env.state()
                .commit(txn)
                .map(outcome -> {
                    if (outcome.done()) {
                        some.forEach(earlier::remove);
                    } else if (outcome.failed().contains(RecordCodec.LEADER)) {
                        failedOnKey();
                    } else {
                        // Removed by a write whose answer was lost, or added to by a holder that was not replaced then.
                        outcome.failed().forEach(earlier::remove);
                    }
                    return (Void) null;
                })
                .otherwiseEmpty();
    }

    /** True when the record says all that is intended; false if it cannot be written now. One write at a time. */
    Future<Boolean> record() {
        if (underWay != null) {
            return underWay.transform(r -> record());
        }
        underWay = begin();
        Future<Boolean> begun = underWay;
        begun.onComplete(r -> underWay = null);
        return begun;
    }

    private Future<Boolean> begin() {
        Moment now = env.clock().now();
        if (!intents.isUnrecorded()) {
            boolean tidy = (unanswered || intents.isOutdated())
                    && now.since(written).compareTo(TIDY) >= 0
                    && budget.takeSpare(1, now);
            return tidy ? write(now).map(true).otherwise(true) : Future.succeededFuture(true);
        }
        return budget.take(1, now) ? write(now) : Future.succeededFuture(false);
    }

    private Future<Boolean> write(Moment now) {
        if (unsure) {
            return env.state().get(own).map(entry -> {
                stamp = entry == null ? Revision.ABSENT : entry.stamp();
                unsure = false;
                return false;
            });
        }
        Intents.Page page = intents.page();
        StateClient.Txn txn =
                new StateClient.Txn().when(RecordCodec.LEADER, key).when(own, stamp);
        boolean writes = unanswered || !page.isEmpty() || !stamp.equals(Revision.ABSENT);
        if (writes) {
            txn.put(own, RecordCodec.writeIntents(page));
        }
        written = now;
        return env.state()
                .commit(txn)
                .map(outcome -> {
                    if (outcome.done()) {
                        stamp = writes ? outcome.stamp() : Revision.ABSENT;
                        unanswered = false;
                        intents.recorded(page);
                        return true;
                    }
                    if (outcome.failed().contains(RecordCodec.LEADER)) {
                        failedOnKey();
                    }
                    unsure = true;
                    return false;
                })
                .onFailure(e -> {
                    unsure |= !StateClient.surelyNotExecuted(e);
                    unanswered |= unsure;
                });
    }
}
