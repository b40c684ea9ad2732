package io.indigoreach.core.records;

import io.indigoreach.core.Stamp;
import java.util.LinkedHashMap;
import java.util.Map;

/** Writes that are done together or not at all, and the versions that keys must have for them. */
public final class Change {
    private final Map<String, Stamp> conditions = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> writes = new LinkedHashMap<>();

    public Change when(String key, Stamp stamp) {
        conditions.put(key, stamp);
        return this;
    }

    /** Only if the record is still as it was read. */
    public Change when(Kept read) {
        return when(read.key(), read.stamp());
    }

    public Change put(String key, Map<String, Object> value) {
        writes.put(key, value);
        return this;
    }

    /** Puts a new value in place of what was read, if it still stands, and counts the change. */
    public Change replace(Kept read, Map<String, Object> value) {
        Map<String, Object> counted = new LinkedHashMap<>(value);
        counted.put(Kept.VERSION, read.version() + 1);
        return when(read).put(read.key(), counted);
    }

    public Change delete(String key) {
        writes.put(key, null);
        return this;
    }

    public Change and(Change other) {
        conditions.putAll(other.conditions);
        writes.putAll(other.writes);
        return this;
    }

    public Map<String, Stamp> conditions() {
        return conditions;
    }

    /** By key; null: the key is deleted. */
    public Map<String, Map<String, Object>> writes() {
        return writes;
    }

    public boolean isEmpty() {
        return conditions.isEmpty() && writes.isEmpty();
    }
}
