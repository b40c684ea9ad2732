package io.indigoreach.emulator.model;

import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.state.StateClient.Change;
import io.indigoreach.state.StateClient.Changes;
import io.indigoreach.state.StateClient.Entry;
import io.indigoreach.state.StateClient.Page;
import io.indigoreach.state.StateClient.Txn;
import io.indigoreach.state.StateClient.Write;
import io.indigoreach.state.StateCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The state service of the protocol without input or output: requests and the time go in, replies come out. Whatever it
 * changes is told to a sink before the reply is given, so that the change can be made durable first.
 */
public final class StateModel {
    /** Changes that a watch can still be told of. */
    public static final int CHANGES_KEPT = 10_000;

    private static final int MOST_ITEMS = 1000;
    private static final int PAGE_BYTES = 512 * 1024;
    private static final int TXN_BYTES = 64 * 1024;
    private static final int KEY_BYTES = 200;
    private static final int CONDITIONS_PER_WRITE = 4;
    private static final long LEAST_LIFE_MS = 100;
    private static final long MOST_LIFE_MS = 600_000;
    private static final long LEASE_LATE_MS = 80;

    /** A key's value. Values are never changed in place. */
    private record Item(Map<String, Object> data, long stamp, long lease) {}

    private record Logged(String key, Item before, Item after, long revision) {}

    private static final class Lease {
        final long lifeMs;
        final TreeSet<String> keys = new TreeSet<>();
        Moment ends;

        Lease(long lifeMs) {
            this.lifeMs = lifeMs;
        }
    }

    /** A watch that waits. */
    public static final class Watch {
        private final String prefix;
        private final long since;
        private final Moment until;
        private final Consumer<ServiceResponse> reply;

        private Watch(String prefix, long since, Moment until, Consumer<ServiceResponse> reply) {
            this.prefix = prefix;
            this.since = since;
            this.until = until;
            this.reply = reply;
        }
    }

    private static final long RETURNED_LEASE_MS = 5000;

    private StateLimits limits;
    private final RandomGenerator random;
    private final Consumer<Mutation> sink;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final TreeMap<Long, Lease> leases = new TreeMap<>();
    private final ArrayDeque<Logged> log = new ArrayDeque<>();
    private final List<Watch> watches = new ArrayList<>();
    private RateLimiter requests;
    private RateLimiter writes;
    private long revision;
    private long lastLease;
    private long forgotten;
    private boolean out;

    public StateModel(StateLimits limits, RandomGenerator random, Moment now, Consumer<Mutation> sink) {
        this.limits = limits;
        this.random = random;
        this.sink = sink;
        this.requests = new RateLimiter(limits.requestsPerS(), now);
        this.writes = new RateLimiter(limits.writesPerS(), now);
    }

    /** From now on other limits hold; what is stored stays as it is. */
    public void limit(StateLimits from, Moment now) {
        limits = from;
        requests = new RateLimiter(limits.requestsPerS(), now);
        writes = new RateLimiter(limits.writesPerS(), now);
    }

    /** Takes on a change of before a restart; leases get their full time again. */
    public void restore(Mutation change, Moment now) {
        lastLease = Math.max(lastLease, change.lease());
        if (change.lifeMs() > 0) {
            Lease lease = new Lease(change.lifeMs());
            lease.ends = now.plus(new Span(change.lifeMs()));
            leases.put(change.lease(), lease);
        } else {
            leases.remove(change.lease());
        }
        change.writes().forEach(w -> put(w, change.version()));
        revision = Math.max(revision, change.revision());
        forgotten = revision;
        log.clear();
    }

    /** What a restart needs to take on, each key and lease once. */
    public List<Mutation> contents() {
        List<Mutation> all = new ArrayList<>();
        all.add(new Mutation(revision, List.of(), lastLease, 0, 0));
        leases.forEach((id, lease) -> all.add(new Mutation(revision, List.of(), id, lease.lifeMs, 0)));
        items.forEach((key, item) ->
                all.add(new Mutation(revision, List.of(new Write(key, item.data, item.lease)), 0, 0, item.stamp)));
        return all;
    }

    public long revision() {
        return revision;
    }

    public int size() {
        return items.size();
    }

    /** The entry of a key as of a revision, a negative one meaning now: an older one is a service that breaks its word. */
    public ServiceResponse get(Moment now, String key, long asOf) {
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        if (!isKey(key)) {
            return malformed("not a key");
        }
        Item item = asOf < 0 ? items.get(key) : past(asOf).get(key);
        return item == null
                ? reply(404, StateCodec.writeRevision(asOf < 0 ? revision : asOf))
                : reply(200, StateCodec.writeEntry(entry(key, item)));
    }

    public ServiceResponse list(Moment now, String prefix, String after, int most, long asOf) {
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        if (prefix == null || most < 1) {
            return malformed("a prefix and a number of items above 0 are needed");
        }
        NavigableMap<String, Item> from = asOf < 0 ? items : past(asOf);
        String start = after == null || after.compareTo(prefix) < 0 ? prefix : after;
        List<Entry> page = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Item> e :
                from.tailMap(start, !start.equals(after)).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            Entry entry = entry(e.getKey(), e.getValue());
            bytes += JsonSize.of(StateCodec.writeEntry(entry)) + 1;
            if (page.size() >= Math.min(most, MOST_ITEMS) || (bytes > PAGE_BYTES && !page.isEmpty())) {
                more = true;
                break;
            }
            page.add(entry);
        }
        return reply(200, StateCodec.writePage(new Page(page, more, asOf < 0 ? revision : asOf)));
    }

    /** Atomic: all of it, or nothing. */
    public ServiceResponse commit(Moment now, Txn txn) {
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        String fault = fault(txn);
        if (fault != null) {
            return malformed(fault);
        }
        if (!writes.tryAcquire(txn.size(), now)) {
            return tooMany();
        }
        for (Write w : txn.writes()) {
            if (w.lease() > 0 && !isAlive(w.lease(), now)) {
                return malformed(StateCodec.NO_SUCH_LEASE);
            }
        }
        List<String> failed = new ArrayList<>();
        txn.conditions().forEach((key, stamp) -> {
            Item item = items.get(key);
            if ((item == null ? 0 : item.stamp) != stamp.value()) {
                failed.add(key);
            }
        });
        if (!failed.isEmpty()) {
            return reply(409, StateCodec.writeConflict(failed, revision));
        }
        apply(txn.writes(), 0, 0);
        return reply(200, StateCodec.writeRevision(revision));
    }

    private String fault(Txn txn) {
        if (txn.size() > limits.txnOps()) {
            return "more than " + limits.txnOps() + " changes";
        }
        if (txn.conditions().size() > CONDITIONS_PER_WRITE * limits.txnOps()) {
            return "more than " + CONDITIONS_PER_WRITE * limits.txnOps() + " conditions";
        }
        TreeSet<String> written = new TreeSet<>();
        for (Write w : txn.writes()) {
            if (!isKey(w.key())) {
                return "not a key";
            }
            if (!written.add(w.key())) {
                return "a key is changed twice";
            }
            if (!w.isDelete() && JsonSize.of(StateCodec.toWire(w.value())) > limits.valueBytes()) {
                return "a value may have " + limits.valueBytes() + " bytes";
            }
        }
        if (!txn.conditions().keySet().stream().allMatch(StateModel::isKey)) {
            return "not a key";
        }
        return JsonSize.of(StateCodec.writeTxn(txn)) > TXN_BYTES ? "a transaction may have 64 KiB" : null;
    }

    public ServiceResponse grant(Moment now, Span life) {
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        if (life.ms() < LEAST_LIFE_MS || life.ms() > MOST_LIFE_MS) {
            return malformed("a lease takes " + LEAST_LIFE_MS + " to " + MOST_LIFE_MS + " ms");
        }
        Lease lease = new Lease(life.ms());
        extend(lease, now);
        leases.put(++lastLease, lease);
        sink.accept(new Mutation(revision, List.of(), lastLease, life.ms(), 0));
        return reply(200, StateCodec.writeLease(lastLease));
    }

    public ServiceResponse renew(Moment now, long id) {
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        if (!isAlive(id, now)) {
            return reply(404, Map.of());
        }
        extend(leases.get(id), now);
        return reply(200, StateCodec.writeLease(id));
    }

    public ServiceResponse drop(Moment now, long id) {
        if (!requests.tryAcquire(1, now)) {
            return tooMany();
        }
        if (!isAlive(id, now)) {
            return reply(404, Map.of());
        }
        end(id);
        return reply(200, Map.of());
    }

    /** Answers at once or when something happens; the result can be given up, and is null if nothing is left to. */
    public Watch watch(Moment now, String prefix, long since, Span wait, Consumer<ServiceResponse> reply) {
        ServiceResponse refusal = !requests.tryAcquire(1, now)
                ? tooMany()
                : prefix == null || since < 0 || wait.ms() < 0 || wait.ms() > 60_000
                        ? malformed("a watch needs a prefix, " + "a revision and a wait of at most 60,000 ms")
                        : since < forgotten ? reply(410, StateCodec.writeRevision(revision)) : null;
        if (refusal != null) {
            reply.accept(refusal);
            return null;
        }
        Watch watch = new Watch(prefix, since, now.plus(wait), reply);
        if (!out && answer(watch, now)) {
            return null;
        }
        watches.add(watch);
        return watch;
    }

    /** The one who waits has gone. */
    public void giveUp(Watch watch) {
        watches.remove(watch);
    }

    /** Nothing is served and no lease runs out; at the end of an outage every lease has its full time again. */
    public void outage(Moment now, boolean begins) {
        out = begins;
        if (!begins) {
            leases.values().forEach(lease -> extend(lease, now));
            advance(now);
        }
    }

    /** Ends the leases and answers the watches whose time has come. */
    public void advance(Moment now) {
        if (out) {
            return;
        }
        for (long id : leases.entrySet().stream()
                .filter(e -> !now.isBefore(e.getValue().ends))
                .map(Map.Entry::getKey)
                .toList()) {
            end(id);
        }
        for (Watch watch : List.copyOf(watches)) {
            if (answer(watch, now)) {
                watches.remove(watch);
            }
        }
    }

    private boolean answer(Watch watch, Moment now) {
        List<Change> changes = new ArrayList<>();
        for (Iterator<Logged> i = log.descendingIterator(); i.hasNext(); ) {
            Logged l = i.next();
            if (l.revision <= watch.since) {
                break;
            }
            if (l.key.startsWith(watch.prefix)) {
                changes.add(
                        new Change(l.key, l.after == null ? null : new Fields(l.after.data), new Revision(l.revision)));
            }
        }
        if (changes.isEmpty() && now.isBefore(watch.until)) {
            return false;
        }
        if (watch.since < forgotten) {
            watch.reply.accept(reply(410, StateCodec.writeRevision(revision)));
            return true;
        }
        Collections.reverse(changes);
        watch.reply.accept(reply(200, StateCodec.writeChanges(new Changes(changes, revision, false))));
        return true;
    }

    private void extend(Lease lease, Moment now) {
        lease.ends = now.plus(new Span(lease.lifeMs + random.nextLong(LEASE_LATE_MS + 1)));
    }

    private boolean isAlive(long id, Moment now) {
        Lease lease = leases.get(id);
        return lease != null && (out || now.isBefore(lease.ends));
    }

    private void end(long id) {
        Lease lease = leases.remove(id);
        apply(lease.keys.stream().map(key -> new Write(key, null, 0)).toList(), id, 0);
    }

    /** Makes one change of all the writes, tells the sink, and then those who watch. */
    private void apply(List<Write> changes, long lease, long lifeMs) {
        List<Write> real = changes.stream()
                .filter(w -> !w.isDelete() || items.containsKey(w.key()))
                .toList();
        if (real.isEmpty() && lease == 0) {
            return;
        }
        revision += real.isEmpty() ? 0 : 1;
        for (Write w : real) {
            Item before = items.get(w.key());
            put(w, revision);
            log.add(new Logged(w.key(), before, items.get(w.key()), revision));
        }
        while (log.size() > CHANGES_KEPT) {
            forgotten = log.remove().revision;
        }
        sink.accept(new Mutation(revision, real, lease, lifeMs, 0));
        if (out) {
            return;
        }
        for (Watch watch : List.copyOf(watches)) {
            if (real.stream().anyMatch(w -> w.key().startsWith(watch.prefix)) && answer(watch, Moment.NEVER)) {
                watches.remove(watch);
            }
        }
    }

    private void put(Write w, long stamp) {
        Item before = w.isDelete() ? items.remove(w.key()) : items.put(w.key(), new Item(w.value(), stamp, w.lease()));
        if (before != null && before.lease > 0 && leases.containsKey(before.lease)) {
            leases.get(before.lease).keys.remove(w.key());
        }
        if (!w.isDelete() && w.lease() > 0 && leases.containsKey(w.lease())) {
            leases.get(w.lease()).keys.add(w.key());
        }
    }

    /** All keys as they were; as far back as the changes are kept. */
    private NavigableMap<String, Item> past(long asOf) {
        Map<String, Item> undone = new HashMap<>();
        for (Iterator<Logged> i = log.descendingIterator(); i.hasNext(); ) {
            Logged l = i.next();
            if (l.revision <= asOf) {
                break;
            }
            undone.put(l.key, l.before);
        }
        TreeMap<String, Item> past = new TreeMap<>(items);
        undone.forEach((key, item) -> {
            if (item == null) {
                past.remove(key);
            } else {
                past.put(key, item);
            }
        });
        return past;
    }

    /**
     * What was there so many revisions ago comes back, as from an older copy of the service, and is all there was. Leases
     * of that time come back for as long as they last; watches are told nothing.
     */
    public void rollBack(long by, Moment now) {
        long to = Math.max(forgotten, revision - by);
        NavigableMap<String, Item> past = past(to);
        items.clear();
        leases.values().forEach(lease -> lease.keys.clear());
        past.forEach((key, item) -> {
            items.put(key, item);
            if (item.lease > 0) {
                Lease lease = leases.computeIfAbsent(item.lease, id -> new Lease(RETURNED_LEASE_MS));
                lease.ends = lease.ends == null ? now.plus(new Span(lease.lifeMs)) : lease.ends;
                lease.keys.add(key);
            }
        });
        while (!log.isEmpty() && log.getLast().revision > to) {
            log.removeLast();
        }
        revision = to;
    }

    private static boolean isKey(String key) {
        return !key.isEmpty() && key.indexOf(' ') < 0 && key.getBytes(StandardCharsets.UTF_8).length <= KEY_BYTES;
    }

    private static Entry entry(String key, Item item) {
        return new Entry(key, new Fields(item.data), new Revision(item.stamp), item.lease);
    }

    private static ServiceResponse reply(int status, Map<String, Object> body) {
        return new ServiceResponse(status, new Fields(body));
    }

    private static ServiceResponse tooMany() {
        return reply(429, MessagePackFormat.map("error", "too many requests"));
    }

    private static ServiceResponse malformed(String why) {
        return reply(400, MessagePackFormat.map("error", why));
    }
}
