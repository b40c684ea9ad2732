package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Team;

/** What the tasks of one team use, against its guarantee and the limit that they never exceed. */
final class TeamUsage {
    final Team team;
    private double cores;
    private double gpus;

    TeamUsage(Team team) {
        this.team = team;
    }

    void addUsage(Resources demand, int sign) {
        cores += sign * demand.cores();
        gpus += sign * demand.gpus();
    }

    /** Whether one more such task stays within the limit. */
    boolean hasRoomFor(Resources demand) {
        return team.isWithinLimits(cores + demand.cores(), gpus + demand.gpus());
    }

    /** How many more such tasks the team's limit allows, beside {@code plannedCores}. */
    int room(Resources demand, double plannedCores) {
        return team.maxCores() > 0 && demand.cores() > 0
                ? (int) ((team.maxCores() - cores - plannedCores) / demand.cores())
                : Integer.MAX_VALUE;
    }

    boolean hasGuarantee() {
        return team.guaranteedCores() > 0 || team.guaranteedGpus() > 0;
    }

    boolean isWithinGuarantee(Resources more) {
        return team.isWithinGuarantee(cores + more.cores(), gpus + more.gpus());
    }
}
