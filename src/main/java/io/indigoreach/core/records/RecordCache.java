package io.indigoreach.core.records;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One controller's copies of the optional features' records: the most recently used of each family, bounded. */
public final class RecordCache {
    private final Map<RecordFamily, Map<String, VersionedRecord>> byFamily = new LinkedHashMap<>();

    /** {@code families}: none may have a prefix that begins with another's. */
    public RecordCache(Collection<RecordFamily> families) {
        for (RecordFamily family : families) {
            if (byFamily.keySet().stream()
                    .anyMatch(other -> other.contains(family.prefix()) || family.contains(other.prefix()))) {
                throw new IllegalArgumentException("two families of records under " + family.prefix());
            }
            byFamily.put(family, new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, VersionedRecord> eldest) {
                    return size() > family.maxRemembered();
                }
            });
        }
    }

    /** The families whose records are kept. */
    public Collection<RecordFamily> families() {
        return byFamily.keySet();
    }

    /** The family of a key; null if it is of none. */
    public RecordFamily familyOf(String key) {
        return byFamily.keySet().stream()
                .filter(family -> family.contains(key))
                .findFirst()
                .orElse(null);
    }

    /** The newest copy; null if there is none. */
    public VersionedRecord get(String key) {
        RecordFamily family = familyOf(key);
        return family == null ? null : byFamily.get(family).get(key);
    }

    /** Read or written, and known to have been acknowledged. An older one than the copy is not taken. */
    public void add(VersionedRecord record) {
        RecordFamily family = familyOf(record.key());
        if (family != null && record.exists()) {
            byFamily.get(family)
                    .merge(record.key(), record, (copy, newer) -> newer.version() >= copy.version() ? newer : copy);
        }
    }

    /** The record was deleted. */
    public void remove(String key) {
        RecordFamily family = familyOf(key);
        if (family != null) {
            byFamily.get(family).remove(key);
        }
    }

    /** Everything, whole families one after the other. */
    public List<VersionedRecord> all() {
        List<VersionedRecord> copies = new ArrayList<>();
        byFamily.values().forEach(familyCopies -> copies.addAll(familyCopies.values()));
        return copies;
    }
}
