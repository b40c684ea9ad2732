package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Team;

/** The resources that one team's tasks use, compared with the team's guarantee and its hard limit. */
final class TeamUsage {
    final Team team;
    private double coresInUse;
    private double gpusInUse;

    TeamUsage(Team team) {
        this.team = team;
    }

    void addUsage(Resources demand, int sign) {
        coresInUse += sign * demand.cores();
        gpusInUse += sign * demand.gpus();
    }

    /** Whether one more task with this demand stays within the limit. */
    boolean hasRoomFor(Resources demand) {
        return team.isWithinLimits(coresInUse + demand.cores(), gpusInUse + demand.gpus());
    }

    /** How many more tasks with this demand fit within the limits if {@code planned} is to be used as well. */
    int remainingTasks(Resources demand, Resources planned) {
        return tasksWithinLimits(demand, new Resources(coresInUse, gpusInUse, 0).plus(planned));
    }

    /**
     * How many tasks with this demand fit within the limits beside {@code planned}, whatever the team uses now.
     */
    int concurrentTasks(Resources demand, Resources planned) {
        return tasksWithinLimits(demand, planned);
    }

    private int tasksWithinLimits(Resources demand, Resources used) {
        if (!team.isWithinLimits(used.cores() + demand.cores(), used.gpus() + demand.gpus())) {
            return 0;
        }
        return demand.countFittingIn(new Resources(
                remaining(team.maxCores(), used.cores()),
                remaining(team.maxGpus(), used.gpus()),
                Double.POSITIVE_INFINITY));
    }

    private static double remaining(double limit, double inUse) {
        return limit > 0 ? limit - inUse : Double.POSITIVE_INFINITY;
    }

    boolean hasGuarantee() {
        return team.guaranteedCores() > 0 || team.guaranteedGpus() > 0;
    }

    boolean isWithinGuarantee(Resources additional) {
        return team.isWithinGuarantee(coresInUse + additional.cores(), gpusInUse + additional.gpus());
    }
}
