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
 * A fake state service that implements the protocol of the real one. It can reject requests, execute them without a response, or
 * execute them late without a response.
 */
@SuppressWarnings("NonAtomicVolatileUpdate") // Only the event loop writes the counters; tests read them.
public final class FakeStateService {
    private record StoredEntry(Map<String, Object> data, long revision, long lease) {}

    private final ConcurrentSkipListMap<String, StoredEntry> entries = new ConcurrentSkipListMap<>();
    /** The time at which each lease ends, by {@link System#nanoTime}; used only if leases are {@link #leasesExpire}. */
    private final Map<Long, Long> leases = new HashMap<>();

    private final Map<Long, Long> leaseTimesNs = new HashMap<>();
    private final List<Runnable> delayed = new CopyOnWriteArrayList<>();
    private final List<Promise<Void>> watchers = new ArrayList<>();
    private final List<Map<String, Object>> changes = new ArrayList<>();
    private long revision = 10;
    private long lastLease;
    public volatile boolean unavailable;
    /** The number of rejected requests. */
    public volatile int rejectedRequests;
    /** Callers whose requests are rejected, by the names of their {@link #addEndpoint endpoints}; their open watches wait. */
    public final Set<String> rejectedCallers = new HashSet<>();
    /** Selects the requests to delay until {@link #executeDelayed}, by the caller's endpoint name and the path. */
    public BiPredicate<String, String> delayFilter = (door, path) -> false;
    /** Whether leases expire; after an outage each lease gets its full time again. */
    public boolean leasesExpire;
    /** The number of following transactions that are executed without a response. */
    public int responsesToLose;
    /** Selects transactions that are executed at once, without a response. */
    public volatile Predicate<Fields> loseResponseFilter = txn -> false;
    /** The number of transactions that {@link #loseResponseFilter} has selected. */
    public volatile int lostResponses;
    /** The delay of responses in ms, by path. A delayed response has the state at the time of its request. */
    public volatile ToIntFunction<String> responseDelayMs = path -> 0;
    /** Whether requests to revoke a lease have no effect, as if they came from a node whose requests are rejected. */
    public boolean ignoreLeaseRevocation;
    /** Selects transactions that get no response and are executed by {@link #executeHeldTransactions}. */
    public volatile Predicate<Fields> holdFilter = txn -> false;

    private final Queue<Fields> held = new ConcurrentLinkedQueue<>();
    private volatile Context eventLoop;
    public volatile int transactionCount;
    /** The number of reads of keys and listings. */
    public volatile int readCount;
    /** The maximum size of a value in bytes; some tests lower it. */
    public volatile int maxValueBytes = 8 * 1024;

    /** The maximum number of writes in a transaction; some tests lower it. */
    public volatile int maxTxnOps = 16;

    private static final int CONDITIONS_PER_CHANGE = 4;
    /** How long a test waits for this service, in seconds. */
    private static final int TIMEOUT_S = 20;

    /** The number of transactions rejected as too large. */
    public volatile int oversizedTransactions;
    /** The number of writes and deletions of keys. */
    public volatile int writtenKeys;

    private Endpoint endpoint;

    public Future<FakeStateService> listen(Vertx vertx) {
        return addEndpoint(vertx, "").map(at -> {
            endpoint = at;
            return this;
        });
    }

    /** Opens an endpoint for one caller, whose requests can be rejected separately. */
    public Future<Endpoint> addEndpoint(Vertx vertx, String name) {
        return vertx.createHttpServer()
                .requestHandler(r -> handle(r, name))
                .listen(0, "127.0.0.1")
                .map(s -> new Endpoint("127.0.0.1", s.actualPort()));
    }

    /** Executes the delayed requests and responds to the callers that still wait. */
    public void executeDelayed() {
        List<Runnable> requests = new ArrayList<>(delayed);
        delayed.clear();
        requests.forEach(Runnable::run);
    }

    public int delayed() {
        return delayed.size();
    }

    /** Ends an outage; every lease gets its full time again. */
    public void endOutage() {
        unavailable = false;
        leases.replaceAll((lease, ends) -> System.nanoTime() + leaseTimesNs.get(lease));
    }

    public Endpoint endpoint() {
        return endpoint;
    }

    public boolean has(String key) {
        return entries.containsKey(key);
    }

    public List<String> keys(String prefix) {
        return entries.keySet().stream().filter(k -> k.startsWith(prefix)).toList();
    }

    public Fields value(String key) {
        return new Fields(entries.get(key).data);
    }

    /** The number of transactions that wait for {@link #executeHeldTransactions}. */
    public int held() {
        return held.size();
    }

    /** Executes the held transactions, the oldest first, and returns their statuses, which are not sent to the callers. */
    public List<Integer> executeHeldTransactions() {
        Context currentLoop = eventLoop;
        if (Vertx.currentContext() == currentLoop) {
            return executeHeld();
        }
        CompletableFuture<List<Integer>> statuses = new CompletableFuture<>();
        // The callback calls executeHeld, not executeHeldTransactions: another connection may have changed the event
        // loop meanwhile, and a loop that waits for itself deadlocks.
        currentLoop.runOnContext(v -> statuses.complete(executeHeld()));
        return statuses.orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
    }

    private List<Integer> executeHeld() {
        List<Integer> statuses =
                held.stream().map(this::execute).map(ServiceResponse::status).toList();
        held.clear();
        return statuses;
    }

    /** Ends every lease and deletes the keys attached to it. */
    public void endLeases() {
        List.copyOf(leases.keySet()).forEach(this::endLease);
    }

    private void endLease(long lease) {
        leases.remove(lease);
        List<String> deletedKeys = entries.entrySet().stream()
                .filter(e -> e.getValue().lease == lease)
                .map(Map.Entry::getKey)
                .toList();
        deletedKeys.forEach(this::delete);
        wakeWatchers();
    }

    /** Ends the leases whose time has passed, except during an outage. */
    public void expire() {
        if (unavailable) {
            return;
        }
        long now = System.nanoTime();
        List.copyOf(leases.keySet()).stream()
                .filter(l -> leases.get(l) - now < 0)
                .forEach(this::endLease);
    }

    private void handle(HttpServerRequest request, String endpointName) {
        eventLoop = Vertx.currentContext();
        request.body().onSuccess(body -> {
            if (unavailable || rejectedCallers.contains(endpointName)) {
                rejectedRequests++;
                reply(request, 503, Map.of());
            } else if (delayFilter.test(endpointName, request.path())) {
                delayed.add(() -> serve(request, endpointName, body));
            } else {
                serve(request, endpointName, body);
            }
        });
    }

    private void serve(HttpServerRequest request, String endpointName, Buffer body) {
        String path = request.path();
        if (leasesExpire) {
            expire();
        }
        if (path.equals("/txn")) {
            commit(request, MessagePackFormat.readMap(body));
        } else if (path.equals("/store")) {
            readCount++;
            list(request);
        } else if (path.startsWith("/store/")) {
            readCount++;
            StoredEntry entry = entries.get(path.substring(7));
            reply(
                    request,
                    entry == null ? 404 : 200,
                    entry == null
                            ? MessagePackFormat.map("ledger_rev", revision)
                            : MessagePackFormat.map(
                                    "path", path.substring(7), "data", entry.data, "stamp", entry.revision));
        } else if (path.equals("/grants")) {
            leaseTimesNs.put(++lastLease, MessagePackFormat.readMap(body).wholeNumber("life_ms") * 1_000_000);
            leases.put(lastLease, System.nanoTime() + leaseTimesNs.get(lastLease));
            reply(request, 200, MessagePackFormat.map("permit", lastLease));
        } else if (path.startsWith("/grants/")) {
            long lease = Long.parseLong(path.split("/")[2]);
            if (request.method().equals(HttpMethod.DELETE) && !ignoreLeaseRevocation) {
                endLease(lease);
            }
            leases.computeIfPresent(lease, (l, ends) -> System.nanoTime() + leaseTimesNs.get(l));
            reply(request, leases.containsKey(lease) ? 200 : 404, Map.of());
        } else if (path.equals("/changes")) {
            watch(request, endpointName, request.getParam("starts"), Long.parseLong(request.getParam("since")));
        }
    }

    private void commit(HttpServerRequest request, Fields txn) {
        transactionCount++;
        if (holdFilter.test(txn)) {
            held.add(txn);
            request.connection().close();
            return;
        }
        ServiceResponse reply = execute(txn);
        if (reply.isOk() && responsesToLose > 0) {
            responsesToLose--;
            request.connection().close();
            return;
        }
        if (reply.isOk() && loseResponseFilter.test(txn)) {
            lostResponses++;
            request.connection().close();
            return;
        }
        reply(request, reply.status(), reply.body().map());
    }

    private boolean isTooLarge(Fields txn) {
        return txn.children("writes").size() > maxTxnOps
                || txn.children("when").size() > CONDITIONS_PER_CHANGE * maxTxnOps
                || txn.children("writes").stream()
                        .anyMatch(w ->
                                w.has("write") && JsonSize.of(w.child("data").map()) > maxValueBytes);
    }

    private ServiceResponse execute(Fields txn) {
        if (isTooLarge(txn)) {
            oversizedTransactions++;
            return new ServiceResponse(400, new Fields(MessagePackFormat.map("error", "too large")));
        }
        List<String> failed = new ArrayList<>();
        for (Fields when : txn.children("when")) {
            StoredEntry entry = entries.get(when.text("path"));
            if ((entry == null ? 0 : entry.revision) != when.wholeNumber("stamp")) {
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
            writtenKeys++;
            if (write.has("delete")) {
                revision--;
                delete(write.text("delete"));
            } else {
                Map<String, Object> data = write.child("data").map();
                entries.put(write.text("write"), new StoredEntry(data, revision, write.wholeNumber("permit", 0)));
                changes.add(MessagePackFormat.map("write", write.text("write"), "data", data, "stamp", revision));
            }
        }
        wakeWatchers();
        return new ServiceResponse(200, new Fields(MessagePackFormat.map("ledger_rev", revision)));
    }

    private void delete(String key) {
        if (entries.remove(key) != null) {
            changes.add(MessagePackFormat.map("delete", key, "stamp", ++revision));
        } else {
            revision++;
        }
    }

    private void list(HttpServerRequest request) {
        List<Object> matches = new ArrayList<>();
        int limit = Integer.parseInt(request.getParam("most"));
        String since = request.getParam("since");
        entries.tailMap(since == null ? "" : since, false).forEach((key, item) -> {
            if (key.startsWith(request.getParam("starts"))) {
                matches.add(MessagePackFormat.map("path", key, "data", item.data, "stamp", item.revision));
            }
        });
        reply(
                request,
                200,
                MessagePackFormat.map(
                        "items",
                        matches.subList(0, Math.min(limit, matches.size())),
                        "truncated",
                        matches.size() > limit,
                        "ledger_rev",
                        revision));
    }

    private void watch(HttpServerRequest request, String endpointName, String prefix, long since) {
        if (unavailable || rejectedCallers.contains(endpointName)) {
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
        change.future().onSuccess(v -> watch(request, endpointName, prefix, since));
    }

    private void wakeWatchers() {
        List<Promise<Void>> waiting = new ArrayList<>(watchers);
        watchers.clear();
        waiting.forEach(Promise::complete);
    }

    private void reply(HttpServerRequest request, int status, Map<String, Object> body) {
        // Encoded before the delay, so that the response has the state at the time of the request.
        Buffer encoded = MessagePackFormat.write(body);
        int delayMs = responseDelayMs.applyAsInt(request.path());
        if (delayMs > 0) {
            Vertx.currentContext().owner().setTimer(delayMs, t -> send(request, status, encoded));
        } else {
            send(request, status, encoded);
        }
    }

    private static void send(HttpServerRequest request, int status, Buffer body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response().setStatusCode(status).end(body);
        }
    }
}
