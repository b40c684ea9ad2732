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
 * The wire format of the state service: its paths, and the encoding and decoding of every request and response. The client and
 * the emulated service share it, so that their formats cannot diverge.
 */
public final class StateCodec {
    /** Path of keys and listings. */
    public static final String STORE = "/store";
    /** Path of transactions. */
    public static final String TXN = "/txn";
    /** Path of leases. */
    public static final String LEASES = "/grants";
    /** Path of watches. */
    public static final String WATCH = "/changes";
    /** Suffix of a lease's path that renews the lease. */
    public static final String RENEW = "/renew";
    /** Query parameter: the prefix of the keys. */
    public static final String PREFIX = "starts";
    /** Query parameter: the key or revision after which the result starts. */
    public static final String SINCE = "since";
    /** Query parameter: the maximum number of entries in a page. */
    public static final String LIMIT = "most";
    /** Query parameter: how long a watch waits, in milliseconds. */
    public static final String WAIT = "wait_ms";
    /** The error of a transaction with a lease that has ended. */
    public static final String NO_SUCH_LEASE = "no such lease";

    private static final String UNNAMED_FIELD = "";

    private StateCodec() {}

    /**
     * Reads a stored value as a map. This project stores maps, but the protocol allows any data. A value of another type is
     * wrapped into a map whose only field has an empty name. A map that already has this form is wrapped as well, so that
     * {@link #toWire} restores every value unchanged.
     */
    private static Fields readValue(Fields body, String name) {
        if (!body.has(name)) {
            return body.child(name);
        }
        Object value = body.map().get(name);
        return value instanceof Map<?, ?> map && !isWrapped(map)
                ? body.child(name)
                : new Fields(MessagePackFormat.map(UNNAMED_FIELD, value));
    }

    /** Converts a value that was wrapped on reading back to its wire form. */
    public static Object toWire(Map<String, Object> value) {
        return isWrapped(value) ? value.get(UNNAMED_FIELD) : value;
    }

    private static boolean isWrapped(Map<?, ?> map) {
        return map.size() == 1 && map.containsKey(UNNAMED_FIELD);
    }

    static String keyPath(String key) {
        return STORE + "/" + key;
    }

    static String listPath(String prefix, String after, int limit) {
        return STORE + "?" + PREFIX + "=" + prefix + (after == null ? "" : "&" + SINCE + "=" + after) + "&" + LIMIT
                + "=" + limit;
    }

    static String watchPath(String prefix, long since, Span wait) {
        return WATCH + "?" + PREFIX + "=" + prefix + "&" + SINCE + "=" + since + "&" + WAIT + "=" + wait.ms();
    }

    static String leasePath(long lease) {
        return LEASES + "/" + lease;
    }

    /** The body of a response to a read of a key. */
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

    /** Decodes a key with its value from a response or an item of a page. */
    public static StateClient.Entry readEntry(Fields body) {
        return new StateClient.Entry(
                body.text("path"),
                readValue(body, "data"),
                new Revision(body.wholeNumber("stamp")),
                body.wholeNumber("permit", 0));
    }

    /** The body of a response with only a revision: for an absent key or an executed transaction. */
    public static Map<String, Object> writeRevision(long revision) {
        return MessagePackFormat.map("ledger_rev", revision);
    }

    /** Decodes the store's revision from a response. */
    public static long readRevision(Fields body) {
        return body.wholeNumber("ledger_rev");
    }

    /** The body of a response to a listing. */
    public static Map<String, Object> writePage(StateClient.Page page) {
        List<Object> items = new ArrayList<>(page.entries().size());
        page.entries().forEach(entry -> items.add(writeEntry(entry)));
        return MessagePackFormat.map("items", items, "truncated", page.hasMore(), "ledger_rev", page.revision());
    }

    static StateClient.Page readPage(Fields body) {
        return new StateClient.Page(
                body.children("items").stream().map(StateCodec::readEntry).toList(),
                body.flag("truncated", false),
                readRevision(body));
    }

    /** The body of a transaction request. */
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

    /** Decodes a transaction; throws {@link io.indigoreach.net.WireException} if it is malformed. */
    public static StateClient.Txn readTxn(Fields body) {
        StateClient.Txn txn = new StateClient.Txn();
        for (Fields condition : body.children("when")) {
            txn.when(condition.text("path"), new Revision(condition.wholeNumber("stamp")));
        }
        for (Fields write : body.children("writes")) {
            if (write.has("delete")) {
                txn.delete(write.text("delete"));
            } else {
                txn.put(write.text("write"), readValue(write, "data").map(), write.wholeNumber("permit", 0));
            }
        }
        return txn;
    }

    /** The body of a response to a rejected transaction: the keys whose conditions failed. */
    public static Map<String, Object> writeConflict(List<String> failed, long revision) {
        return MessagePackFormat.map("failed", failed, "ledger_rev", revision);
    }

    static StateClient.Outcome readConflict(Fields body) {
        List<String> failed = body.optionalTexts("failed");
        return new StateClient.Outcome(
                false, body.wholeNumber("ledger_rev", 0), failed == null ? List.of() : failed, false);
    }

    /** The body of a request for a lease. */
    public static Map<String, Object> writeLeaseTime(Span leaseTime) {
        return MessagePackFormat.map("life_ms", leaseTime.ms());
    }

    /** Decodes the time after which the requested lease expires unless it is renewed. */
    public static Span readLeaseTime(Fields body) {
        return new Span(body.wholeNumber("life_ms"));
    }

    /** The body of the response with a granted lease. */
    public static Map<String, Object> writeLease(long lease) {
        return MessagePackFormat.map("permit", lease);
    }

    static long readLease(Fields body) {
        return body.wholeNumber("permit");
    }

    /** The body of a response to a watch. */
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
                            ? new StateClient.Change(event.text("write"), readValue(event, "data"), revision)
                            : new StateClient.Change(event.text("delete"), null, revision));
        }
        return new StateClient.Changes(changes, readRevision(body), false);
    }
}
