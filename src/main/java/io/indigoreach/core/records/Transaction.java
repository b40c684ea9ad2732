package io.indigoreach.core.records;

import io.indigoreach.core.model.Revision;
import java.util.LinkedHashMap;
import java.util.Map;

/** A compare-and-swap: writes that are executed atomically, provided that the given keys have the given revisions. */
public final class Transaction {
    private final Map<String, Revision> conditions = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> writes = new LinkedHashMap<>();

    /** Adds the condition that the key has this revision. */
    public Transaction when(String key, Revision revision) {
        conditions.put(key, revision);
        return this;
    }

    /** Adds the condition that the record has not changed since it was read. */
    public Transaction when(VersionedRecord read) {
        return when(read.key(), read.revision());
    }

    /** Adds a write of a value. */
    public Transaction put(String key, Map<String, Object> value) {
        writes.put(key, value);
        return this;
    }

    /** Replaces the value of a record if it has not changed since it was read, and increments its version. */
    public Transaction replace(VersionedRecord read, Map<String, Object> value) {
        Map<String, Object> newValue = new LinkedHashMap<>(value);
        newValue.put(VersionedRecord.VERSION_FIELD, read.version() + 1);
        return when(read).put(read.key(), newValue);
    }

    /** Adds the deletion of a key. */
    public Transaction delete(String key) {
        writes.put(key, null);
        return this;
    }

    /** Adds the conditions and writes of another transaction. */
    public Transaction and(Transaction other) {
        conditions.putAll(other.conditions);
        writes.putAll(other.writes);
        return this;
    }

    /** Returns the required revisions by key. */
    public Map<String, Revision> conditions() {
        return conditions;
    }

    /** Returns the values to write by key; null deletes the key. */
    public Map<String, Map<String, Object>> writes() {
        return writes;
    }

    /** Whether there are neither conditions nor writes. */
    public boolean isEmpty() {
        return conditions.isEmpty() && writes.isEmpty();
    }
}
