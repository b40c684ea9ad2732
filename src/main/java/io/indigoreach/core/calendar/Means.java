package io.indigoreach.core.calendar;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Team;
import java.util.Collection;

/**
 * What plans are carried out with.
 *
 * @param cores that all plans together may count on; 0: no limit but their teams'
 * @param seen what is known of run times
 */
public record Means(double cores, Collection<MachineType> types, Collection<Team> teams, Seen seen) {
    /** What was seen of jobs. */
    @FunctionalInterface
    public interface Seen {
        /** Of jobs of a class and about this many tasks; null if there was none. */
        Runs of(String jobClass, int tasks);
    }

    /** Run times of single tasks, without the image's fetch, in seconds. */
    public interface Runs {
        long count();

        double mean();

        double quantile(double q);

        /** Failed tasks for each that ended well. */
        double failed();
    }

    double coresOf(String team) {
        double most = teams.stream()
                .filter(t -> t.name().equals(team) && t.maxCores() > 0)
                .mapToDouble(Team::maxCores)
                .findFirst()
                .orElse(Double.MAX_VALUE);
        return cores > 0 ? Math.min(most, cores) : most;
    }

    double teamMost(String team) {
        return new Means(0, types, teams, seen).coresOf(team);
    }
}
