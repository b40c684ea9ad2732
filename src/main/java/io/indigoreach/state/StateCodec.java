package io.indigoreach.state;

import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The wire format of the state service: its paths, and each request and response both written and read here, so that the client
 * and an emulated service cannot come to differ.
 */
public final class StateCodec {
    /** Path of keys and listings. */
    public static final String STORE = "/store";
    /** Path of compare-and-swaps. */
    public static final String TXN = "/txn";
    /** Path of leases. */
    public static final String LEASES = "/grants";
    /** Path of watches. */
    public static final String WATCH = "/changes";
    /** Renews the lease whose path precedes it. */
    public static final String RENEW = "/renew";
    /** Query parameter: the prefix of the keys. */
    public static final String PREFIX = "starts";
    /** Query parameter: after which key or revision. */
    public static final String SINCE = "since";
    /** Query parameter: the most entries of a page. */
    public static final String LIMIT = "most";
    /** Query parameter: how long a watch waits. */
    public static final String WAIT = "wait_ms";
    /** The error of a compare-and-swap with a lease that has ended. */
    public static final String NO_SUCH_LEASE = "no such lease";

    private static final String NAMELESS = "";

    private StateCodec() {}

    /**
     * A value as it is kept: this project's are maps, the protocol allows any data. What is no map becomes the only
     * field, without a name, of one; so does a map that looks like that, and thus each comes back as it was.
     */
    private static Fields unwrapped(Fields body, String name) {
        if (!body.has(name)) {
            return body.child(name);
        }
        Object value = body.map().get(name);
        return value instanceof Map<?, ?> map && !isWrapped(map)
                ? body.child(name)
                : new Fields(MessagePackFormat.map(NAMELESS, value));
    }

    /** A kept value as it is on the wire. */
    public static Object toWire(Map<String, Object> kept) {
        return isWrapped(kept) ? kept.get(NAMELESS) : kept;
    }

    private static boolean isWrapped(Map<?, ?> map) {
        return map.size() == 1 && map.containsKey(NAMELESS);
    }

    static String keyPath(String key) {
        return STORE + "/" + key;
    }

    static String listPath(String prefix, String after, int most) {
        return STORE + "?" + PREFIX + "=" + prefix + (after == null ? "" : "&" + SINCE + "=" + after) + "&" + LIMIT
                + "=" + most;
    }

    static String watchPath(String prefix, long since, Span wait) {
        return WATCH + "?" + PREFIX + "=" + prefix + "&" + SINCE + "=" + since + "&" + WAIT + "=" + wait.ms();
    }

    static String leasePath(long lease) {
        return LEASES + "/" + lease;
    }

    /** The body of a key's response. */
    public static Map<String, Object> writeEntry(StateClient.Entry entry) {
        Map<String, Object> map = MessagePackFormat.map(
                "path",
                entry.key(),
                "data",
                toWire(entry.value().map()),
                "stamp",
                entry.revision().value());
        if (entry.lease() > 0) {
            map.put("permit", entry.lease());
        }
        return map;
    }

    /** A key with its value, from a response or an item of a page. */
    public static StateClient.Entry readEntry(Fields body) {
        return new StateClient.Entry(
                body.text("path"),
                unwrapped(body, "data"),
                new Revision(body.wholeNumber("stamp")),
                body.wholeNumber("permit", 0));
    }

    /** What is said where there is only the revision to tell: a key that is absent, a transaction that is done. */
    public static Map<String, Object> writeRevision(long revision) {
        return MessagePackFormat.map("ledger_rev", revision);
    }

    /** The revision of the store in a response. */
    public static long readRevision(Fields body) {
        return body.wholeNumber("ledger_rev");
    }

    /** The body of a listing's response. */
    public static Map<String, Object> writePage(StateClient.Page page) {
        List<Object> items = new ArrayList<>(page.items().size());
        page.items().forEach(entry -> items.add(writeEntry(entry)));
        return MessagePackFormat.map("items", items, "truncated", page.more(), "ledger_rev", page.revision());
    }

    static StateClient.Page readPage(Fields body) {
        return new StateClient.Page(
                body.children("items").stream().map(StateCodec::readEntry).toList(),
                body.flag("truncated", false),
                readRevision(body));
    }

    /** The body of a compare-and-swap. */
    public static Map<String, Object> writeTxn(StateClient.Txn txn) {
        List<Object> when = new ArrayList<>();
        txn.conditions()
                .forEach((key, revision) -> when.add(MessagePackFormat.map("path", key, "stamp", revision.value())));
        List<Object> writes = new ArrayList<>();
        for (StateClient.Write write : txn.writes()) {
            Map<String, Object> map = new LinkedHashMap<>();
            if (write.isDelete()) {
                map.put("delete", write.key());
            } else {
                map.put("write", write.key());
                map.put("data", toWire(write.value()));
                if (write.lease() > 0) {
                    map.put("permit", write.lease());
                }
            }
            writes.add(map);
        }
        return MessagePackFormat.map("when", when, "writes", writes);
    }

    /** Throws {@link io.indigoreach.net.WireException} for anything that is not a transaction. */
    public static StateClient.Txn readTxn(Fields body) {
        StateClient.Txn txn = new StateClient.Txn();
        for (Fields condition : body.children("when")) {
            txn.when(condition.text("path"), new Revision(condition.wholeNumber("stamp")));
        }
        for (Fields write : body.children("writes")) {
            if (write.has("delete")) {
                txn.delete(write.text("delete"));
            } else {
                txn.put(write.text("write"), unwrapped(write, "data").map(), write.wholeNumber("permit", 0));
            }
        }
        return txn;
    }

    /** The body of a rejected compare-and-swap: the keys whose conditions failed. */
    public static Map<String, Object> writeConflict(List<String> failed, long revision) {
        return MessagePackFormat.map("failed", failed, "ledger_rev", revision);
    }

    static StateClient.Outcome readConflict(Fields body) {
        List<String> failed = body.optionalTexts("failed");
        return new StateClient.Outcome(
                false, body.wholeNumber("ledger_rev", 0), failed == null ? List.of() : failed, false);
    }

    /** The body of a request for a lease. */
    public static Map<String, Object> writeLife(Span life) {
        return MessagePackFormat.map("life_ms", life.ms());
    }

    /** How long the requested lease lasts without renewal. */
    public static Span readLife(Fields body) {
        return new Span(body.wholeNumber("life_ms"));
    }

    /** The body of a granted lease. */
    public static Map<String, Object> writeLease(long lease) {
        return MessagePackFormat.map("permit", lease);
    }

    static long readLease(Fields body) {
        return body.wholeNumber("permit");
    }

    /** The body of a watch's response. */
    public static Map<String, Object> writeChanges(StateClient.Changes changes) {
        List<Object> events = new ArrayList<>(changes.changes().size());
        for (StateClient.Change change : changes.changes()) {
            events.add(
                    change.value() == null
                            ? MessagePackFormat.map(
                                    "delete",
                                    change.key(),
                                    "stamp",
                                    change.revision().value())
                            : MessagePackFormat.map(
                                    "write",
                                    change.key(),
                                    "data",
                                    toWire(change.value().map()),
                                    "stamp",
                                    change.revision().value()));
        }
        return MessagePackFormat.map("ledger_rev", changes.revision(), "events", events);
    }

    static StateClient.Changes readChanges(Fields body) {
        List<StateClient.Change> changes = new ArrayList<>();
        for (Fields event : body.children("events")) {
            Revision revision = new Revision(event.wholeNumber("stamp"));
            changes.add(
                    event.has("write")
                            ? new StateClient.Change(event.text("write"), unwrapped(event, "data"), revision)
                            : new StateClient.Change(event.text("delete"), null, revision));
        }
        return new StateClient.Changes(changes, readRevision(body), false);
    }
}
