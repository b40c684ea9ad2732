package io.indigoreach.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The placements of one job by task index, with a count per zone. */
final class JobPlacements {
    private final Map<Integer, Placement> byIndex = new HashMap<>();
    private final Map<String, Integer> countByZone = new HashMap<>();

    void add(Placement placement) {
        byIndex.put(placement.index, placement);
        countByZone.merge(placement.machine.pool.zone(), 1, Integer::sum);
    }

    /** Removes the placement; returns false if the task has a newer one. */
    boolean remove(Placement placement) {
        if (!byIndex.remove(placement.index, placement)) {
            return false;
        }
        countByZone.merge(placement.machine.pool.zone(), -1, Integer::sum);
        return true;
    }

    Placement get(int index) {
        return byIndex.get(index);
    }

    Collection<Placement> all() {
        return byIndex.values();
    }

    List<Placement> copy() {
        return new ArrayList<>(byIndex.values());
    }

    Set<Integer> taskIndexes() {
        return byIndex.keySet();
    }

    boolean isEmpty() {
        return byIndex.isEmpty();
    }

    int runningCount() {
        int count = 0;
        for (Placement placement : byIndex.values()) {
            count += placement.isRunning() ? 1 : 0;
        }
        return count;
    }

    boolean isAnyRunning() {
        for (Placement placement : byIndex.values()) {
            if (placement.isRunning()) {
                return true;
            }
        }
        return false;
    }

    int countInZone(String zone) {
        return countByZone.getOrDefault(zone, 0);
    }

    /** Any zone with placements; empty if there are none. */
    Optional<String> anyZone() {
        for (Map.Entry<String, Integer> entry : countByZone.entrySet()) {
            if (entry.getValue() > 0) {
                return Optional.of(entry.getKey());
            }
        }
        return Optional.empty();
    }
}
