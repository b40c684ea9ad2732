package io.indigoreach.api;

import java.util.LinkedHashMap;
import java.util.Map;

/** Maps of limited size. */
final class BoundedMaps {
    private BoundedMaps() {}

    /** A map that drops its oldest entry when it would get more than {@code limit}. */
    static <K, V> Map<K, V> withLimit(int limit) {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
                return size() > limit;
            }
        };
    }
}
