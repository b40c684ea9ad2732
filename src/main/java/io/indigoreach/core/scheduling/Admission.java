package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Team;
import java.util.Collection;

/** Checks whether the cluster's teams and machine types allow a well-formed job to run. */
public final class Admission {
    private Admission() {}

    /** Returns why the job can never run, or null if it can. */
    public static String refusal(JobSpec spec, Collection<Team> teams, Collection<MachineType> types) {
        Team team = teams.stream()
                .filter(candidate -> candidate.name().equals(spec.team()))
                .findFirst()
                .orElse(null);
        if (team == null) {
            return "unknown team " + spec.team();
        }
        if (types.stream().noneMatch(type -> fits(spec, type))) {
            return "a task fits no allowed machine type";
        }
        int concurrentTasks = spec.kind() == JobKind.SERVICE ? spec.taskCount() : 1;
        if (!team.isWithinLimits(
                spec.demand().cores() * concurrentTasks, spec.demand().gpus() * concurrentTasks)) {
            return "more than the limit of team " + spec.team();
        }
        return null;
    }

    private static boolean fits(JobSpec spec, MachineType type) {
        return spec.allowsType(type.name())
                && spec.demand().fitsIn(type.capacity())
                && type.zones().stream().anyMatch(spec::allowsZone);
    }
}
