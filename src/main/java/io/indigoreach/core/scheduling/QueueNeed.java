package io.indigoreach.core.scheduling;

import java.util.HashMap;
import java.util.Map;

/** Sums the machines that the waiting jobs of one queue need, in queue order. */
final class QueueNeed {
    private final Map<String, MachineTypeNeed> byType = new HashMap<>();
    /** Work of the short jobs per machine type, in machine seconds. */
    private final Map<String, Double> shortWork = new HashMap<>();
    /** Cores counted so far for each team, compared with its limit. */
    private final Map<TeamUsage, Double> plannedCores = new HashMap<>();

    private boolean hasShortJob;

    /** Returns the need of each machine type, keyed by type name. */
    Map<String, MachineTypeNeed> byType() {
        return byType;
    }

    MachineTypeNeed forType(String type) {
        return byType.computeIfAbsent(type, name -> new MachineTypeNeed());
    }

    /**
     * Adds the job's tasks to the planned cores of its team as far as the team's limit allows; returns how many were
     * added.
     */
    int countWithinTeamLimit(Job job, TeamUsage team) {
        int tasks = Math.min(
                job.startableCount(), team.remainingTasks(job.spec.demand(), plannedCores.getOrDefault(team, 0.0)));
        plannedCores.merge(team, Math.max(0, tasks) * job.spec.demand().cores(), Double::sum);
        return tasks;
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
