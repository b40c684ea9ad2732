package io.indigoreach.core.records;

import io.indigoreach.core.model.Revision;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A record of an optional feature as it was read or written. Its value contains a version under {@link #VERSION_FIELD}, which increases with each
 * write and determines the newer of two copies. The state service's revision cannot serve for that, as it starts again when data are lost.
 *
 * @param value the value, or null if the record is absent
 * @param revision the state service's revision; {@link Revision#ABSENT} if the record is absent
 */
public record VersionedRecord(String key, Map<String, Object> value, Revision revision) {
    /** The field with a record's version; the routines of the optional features increment it with each write. */
    public static final String VERSION_FIELD = "v";

    /** Copies the value. */
    public VersionedRecord {
        value = value == null ? null : Collections.unmodifiableMap(new LinkedHashMap<>(value));
    }

    /** Returns a record that stands for an absent key. */
    public static VersionedRecord absent(String key) {
        return new VersionedRecord(key, null, Revision.ABSENT);
    }

    /** Whether the record is present. */
    public boolean exists() {
        return value != null;
    }

    /** Returns the version, or 0 if the record is absent. */
    public long version() {
        return value != null && value.get(VERSION_FIELD) instanceof Number number ? number.longValue() : 0;
    }
}
