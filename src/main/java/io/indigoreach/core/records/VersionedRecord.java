package io.indigoreach.core.records;

import io.indigoreach.core.model.Revision;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A record of an optional feature as it was read or written. Besides the state service's revision, which begins anew when data are lost, its
 * value counts its own changes under {@link #VERSION}: of two copies the one with the higher count is the newer.
 *
 * @param revision the state service's version; {@link Revision#ABSENT} with a null value if there is no such record
 */
public record VersionedRecord(String key, Map<String, Object> value, Revision revision) {
    /** The field that counts a record's changes; a part's routine raises it with each write. */
    public static final String VERSION_FIELD = "v";

    /** Copies the value. */
    public VersionedRecord {
        value = value == null ? null : Collections.unmodifiableMap(new LinkedHashMap<>(value));
    }

    /** There is no record under this key. */
    public static VersionedRecord absent(String key) {
        return new VersionedRecord(key, null, Revision.ABSENT);
    }

    /** Whether there is such a record. */
    public boolean exists() {
        return value != null;
    }

    /** How often it was changed; 0 if it is not there. */
    public long version() {
        return value != null && value.get(VERSION_FIELD) instanceof Number number ? number.longValue() : 0;
    }
}
