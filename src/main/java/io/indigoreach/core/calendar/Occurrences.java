package io.indigoreach.core.calendar;

import java.util.ArrayList;
import java.util.List;

/** Which occurrences a calendar has. */
public final class Occurrences {
    private static final int MOST_TASKS = 100_000;
    /** A holiday's departure is moved back by this many days at most. */
    private static final int FURTHEST = 14;

    private static final TimeOfDay LAST = new TimeOfDay(24 * 60 - 1);

    private final Calendar calendar;
    private final Zones zones;

    public Occurrences(Calendar calendar, Zones zones) {
        this.calendar = calendar;
        this.zones = zones;
    }

    /** All of the days from one to another, day by day. */
    public List<Occurrence> between(Day from, Day to) {
        List<Occurrence> out = new ArrayList<>();
        for (Day day = from; day.compareTo(to) <= 0; day = day.plus(1)) {
            for (Plan plan : calendar.plans()) {
                Occurrence o = of(plan, day);
                if (o != null) {
                    out.add(o);
                }
            }
        }
        return out;
    }

    /** The plan's occurrence for a day; null if it has none. */
    public Occurrence of(Plan plan, Day day) {
        Depot depot = calendar.depot(plan.depot());
        TimeOfDay time = departure(plan, depot, day);
        if (!plan.days().has(day) || time == null) {
            return null;
        }
        Day leaves = day;
        String reason = "";
        if (plan.onHoliday() != Plan.OnHoliday.RUN && !depot.region().isEmpty()) {
            Region region = calendar.region(depot.region());
            while ((region.isEntered(leaves.year()) && region.holiday(leaves) != null) || time == null) {
                reason = region.holiday(day);
                leaves = leaves.plus(-1);
                time = departure(plan, depot, leaves);
                if (plan.onHoliday() == Plan.OnHoliday.SKIP || day.number() - leaves.number() > FURTHEST) {
                    return new Occurrence(
                            plan, day, Occurrence.Kind.SKIPPED, zones.instant(depot.zone(), day, LAST), 0, reason);
                }
            }
            if (!region.isEntered(leaves.year())) {
                return unknown(plan, day, depot, "region " + region.name() + " has no holidays for " + leaves.year());
            }
            reason = leaves.equals(day) ? "" : reason + ", so for " + leaves;
        }
        double times = 1;
        for (Plan.Boost boost : plan.boosts()) {
            Season season = calendar.season(boost.season());
            if (!season.isEntered(day.year())) {
                return unknown(plan, day, depot, "season " + season.name() + " has no dates for " + day.year());
            }
            if (season.has(day)) {
                times = boost.times();
                reason = (reason.isEmpty() ? "" : reason + "; ") + season.name();
            }
        }
        int tasks = (int) Math.min(MOST_TASKS, Math.ceil(plan.template().taskCount() * times - 1e-9));
        return new Occurrence(
                plan, day, Occurrence.Kind.RUNS, zones.instant(depot.zone(), leaves, time), Math.max(1, tasks), reason);
    }

    private Occurrence unknown(Plan plan, Day day, Depot depot, String reason) {
        return new Occurrence(plan, day, Occurrence.Kind.UNKNOWN, zones.instant(depot.zone(), day, LAST), 0, reason);
    }

    private static TimeOfDay departure(Plan plan, Depot depot, Day day) {
        return plan.at() != null ? plan.at() : depot.departure(day);
    }
}
