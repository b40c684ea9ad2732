package io.indigoreach.core.scheduling;

import java.util.HashMap;
import java.util.Map;

/** Sums the machines that the waiting jobs of one queue need, in queue order. */
final class QueueNeed {
    private final Map<String, MachineTypeNeed> byType = new HashMap<>();
    /** Work of the short jobs per machine type, in machine seconds. */
    private final Map<String, Double> shortWork = new HashMap<>();

    private boolean hasShortJob;

    /** Returns the need of each machine type, keyed by type name. */
    Map<String, MachineTypeNeed> byType() {
        return byType;
    }

    MachineTypeNeed forType(String type) {
        return byType.computeIfAbsent(type, name -> new MachineTypeNeed());
    }

    void addShortWork(String type, double machineSeconds) {
        shortWork.merge(type, machineSeconds, Double::sum);
    }

    double shortWork(String type) {
        return shortWork.getOrDefault(type, 0.0);
    }

    /**
     * Registers a short job. Returns true for the first one, all of whose tasks count towards the need, and false for
     * later ones.
     */
    boolean registerShortJob() {
        boolean first = !hasShortJob;
        hasShortJob = true;
        return first;
    }
}
