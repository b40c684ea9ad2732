package io.indigoreach.state;

import io.indigoreach.net.Endpoint;
import io.indigoreach.net.Fields;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceResponse;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * A stand-in for the state service that speaks its protocol; it can refuse requests, execute them and not answer, or not answer
 * and execute them late.
 */
@SuppressWarnings("NonAtomicVolatileUpdate") // Counters are raised by its event loop alone, and read by tests.
public final class StateStandIn {
    private record Item(Map<String, Object> data, long stamp, long lease) {}

    private final ConcurrentSkipListMap<String, Item> items = new ConcurrentSkipListMap<>();
    /** When each lease ends, by the steady clock in ns; only where they {@link #expiring expire}. */
    private final Map<Long, Long> leases = new HashMap<>();

    private final Map<Long, Long> lives = new HashMap<>();
    private final List<Runnable> delayed = new CopyOnWriteArrayList<>();
    private final List<Promise<Void>> watchers = new ArrayList<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();
    private long revision = 10;
    private long lastLease;
    public volatile boolean refusing;
    /** Requests that were refused. */
    public volatile int refusals;
    /** Callers that are refused alone, by the names of their {@link #door doors}; their open watches wait. */
    public final Set<String> refused = new HashSet<>();
    /** What is delayed until it is {@link #letThrough let through}, by the caller's door and the path. */
    public BiPredicate<String, String> delaying = (door, path) -> false;
    /** Leases end by their time; after an outage each has its full time again. */
    public boolean expiring;
    /** The answers to the next transactions are lost after these were executed. */
    public int losingAnswers;
    /** Transactions that are executed at once, and whose answer is lost. */
    public volatile Predicate<Fields> losing = txn -> false;
    /** How many of those there were. */
    public volatile int lost;
    /** For how many milliseconds an answer is held up on its way, by the path; what it says is as old as its request. */
    public volatile ToIntFunction<String> lagMs = path -> 0;
    /** Leases are not ended on request: as if it came from a node that is refused. */
    public boolean keepingLeases;
    /** Transactions that get no answer, and are executed by {@link #executeLate}. */
    public volatile Predicate<Fields> holding = txn -> false;

    private final Queue<Fields> held = new ConcurrentLinkedQueue<>();
    private volatile Context loop;
    public volatile int transactions;
    /** Records and listings that were read. */
    public volatile int reads;
    /** Limits of a value, in bytes, and of a transaction, in changes; lowered by some tests at some time. */
    public volatile int valueBytes = 8 * 1024;

    public volatile int txnOps = 16;
    private static final int CONDITIONS_PER_CHANGE = 4;
    /** For how long a test waits for the stand-in, in seconds. */
    private static final int PATIENCE_S = 20;

    /** Transactions that were refused as too large. */
    public volatile int tooLarge;
    /** Keys that were written or deleted. */
    public volatile int changed;

    private Endpoint endpoint;

    public Future<StateStandIn> listen(Vertx vertx) {
        return door(vertx, "").map(at -> {
            endpoint = at;
            return this;
        });
    }

    /** A way in for one caller, who can be refused alone. */
    public Future<Endpoint> door(Vertx vertx, String name) {
        return vertx.createHttpServer()
                .requestHandler(r -> handle(r, name))
                .listen(0, "127.0.0.1")
                .map(s -> new Endpoint("127.0.0.1", s.actualPort()));
    }

    /** What was delayed is executed now, and answered to whoever still waits. */
    public void letThrough() {
        List<Runnable> all = new ArrayList<>(delayed);
        delayed.clear();
        all.forEach(Runnable::run);
    }

    public int delayed() {
        return delayed.size();
    }

    /** An outage ends: every lease has its full time again. */
    public void serveAgain() {
        refusing = false;
        leases.replaceAll((lease, ends) -> System.nanoTime() + lives.get(lease));
    }

    public Endpoint endpoint() {
        return endpoint;
    }

    public boolean has(String key) {
        return items.containsKey(key);
    }

    public List<String> keys(String prefix) {
        return items.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    public Fields value(String key) {
        return new Fields(items.get(key).data);
    }

    /** How many transactions are held back. */
    public int held() {
        return held.size();
    }

    /** Executes what is held back, the oldest first; the statuses that nobody is told. */
    public List<Integer> executeLate() {
        Context now = loop;
        if (Vertx.currentContext() == now) {
            return executeHeld();
        }
        CompletableFuture<List<Integer>> statuses = new CompletableFuture<>();
        // Not by this method again: another connection may have become the current one, and its loop would wait for
        // itself.
        now.runOnContext(v -> statuses.complete(executeHeld()));
        return statuses.orTimeout(PATIENCE_S, TimeUnit.SECONDS).join();
    }

    private List<Integer> executeHeld() {
        List<Integer> statuses =
                held.stream().map(this::execute).map(ServiceResponse::status).toList();
        held.clear();
        return statuses;
    }

    /** Ends every lease, with the keys attached to it. */
    public void endLeases() {
        List.copyOf(leases.keySet()).forEach(this::endLease);
    }

    private void endLease(long lease) {
        leases.remove(lease);
        List<String> gone = items.entrySet().stream()
                .filter(e -> e.getValue().lease == lease)
                .map(Map.Entry::getKey)
                .toList();
        gone.forEach(this::delete);
        wakeWatchers();
    }

    /** Ends the leases whose time is over; none in an outage. */
    public void expire() {
        if (refusing) {
            return;
        }
        long now = System.nanoTime();
        List.copyOf(leases.keySet()).stream()
                .filter(l -> leases.get(l) - now < 0)
                .forEach(this::endLease);
    }

    private void handle(HttpServerRequest request, String door) {
        loop = Vertx.currentContext();
        request.body().onSuccess(body -> {
            if (refusing || refused.contains(door)) {
                refusals++;
                reply(request, 503, Map.of());
            } else if (delaying.test(door, request.path())) {
                delayed.add(() -> serve(request, door, body));
            } else {
                serve(request, door, body);
            }
        });
    }

    private void serve(HttpServerRequest request, String door, Buffer body) {
        String path = request.path();
        if (expiring) {
            expire();
        }
        if (path.equals("/txn")) {
            commit(request, MessagePackFormat.readMap(body));
        } else if (path.equals("/store")) {
            reads++;
            list(request);
        } else if (path.startsWith("/store/")) {
            reads++;
            Item item = items.get(path.substring(7));
            reply(
                    request,
                    item == null ? 404 : 200,
                    item == null
                            ? MessagePackFormat.map("ledger_rev", revision)
                            : MessagePackFormat.map("path", path.substring(7), "data", item.data, "stamp", item.stamp));
        } else if (path.equals("/grants")) {
            lives.put(++lastLease, MessagePackFormat.readMap(body).wholeNumber("life_ms") * 1_000_000);
            leases.put(lastLease, System.nanoTime() + lives.get(lastLease));
            reply(request, 200, MessagePackFormat.map("permit", lastLease));
        } else if (path.startsWith("/grants/")) {
            long lease = Long.parseLong(path.split("/")[2]);
            if (request.method().equals(HttpMethod.DELETE) && !keepingLeases) {
                endLease(lease);
            }
            leases.computeIfPresent(lease, (l, ends) -> System.nanoTime() + lives.get(l));
            reply(request, leases.containsKey(lease) ? 200 : 404, Map.of());
        } else if (path.equals("/changes")) {
            watch(request, door, request.getParam("starts"), Long.parseLong(request.getParam("since")));
        }
    }

    private void commit(HttpServerRequest request, Fields txn) {
        transactions++;
        if (holding.test(txn)) {
            held.add(txn);
            request.connection().close();
            return;
        }
        ServiceResponse reply = execute(txn);
        if (reply.isOk() && losingAnswers > 0) {
            losingAnswers--;
            request.connection().close();
            return;
        }
        if (reply.isOk() && losing.test(txn)) {
            lost++;
            request.connection().close();
            return;
        }
        reply(request, reply.status(), reply.body().map());
    }

    private boolean isTooLarge(Fields txn) {
        return txn.children("writes").size() > txnOps
                || txn.children("when").size() > CONDITIONS_PER_CHANGE * txnOps
                || txn.children("writes").stream()
                        .anyMatch(w ->
                                w.has("write") && JsonSize.of(w.child("data").map()) > valueBytes);
    }

    private ServiceResponse execute(Fields txn) {
        if (isTooLarge(txn)) {
            tooLarge++;
            return new ServiceResponse(400, new Fields(MessagePackFormat.map("error", "too large")));
        }
        List<String> failed = new ArrayList<>();
        for (Fields when : txn.children("when")) {
            Item item = items.get(when.text("path"));
            if ((item == null ? 0 : item.stamp) != when.wholeNumber("stamp")) {
                failed.add(when.text("path"));
            }
        }
        for (Fields write : txn.children("writes")) {
            if (write.has("permit") && !leases.containsKey(write.wholeNumber("permit"))) {
                return new ServiceResponse(400, new Fields(MessagePackFormat.map("error", "no such lease")));
            }
        }
        if (!failed.isEmpty()) {
            return new ServiceResponse(
                    409, new Fields(MessagePackFormat.map("failed", failed, "ledger_rev", revision)));
        }
        revision++;
        for (Fields write : txn.children("writes")) {
            changed++;
            if (write.has("delete")) {
                revision--;
                delete(write.text("delete"));
            } else {
                Map<String, Object> data = write.child("data").map();
                items.put(write.text("write"), new Item(data, revision, write.wholeNumber("permit", 0)));
                changes.add(MessagePackFormat.map("write", write.text("write"), "data", data, "stamp", revision));
            }
        }
        wakeWatchers();
        return new ServiceResponse(200, new Fields(MessagePackFormat.map("ledger_rev", revision)));
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            changes.add(MessagePackFormat.map("delete", key, "stamp", ++revision));
        } else {
            revision++;
        }
    }

    private void list(HttpServerRequest request) {
        List<Object> out = new ArrayList<>();
        int most = Integer.parseInt(request.getParam("most"));
        String since = request.getParam("since");
        items.tailMap(since == null ? "" : since, false).forEach((key, item) -> {
            if (key.startsWith(request.getParam("starts"))) {
                out.add(MessagePackFormat.map("path", key, "data", item.data, "stamp", item.stamp));
            }
        });
        reply(
                request,
                200,
                MessagePackFormat.map(
                        "items",
                        out.subList(0, Math.min(most, out.size())),
                        "truncated",
                        out.size() > most,
                        "ledger_rev",
                        revision));
    }

    private void watch(HttpServerRequest request, String door, String prefix, long since) {
        if (refusing || refused.contains(door)) {
            return;
        }
        List<Object> events = new ArrayList<>();
        for (Map<String, Object> change : changes) {
            String key = (String) (change.containsKey("write") ? change.get("write") : change.get("delete"));
            if (key.startsWith(prefix) && (Long) change.get("stamp") > since) {
                events.add(new LinkedHashMap<>(change));
            }
        }
        if (!events.isEmpty()) {
            reply(request, 200, MessagePackFormat.map("ledger_rev", revision, "events", events));
            return;
        }
        Promise<Void> change = Promise.promise();
        watchers.add(change);
        change.future().onSuccess(v -> watch(request, door, prefix, since));
    }

    private void wakeWatchers() {
        List<Promise<Void>> waiting = new ArrayList<>(watchers);
        watchers.clear();
        waiting.forEach(Promise::complete);
    }

    private void reply(HttpServerRequest request, int status, Map<String, Object> body) {
        // As it is now: a listing's values are those of this moment.
        Buffer written = MessagePackFormat.write(body);
        int lag = lagMs.applyAsInt(request.path());
        if (lag > 0) {
            Vertx.currentContext().owner().setTimer(lag, t -> send(request, status, written));
        } else {
            send(request, status, written);
        }
    }

    private static void send(HttpServerRequest request, int status, Buffer body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response().setStatusCode(status).end(body);
        }
    }
}
