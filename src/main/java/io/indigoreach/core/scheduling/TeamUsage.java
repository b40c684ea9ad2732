package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Team;

/** What the tasks of one team use, against its guarantee and the limit that they never exceed. */
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

    /** Whether one more such task stays within the limit. */
    boolean hasRoomFor(Resources demand) {
        return team.isWithinLimits(coresInUse + demand.cores(), gpusInUse + demand.gpus());
    }

    /** How many more such tasks the team's limit allows, beside {@code plannedCores}. */
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
