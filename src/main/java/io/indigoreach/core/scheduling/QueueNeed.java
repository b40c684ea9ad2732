package io.indigoreach.core.scheduling;

import java.util.HashMap;
import java.util.Map;

/** What the waiting jobs of one queue need, counted in the order of the queue. */
final class QueueNeed {
    private final Map<String, TypeNeed> byType = new HashMap<>();
    /** Work of the short jobs per machine type, in seconds of a whole machine. */
    private final Map<String, Double> shortWork = new HashMap<>();
    /** Cores counted so far for each team, against its limit. */
    private final Map<TeamUsage, Double> plannedCores = new HashMap<>();

    private boolean topShortCounted;

    /** The need per machine type, by its name. */
    Map<String, TypeNeed> byType() {
        return byType;
    }

    TypeNeed ofType(String type) {
        return byType.computeIfAbsent(type, name -> new TypeNeed());
    }

    /** How many of the job's tasks its team's limit allows beside those counted before; they are counted with them. */
    int withinTeamLimit(Job job, TeamUsage team) {
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

    /** Returns true for the first short job, which is counted whole, and false for those behind it. */
    boolean countTopShort() {
        boolean first = !topShortCounted;
        topShortCounted = true;
        return first;
    }
}
