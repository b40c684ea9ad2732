package io.indigoreach.core.records;

import io.indigoreach.core.model.Revision;
import java.util.LinkedHashMap;
import java.util.Map;

/** A compare-and-swap: writes that are executed together or not at all, and the revisions that keys must have for them. */
public final class Transaction {
    private final Map<String, Revision> conditions = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> writes = new LinkedHashMap<>();

    /** Only if the key has this revision. */
    public Transaction when(String key, Revision revision) {
        conditions.put(key, revision);
        return this;
    }

    /** Only if the record is still as it was read. */
    public Transaction when(VersionedRecord read) {
        return when(read.key(), read.revision());
    }

    /** Writes a value. */
    public Transaction put(String key, Map<String, Object> value) {
        writes.put(key, value);
        return this;
    }

    /** Puts a new value in place of what was read, if that is still current, and counts the change. */
    public Transaction replace(VersionedRecord read, Map<String, Object> value) {
        Map<String, Object> newValue = new LinkedHashMap<>(value);
        newValue.put(VersionedRecord.VERSION_FIELD, read.version() + 1);
        return when(read).put(read.key(), newValue);
    }

    /** Deletes a key. */
    public Transaction delete(String key) {
        writes.put(key, null);
        return this;
    }

    /** Adds another's conditions and writes. */
    public Transaction and(Transaction other) {
        conditions.putAll(other.conditions);
        writes.putAll(other.writes);
        return this;
    }

    /** The revision that each key must have. */
    public Map<String, Revision> conditions() {
        return conditions;
    }

    /** By key; null: the key is deleted. */
    public Map<String, Map<String, Object>> writes() {
        return writes;
    }

    /** Whether it neither requires nor writes anything. */
    public boolean isEmpty() {
        return conditions.isEmpty() && writes.isEmpty();
    }
}
