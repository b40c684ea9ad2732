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

    /** How many more tasks with this demand fit within the core limit if {@code plannedCores} are already planned. */
    int remainingTasks(Resources demand, double plannedCores) {
        return team.maxCores() > 0 && demand.cores() > 0
                ? (int) ((team.maxCores() - coresInUse - plannedCores) / demand.cores())
                : Integer.MAX_VALUE;
    }

    boolean hasGuarantee() {
        return team.guaranteedCores() > 0 || team.guaranteedGpus() > 0;
    }

    boolean isWithinGuarantee(Resources additional) {
        return team.isWithinGuarantee(coresInUse + additional.cores(), gpusInUse + additional.gpus());
    }
}
