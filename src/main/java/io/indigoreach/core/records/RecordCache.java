package io.indigoreach.core.records;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A controller's copies of the optional features' records: a bounded LRU cache for each family. */
public final class RecordCache {
    private final Map<RecordFamily, Map<String, VersionedRecord>> byFamily = new LinkedHashMap<>();

    /** {@code families}: the families to cache; no prefix may start with that of another family. */
    public RecordCache(Collection<RecordFamily> families) {
        for (RecordFamily family : families) {
            if (byFamily.keySet().stream()
                    .anyMatch(other -> other.contains(family.prefix()) || family.contains(other.prefix()))) {
                throw new IllegalArgumentException(
                        "the prefix " + family.prefix() + " overlaps with the prefix of another record family");
            }
            byFamily.put(family, new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, VersionedRecord> eldest) {
                    return size() > family.maxRemembered();
                }
            });
        }
    }

    /** Returns the families whose records are cached. */
    public Collection<RecordFamily> families() {
        return byFamily.keySet();
    }

    /** Returns the family of a key, or null if it belongs to none. */
    public RecordFamily familyOf(String key) {
        return byFamily.keySet().stream()
                .filter(family -> family.contains(key))
                .findFirst()
                .orElse(null);
    }

    /** Returns the copy of a record, or null if there is none. */
    public VersionedRecord get(String key) {
        RecordFamily family = familyOf(key);
        return family == null ? null : byFamily.get(family).get(key);
    }

    /** Adds a record that was read, or whose write was acknowledged, unless the cache has a newer copy. */
    public void add(VersionedRecord record) {
        RecordFamily family = familyOf(record.key());
        if (family != null && record.exists()) {
            byFamily.get(family)
                    .merge(record.key(), record, (copy, newer) -> newer.version() >= copy.version() ? newer : copy);
        }
    }

    /** Removes the copy of a deleted record. */
    public void remove(String key) {
        RecordFamily family = familyOf(key);
        if (family != null) {
            byFamily.get(family).remove(key);
        }
    }

    /** Returns all copies, grouped by family. */
    public List<VersionedRecord> all() {
        List<VersionedRecord> copies = new ArrayList<>();
        byFamily.values().forEach(familyCopies -> copies.addAll(familyCopies.values()));
        return copies;
    }
}
