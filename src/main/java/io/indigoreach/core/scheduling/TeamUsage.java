package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Team;

/** The resources that one team's tasks use, compared with the team's guarantee and its hard limit. */
final class TeamUsage {
    final Team team;
    private double cores;
    private double gpus;

    TeamUsage(Team team) {
        this.team = team;
    }

    void addUsage(Demand demand, int sign) {
        cores += sign * demand.cores();
        gpus += sign * demand.gpus();
    }

    /** Whether one more task with this demand stays within the limit. */
    boolean hasRoomFor(Demand demand) {
        return team.allows(cores + demand.cores(), gpus + demand.gpus());
    }

    /** The number of further tasks with this demand that the limit allows in addition to {@code plannedCores}. */
    int room(Demand demand, double plannedCores) {
        return team.coresMax() > 0 && demand.cores() > 0
                ? (int) ((team.coresMax() - cores - plannedCores) / demand.cores())
                : Integer.MAX_VALUE;
    }

    boolean hasGuarantee() {
        return team.cores() > 0 || team.gpus() > 0;
    }

    boolean isWithinGuarantee(Demand more) {
        return team.isWithinGuarantee(cores + more.cores(), gpus + more.gpus());
    }
}
