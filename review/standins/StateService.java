package standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service of the protocol page, in memory. */
final class StateService {
    /** The limits of the settings: requests and changes a second, KiB a value, changes a transaction. */
    record Limits(double rps, double writeRps, double valueKb, int txnOps) {}

    private record Value(Object data, long stamp, long permit) {}

    private record Change(String path, Object data, long stamp) {}

    private static final class Grant {
        final long lifeMs;
        long endsAt;
        final Set<String> keys = new HashSet<>();

        Grant(long lifeMs) {
            this.lifeMs = lifeMs;
        }
    }

    /** A rate with bursts of one second's worth. */
    static final class Rate {
        private final double perSecond;
        private final double burst;
        private double available;
        private long at = System.nanoTime();

        Rate(double perSecond, double burstSeconds) {
            this.perSecond = perSecond;
            this.burst = perSecond * burstSeconds;
            this.available = burst;
        }

        synchronized boolean take(double amount) {
            long now = System.nanoTime();
            available = Math.min(burst, available + (now - at) / 1e9 * perSecond);
            at = now;
            if (available < amount) {
                return false;
            }
            available -= amount;
            return true;
        }
    }

    private static final int KEPT_CHANGES = 10_000;
    private static final int LIST_BYTES = 512 * 1024;

    private final Limits limits;
    private final Rate requests;
    private final Rate writes;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Grant> grants = new HashMap<>();
    private long forgottenUpTo;
    private long revision;
    private long lastPermit;

    StateService(Limits limits) {
        this.limits = limits;
        this.requests = new Rate(limits.rps(), 1);
        this.writes = new Rate(limits.writeRps(), 1);
        Http.daemon("grants", () -> {
            while (true) {
                pause(20);
                expire();
            }
        });
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    int open() throws IOException {
        return Http.serve("state", this::serve);
    }

    private Http.Response serve(Http.Request request) throws InterruptedException {
        pause(3);
        if (!requests.take(1)) {
            return error(429, "too many requests");
        }
        String path = request.path();
        if (path.equals("/store")) {
            return list(request);
        }
        if (path.startsWith("/store/")) {
            return get(path.substring("/store/".length()));
        }
        if (path.equals("/txn")) {
            return transact(request.map());
        }
        if (path.equals("/grants")) {
            return grant(Msg.whole(request.map(), "life_ms"));
        }
        if (path.startsWith("/grants/")) {
            String[] parts = path.split("/");
            return request.method().equals("DELETE") ? revoke(Long.parseLong(parts[2])) : renew(Long.parseLong(parts[2]));
        }
        return path.equals("/changes") ? watch(request) : error(404, "no such path");
    }

    private static Http.Response error(int status, String reason) {
        return new Http.Response(status, Msg.map("error", reason));
    }

    private synchronized Http.Response get(String key) {
        Value value = values.get(key);
        return value == null
                ? new Http.Response(404, Msg.map("ledger_rev", revision))
                : new Http.Response(200, item(key, value));
    }

    private static Map<String, Object> item(String key, Value value) {
        Map<String, Object> item = Msg.map("path", key, "data", value.data(), "stamp", value.stamp());
        if (value.permit() != 0) {
            item.put("permit", value.permit());
        }
        return item;
    }

    private synchronized Http.Response list(Http.Request request) {
        String prefix = request.query().get("starts");
        String since = request.query().getOrDefault("since", "");
        long most = Math.min(1000, request.number("most", 1000));
        List<Object> items = new ArrayList<>();
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Value> entry : values.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(since) <= 0) {
                continue;
            }
            Map<String, Object> item = item(entry.getKey(), entry.getValue());
            bytes += Msg.jsonBytes(item);
            if (items.size() >= most || bytes > LIST_BYTES) {
                truncated = true;
                break;
            }
            items.add(item);
        }
        return new Http.Response(200, Msg.map("items", items, "truncated", truncated, "ledger_rev", revision));
    }

    private synchronized Http.Response transact(Map<String, Object> txn) {
        List<Map<String, Object>> conditions = Msg.maps(txn, "when");
        List<Map<String, Object>> ops = Msg.maps(txn, "writes");
        if (ops.size() > limits.txnOps()
                || conditions.size() > 4 * limits.txnOps()
                || Msg.jsonBytes(txn) > 65_536
                || ops.stream().anyMatch(op -> Msg.jsonBytes(op.get("data")) > limits.valueKb() * 1024)) {
            return error(400, "too large");
        }
        if (!ops.isEmpty() && !writes.take(ops.size())) {
            return error(429, "too many changes");
        }
        for (Map<String, Object> op : ops) {
            if (op.get("permit") != null && !grants.containsKey(Msg.whole(op, "permit"))) {
                return error(400, "no such lease");
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Value value = values.get(Msg.text(condition, "path"));
            if ((value == null ? 0 : value.stamp()) != Msg.whole(condition, "stamp")) {
                failed.add(condition.get("path"));
            }
        }
        if (!failed.isEmpty()) {
            return new Http.Response(409, Msg.map("failed", failed, "ledger_rev", revision));
        }
        if (!ops.isEmpty()) {
            revision++;
            for (Map<String, Object> op : ops) {
                apply(op);
            }
            notifyAll();
        }
        return new Http.Response(200, Msg.map("ledger_rev", revision));
    }

    private void apply(Map<String, Object> op) {
        String path = Msg.text(op, op.containsKey("delete") ? "delete" : "write");
        Value before = values.get(path);
        if (before != null && before.permit() != 0 && grants.containsKey(before.permit())) {
            grants.get(before.permit()).keys.remove(path);
        }
        if (op.containsKey("delete")) {
            if (values.remove(path) != null) {
                addChange(new Change(path, null, revision));
            }
            return;
        }
        long permit = op.get("permit") == null ? 0 : Msg.whole(op, "permit");
        if (permit != 0) {
            grants.get(permit).keys.add(path);
        }
        values.put(path, new Value(op.get("data"), revision, permit));
        addChange(new Change(path, op.get("data"), revision));
    }

    private void addChange(Change change) {
        changes.add(change);
        if (changes.size() > KEPT_CHANGES) {
            forgottenUpTo = changes.remove(0).stamp();
        }
    }

    private synchronized Http.Response grant(long lifeMs) {
        Grant grant = new Grant(lifeMs);
        grant.endsAt = System.nanoTime() + lifeMs * 1_000_000;
        grants.put(++lastPermit, grant);
        return new Http.Response(200, Msg.map("permit", lastPermit));
    }

    private synchronized Http.Response renew(long permit) {
        Grant grant = grants.get(permit);
        if (grant == null) {
            return error(404, "no such lease");
        }
        grant.endsAt = System.nanoTime() + grant.lifeMs * 1_000_000;
        return new Http.Response(200, Msg.map("permit", permit));
    }

    private synchronized Http.Response revoke(long permit) {
        end(permit);
        return new Http.Response(200, Msg.map());
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        List.copyOf(grants.keySet()).forEach(permit -> {
            if (now - grants.get(permit).endsAt > 0) {
                end(permit);
            }
        });
    }

    private void end(long permit) {
        Grant grant = grants.remove(permit);
        if (grant != null && !grant.keys.isEmpty()) {
            revision++;
            List.copyOf(grant.keys).forEach(key -> {
                values.remove(key);
                addChange(new Change(key, null, revision));
            });
            notifyAll();
        }
    }

    private synchronized Http.Response watch(Http.Request request) throws InterruptedException {
        String prefix = request.query().get("starts");
        long since = request.number("since", 0);
        long deadline = System.nanoTime() + Math.min(60_000, request.number("wait_ms", 0)) * 1_000_000;
        while (true) {
            if (since < forgottenUpTo) {
                return error(410, "too old");
            }
            List<Object> events = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).stamp() > since; i--) {
                Change change = changes.get(i);
                if (change.path().startsWith(prefix)) {
                    events.add(
                            0,
                            change.data() == null
                                    ? Msg.map("delete", change.path(), "stamp", change.stamp())
                                    : Msg.map("write", change.path(), "data", change.data(), "stamp", change.stamp()));
                }
            }
            long leftMs = (deadline - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return new Http.Response(200, Msg.map("ledger_rev", revision, "events", events));
            }
            wait(leftMs);
        }
    }
}
