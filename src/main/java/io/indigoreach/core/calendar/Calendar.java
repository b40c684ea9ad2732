package io.indigoreach.core.calendar;

import java.util.List;

/**
 * What operators set: depots with their departures, holidays, seasons, and the plans that rest on them.
 *
 * @param cores that all plans together may count on at once; 0: no limit but their teams'
 */
public record Calendar(double cores, List<Region> regions, List<Season> seasons, List<Depot> depots, List<Plan> plans) {
    public static final Calendar EMPTY = new Calendar(0, List.of(), List.of(), List.of(), List.of());

    public Calendar {
        regions = List.copyOf(regions);
        seasons = List.copyOf(seasons);
        depots = List.copyOf(depots);
        plans = List.copyOf(plans);
    }

    /** Null if there is none of that name; likewise the others. */
    public Depot depot(String name) {
        return depots.stream().filter(d -> d.name().equals(name)).findFirst().orElse(null);
    }

    public Region region(String name) {
        return regions.stream().filter(r -> r.name().equals(name)).findFirst().orElse(null);
    }

    public Season season(String name) {
        return seasons.stream().filter(s -> s.name().equals(name)).findFirst().orElse(null);
    }

    public Plan plan(String name) {
        return plans.stream().filter(p -> p.name().equals(name)).findFirst().orElse(null);
    }
}
