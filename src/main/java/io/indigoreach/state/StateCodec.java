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
 * The state service's words: its paths, and each request and answer both written and read here, so that the client and
 * whatever stands in for the service cannot come to differ.
 */
public final class StateCodec {
    public static final String STORE = "/store";
    public static final String TXN = "/txn";
    public static final String LEASES = "/grants";
    public static final String WATCH = "/changes";
    public static final String RENEW = "/renew";
    public static final String PREFIX = "starts";
    public static final String SINCE = "since";
    public static final String LIMIT = "most";
    public static final String WAIT = "wait_ms";
    public static final String NO_SUCH_LEASE = "no such lease";

    private static final String NAMELESS = "";

    private StateCodec() {}

    /**
     * A value as it is kept: this project's are maps, the protocol allows any data. What is no map becomes the only
     * field, without a name, of one; so does a map that looks like that, and thus each comes back as it was.
     */
    private static Fields unwrapped(Fields f, String name) {
        if (!f.has(name)) {
            return f.child(name);
        }
        Object value = f.map().get(name);
        return value instanceof Map<?, ?> map && !isWrapped(map)
                ? f.child(name)
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

    public static Map<String, Object> writeEntry(StateClient.Entry e) {
        Map<String, Object> map = MessagePackFormat.map(
                "path",
                e.key(),
                "data",
                toWire(e.value().map()),
                "stamp",
                e.revision().value());
        if (e.lease() > 0) {
            map.put("permit", e.lease());
        }
        return map;
    }

    public static StateClient.Entry readEntry(Fields f) {
        return new StateClient.Entry(
                f.text("path"), unwrapped(f, "data"), new Revision(f.whole("stamp")), f.whole("permit", 0));
    }

    /** What is said where there is only the revision to tell: a key that is absent, a transaction that is done. */
    public static Map<String, Object> writeRevision(long revision) {
        return MessagePackFormat.map("ledger_rev", revision);
    }

    public static long readRevision(Fields f) {
        return f.whole("ledger_rev");
    }

    public static Map<String, Object> writePage(StateClient.Page page) {
        List<Object> items = new ArrayList<>(page.items().size());
        page.items().forEach(e -> items.add(writeEntry(e)));
        return MessagePackFormat.map("items", items, "truncated", page.more(), "ledger_rev", page.revision());
    }

    static StateClient.Page readPage(Fields f) {
        return new StateClient.Page(
                f.children("items").stream().map(StateCodec::readEntry).toList(),
                f.flag("truncated", false),
                readRevision(f));
    }

    public static Map<String, Object> writeTxn(StateClient.Txn txn) {
        List<Object> when = new ArrayList<>();
        txn.conditions()
                .forEach((key, revision) -> when.add(MessagePackFormat.map("path", key, "stamp", revision.value())));
        List<Object> writes = new ArrayList<>();
        for (StateClient.Write w : txn.writes()) {
            Map<String, Object> map = new LinkedHashMap<>();
            if (w.isDelete()) {
                map.put("delete", w.key());
            } else {
                map.put("write", w.key());
                map.put("data", toWire(w.value()));
                if (w.lease() > 0) {
                    map.put("permit", w.lease());
                }
            }
            writes.add(map);
        }
        return MessagePackFormat.map("when", when, "writes", writes);
    }

    /** Throws {@link io.indigoreach.net.WireException} for anything that is not a transaction. */
    public static StateClient.Txn readTxn(Fields f) {
        StateClient.Txn txn = new StateClient.Txn();
        for (Fields c : f.children("when")) {
            txn.when(c.text("path"), new Revision(c.whole("stamp")));
        }
        for (Fields w : f.children("writes")) {
            if (w.has("delete")) {
                txn.delete(w.text("delete"));
            } else {
                txn.put(w.text("write"), unwrapped(w, "data").map(), w.whole("permit", 0));
            }
        }
        return txn;
    }

    public static Map<String, Object> writeConflict(List<String> failed, long revision) {
        return MessagePackFormat.map("failed", failed, "ledger_rev", revision);
    }

    static StateClient.Outcome readConflict(Fields f) {
        List<String> failed = f.optionalTexts("failed");
        return new StateClient.Outcome(false, f.whole("ledger_rev", 0), failed == null ? List.of() : failed, false);
    }

    public static Map<String, Object> writeLife(Span life) {
        return MessagePackFormat.map("life_ms", life.ms());
    }

    public static Span readLife(Fields f) {
        return new Span(f.whole("life_ms"));
    }

    public static Map<String, Object> writeLease(long lease) {
        return MessagePackFormat.map("permit", lease);
    }

    static long readLease(Fields f) {
        return f.whole("permit");
    }

    public static Map<String, Object> writeChanges(StateClient.Changes changes) {
        List<Object> events = new ArrayList<>(changes.changes().size());
        for (StateClient.Change c : changes.changes()) {
            events.add(
                    c.value() == null
                            ? MessagePackFormat.map(
                                    "delete", c.key(), "stamp", c.revision().value())
                            : MessagePackFormat.map(
                                    "write",
                                    c.key(),
                                    "data",
                                    toWire(c.value().map()),
                                    "stamp",
                                    c.revision().value()));
        }
        return MessagePackFormat.map("ledger_rev", changes.revision(), "events", events);
    }

    static StateClient.Changes readChanges(Fields f) {
        List<StateClient.Change> changes = new ArrayList<>();
        for (Fields e : f.children("events")) {
            Revision revision = new Revision(e.whole("stamp"));
            changes.add(
                    e.has("write")
                            ? new StateClient.Change(e.text("write"), unwrapped(e, "data"), revision)
                            : new StateClient.Change(e.text("delete"), null, revision));
        }
        return new StateClient.Changes(changes, readRevision(f), false);
    }
}
