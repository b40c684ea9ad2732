package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Resources;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts waiting tasks of several jobs, one job after the other, as far as the limits of their teams allow. Tasks beyond
 * a limit cannot start on any machine, so they are no need for capacity.
 */
final class TeamLimitCounter {
    private final Cluster cluster;
    private final boolean includesTasksInUse;
    /** Resources counted so far for each team with a limit. */
    private final Map<TeamUsage, Resources> counted = new HashMap<>();

    private TeamLimitCounter(Cluster cluster, boolean includesTasksInUse) {
        this.cluster = cluster;
        this.includesTasksInUse = includesTasksInUse;
    }

    /** Counts the tasks that may start in addition to the tasks that the teams have on machines now. */
    static TeamLimitCounter ofTasksThatMayStartNow(Cluster cluster) {
        return new TeamLimitCounter(cluster, true);
    }

    /**
     * Counts the tasks that may run at once, whatever the teams have on machines now: those that start as soon as others
     * end are included.
     */
    static TeamLimitCounter ofTasksThatMayRunAtOnce(Cluster cluster) {
        return new TeamLimitCounter(cluster, false);
    }

    /** Counts as many of the job's {@code waitingTasks} as its team's limits allow; returns how many these are. */
    int count(Job job, int waitingTasks) {
        TeamUsage usage = cluster.teamUsage(job);
        if (!usage.team.hasLimits()) {
            return waitingTasks;
        }
        Resources demand = job.spec.demand();
        Resources countedOfTeam = counted.getOrDefault(usage, Resources.NONE);
        int allowed = includesTasksInUse
                ? usage.remainingTasks(demand, countedOfTeam)
                : usage.concurrentTasks(demand, countedOfTeam);
        int tasks = Math.min(waitingTasks, allowed);
        counted.put(usage, countedOfTeam.plus(demand.times(tasks)));
        return tasks;
    }
}
