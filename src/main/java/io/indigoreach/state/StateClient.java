package io.indigoreach.state;

import io.indigoreach.core.Span;
import io.indigoreach.core.Stamp;
import io.indigoreach.net.Caller;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Reply;
import io.indigoreach.net.Wire;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The state service's protocol. A failed future means that the outcome is unknown or that the
 * request was refused and surely not executed ({@link Refused}).
 */
public final class StateClient {
    /** The request was not executed: an outage, or a limit. */
    public static final class Refused extends RuntimeException {
        Refused(int status) {
            super("the state service answers " + status, null, false, false);
        }
    }

    /** A key with its value and version. */
    public record Entry(String key, Fields value, Stamp stamp) {
    }

    /** A page of a listing. */
    public record Page(List<Entry> items, boolean more, long revision) {
    }

    /** A change of a key; the value is null if it was deleted. */
    public record Change(String key, Fields value, Stamp stamp) {
    }

    /** What a watch brought; {@code tooOld}: the keys are to be read again. */
    public record Changes(List<Change> changes, long revision, boolean tooOld) {
    }

    /** A transaction's outcome: done at a revision, or the keys that did not have the given version. */
    public record Outcome(boolean done, long revision, List<String> failed, boolean leaseGone) {
        public Stamp stamp() {
            return new Stamp(revision);
        }
    }

    /** A transaction being put together. */
    public static final class Txn {
        private final List<Object> when = new ArrayList<>();
        private final List<Object> writes = new ArrayList<>();

        public Txn when(String key, Stamp stamp) {
            when.add(Wire.map("path", key, "stamp", stamp.value()));
            return this;
        }

        public Txn put(String key, Map<String, Object> value) {
            writes.add(Wire.map("write", key, "data", value));
            return this;
        }

        public Txn put(String key, Map<String, Object> value, long lease) {
            writes.add(Wire.map("write", key, "data", value, "permit", lease));
            return this;
        }

        public Txn delete(String key) {
            writes.add(Wire.map("delete", key));
            return this;
        }

        public int size() {
            return writes.size();
        }
    }

    private static final Span TIMEOUT = Span.seconds(2);

    private final Caller caller;
    private final Caller watcher;

    /** Watches stay open, so they have connections of their own. */
    public StateClient(Caller caller, Caller watcher) {
        this.caller = caller;
        this.watcher = watcher;
    }

    /** Succeeds if the service answers requests of this node. */
    public Future<Void> check() {
        return caller.get("/store/" + RecordCodec.LEADER, Span.seconds(1)).map(r -> {
            if (r.status() != 404 && r.status() != 429) {
                ok(r);
            }
            return null;
        });
    }

    /** The entry of a key; null if there is none. */
    public Future<Entry> get(String key) {
        return caller.get("/store/" + key, TIMEOUT).map(r -> {
            if (r.status() == 404) {
                return null;
            }
            Fields body = ok(r);
            return new Entry(key, body.child("data"), new Stamp(body.whole("stamp")));
        });
    }

    public Future<Page> list(String prefix, String after, int most) {
        String path = "/store?starts=" + prefix + (after == null ? "" : "&since=" + after) + "&most=" + most;
        return caller.get(path, Span.seconds(4)).map(r -> {
            Fields body = ok(r);
            List<Entry> items = new ArrayList<>();
            for (Fields item : body.children("items")) {
                items.add(new Entry(item.text("path"), item.child("data"), new Stamp(item.whole("stamp"))));
            }
            return new Page(items, body.flag("truncated", false), body.whole("ledger_rev"));
        });
    }

    public Future<Outcome> commit(Txn txn) {
        Map<String, Object> body = Wire.map("when", txn.when, "writes", txn.writes);
        return caller.post("/txn", body, TIMEOUT).map(r -> {
            if (r.status() == 200) {
                return new Outcome(true, r.body().whole("ledger_rev"), List.of(), false);
            }
            if (r.status() == 409) {
                List<String> failed = r.body().optionalTexts("failed");
                return new Outcome(false, r.body().whole("ledger_rev", 0), failed == null ? List.of() : failed, false);
            }
            if (r.status() == 400 && "no such lease".equals(r.body().optionalText("error"))) {
                return new Outcome(false, 0, List.of(), true);
            }
            throw new Refused(r.status());
        });
    }

    public Future<Long> grant(Span life) {
        return caller.post("/grants", Wire.map("life_ms", life.ms()), TIMEOUT).map(r -> ok(r).whole("permit"));
    }

    /** Whether the lease goes on; false if it has ended. */
    public Future<Boolean> renew(long lease) {
        return caller.post("/grants/" + lease + "/renew", Map.of(), TIMEOUT).map(r -> {
            if (r.status() == 404) {
                return false;
            }
            ok(r);
            return true;
        });
    }

    public Future<Void> drop(long lease) {
        return caller.delete("/grants/" + lease, TIMEOUT).mapEmpty();
    }

    public Future<Changes> watch(String prefix, long since, Span wait) {
        String path = "/changes?starts=" + prefix + "&since=" + since + "&wait_ms=" + wait.ms();
        return watcher.get(path, wait.plus(TIMEOUT)).map(r -> {
            if (r.status() == 410) {
                return new Changes(List.of(), 0, true);
            }
            Fields body = ok(r);
            List<Change> changes = new ArrayList<>();
            for (Fields event : body.children("events")) {
                Stamp stamp = new Stamp(event.whole("stamp"));
                changes.add(event.has("write") ? new Change(event.text("write"), event.child("data"), stamp)
                        : new Change(event.text("delete"), null, stamp));
            }
            return new Changes(changes, body.whole("ledger_rev"), false);
        });
    }

    private static Fields ok(Reply reply) {
        if (reply.status() == 200) {
            return reply.body();
        }
        throw new Refused(reply.status());
    }

    /** Whether a failure says that the request surely was not executed. */
    public static boolean surelyNotExecuted(Throwable failure) {
        return failure instanceof Refused;
    }

}
