package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Team;

/** The resources that one team's tasks use, compared with the team's guarantee and its hard limit. */
final class TeamUsage {
    final Team team;
    private double coresInUse;
    private double gpusInUse;

    TeamUsage(Team team) {
        this.team = team;
    }

    void addUsage(Demand demand, int sign) {
        coresInUse += sign * demand.cores();
        gpusInUse += sign * demand.gpus();
    }

    /** Whether one more task with this demand stays within the limit. */
    boolean hasRoomFor(Demand demand) {
        return team.allows(coresInUse + demand.cores(), gpusInUse + demand.gpus());
    }

    /** The number of further tasks with this demand that the limit allows in addition to {@code plannedCores}. */
    int remainingTasks(Demand demand, double plannedCores) {
        return team.coresMax() > 0 && demand.cores() > 0
                ? (int) ((team.coresMax() - coresInUse - plannedCores) / demand.cores())
                : Integer.MAX_VALUE;
    }

    boolean hasGuarantee() {
        return team.cores() > 0 || team.gpus() > 0;
    }

    boolean isWithinGuarantee(Demand additional) {
        return team.isWithinGuarantee(coresInUse + additional.cores(), gpusInUse + additional.gpus());
    }
}
