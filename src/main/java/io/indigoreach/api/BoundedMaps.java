package io.indigoreach.api;

import java.util.LinkedHashMap;
import java.util.Map;

/** Creates maps of limited size. */
final class BoundedMaps {
    private BoundedMaps() {}

    /** Returns a map that removes its oldest entry when an insertion would exceed {@code limit} entries. */
    static <K, V> Map<K, V> withLimit(int limit) {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > limit;
            }
        };
    }
}
