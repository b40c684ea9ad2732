package io.indigoreach.core.calendar;

import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Whether a calendar can be worked by: a line for each thing that is wrong, with the field and the reason. */
public final class CalendarCheck {
    /** Days ahead in which departures must exist, as the tools check it. */
    public static final int AHEAD = 400;
    /** The same at a node, which has little processor time; and a year that is not entered is a reason to refuse. */
    public static final int SOON = 60;

    private static final int MOST_PLANS = 500;
    /** Bytes of a day's page, and of a mark beside its plan's name, with a note of usual length. */
    private static final int PAGE = 7_500;

    private static final int MARK = 170;
    private static final Span LONGEST_MARGIN = Span.seconds(3 * 86_400);
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,59}");

    /** What is wrong with a field. */
    public record Finding(String field, String reason) {
        @Override
        public String toString() {
            return field + ": " + reason;
        }
    }

    private final Calendar calendar;
    private final Zones zones;
    private final Day today;
    private final int ahead;
    private final List<Finding> found = new ArrayList<>();

    private CalendarCheck(Calendar calendar, Zones zones, Day today, int ahead) {
        this.calendar = calendar;
        this.zones = zones;
        this.today = today;
        this.ahead = ahead;
    }

    /** Empty if the calendar can be set. */
    public static List<Finding> of(Calendar calendar, Zones zones, Day today, int ahead) {
        CalendarCheck check = new CalendarCheck(calendar, zones, today, ahead);
        check.names("region", calendar.regions(), Region::name);
        check.names("season", calendar.seasons(), Season::name);
        check.names("depot", calendar.depots(), Depot::name);
        check.names("plan", calendar.plans(), Plan::name);
        calendar.seasons().forEach(check::season);
        calendar.depots().forEach(check::depot);
        calendar.plans().forEach(check::plan);
        check.pages();
        if (check.found.isEmpty()) {
            check.years();
        }
        return check.found;
    }

    /** Lines on years that are not entered, as far as {@link #AHEAD}: not wrong yet, but to be entered in time. */
    public static List<String> missing(Calendar calendar, Zones zones, Day today) {
        return new Occurrences(calendar, zones)
                .between(today, today.plus(AHEAD)).stream()
                        .filter(o -> o.kind() == Occurrence.Kind.UNKNOWN)
                        .map(o -> o.plan().name() + ": " + o.reason())
                        .distinct()
                        .toList();
    }

    private void wrong(String field, String reason) {
        found.add(new Finding(field, reason));
    }

    private <T> void names(String kind, Collection<T> all, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (T one : all) {
            if (!NAME.matcher(name.apply(one)).matches()) {
                wrong(kind + ".name", "\"" + name.apply(one) + "\" must be of a-z, 0-9, dots and dashes, 60 at most");
            } else if (!seen.add(name.apply(one))) {
                wrong(kind + " " + name.apply(one), "is there twice");
            }
        }
    }

    private void season(Season season) {
        for (int i = 0; i < season.years().size(); i++) {
            Season.Dates a = season.years().get(i);
            if (a.to().compareTo(a.from()) < 0) {
                wrong("season " + season.name() + ".to", a.to() + " is before " + a.from());
            }
            for (Season.Dates b : season.years().subList(0, i)) {
                if (a.overlaps(b)) {
                    wrong("season " + season.name() + ".from", a.from() + " is within the dates from " + b.from());
                }
            }
        }
    }

    private void depot(Depot depot) {
        String field = "depot " + depot.name();
        if (!zones.isKnown(depot.zone())) {
            wrong(field + ".zone", "there is no time zone \"" + depot.zone() + "\"; one is Asia/Kolkata");
            return;
        }
        if (!depot.region().isEmpty() && calendar.region(depot.region()) == null) {
            wrong(field + ".region", "there is no region \"" + depot.region() + "\"");
        }
        Set<Integer> weekdays = new HashSet<>();
        depot.weekly()
                .forEach(w -> w.weekdays().forEach(d -> {
                    if (!weekdays.add(d)) {
                        wrong(field + ".departure", "weekday " + d + " has two");
                    }
                }));
        Set<Day> days = new HashSet<>();
        depot.exceptions().forEach(e -> {
            if (!days.add(e.day())) {
                wrong(field + ".exception", e.day() + " has two");
            }
        });
        for (Day day = today; day.number() <= today.number() + ahead; day = day.plus(1)) {
            exists(field + ".departure", depot, day, depot.departure(day));
        }
    }

    private void exists(String field, Depot depot, Day day, TimeOfDay time) {
        if (time != null && zones.isSkipped(depot.zone(), day, time)) {
            wrong(
                    field,
                    time + " does not exist on " + day + " in " + depot.zone() + ", where the clock is put on; "
                            + "give that day another time");
        }
    }

    private void plan(Plan plan) {
        String field = "plan " + plan.name();
        Depot depot = calendar.depot(plan.depot());
        if (depot == null) {
            wrong(field + ".depot", "there is no depot \"" + plan.depot() + "\"");
        } else if (plan.at() == null
                && depot.weekly().isEmpty()
                && depot.exceptions().isEmpty()) {
            wrong(field + ".at", "depot " + depot.name() + " has no departures, so a time is needed");
        } else if (plan.at() != null && zones.isKnown(depot.zone())) {
            for (Day day = today; day.number() <= today.number() + ahead; day = day.plus(1)) {
                exists(field + ".at", depot, day, plan.days().has(day) ? plan.at() : null);
            }
        }
        if (plan.margin().compareTo(LONGEST_MARGIN) > 0) {
            wrong(field + ".margin_min", "must be " + (int) LONGEST_MARGIN.seconds() / 60 + " at most");
        }
        if (plan.template().isService()) {
            wrong(field + ".job.shape", "a service never ends, so it can't be ready");
        }
        List<Season> named = new ArrayList<>();
        for (Plan.Boost boost : plan.boosts()) {
            Season season = calendar.season(boost.season());
            if (season == null) {
                wrong(field + ".season", "there is no season \"" + boost.season() + "\"");
                continue;
            }
            for (Season other : named) {
                if (other.years().stream().anyMatch(a -> season.years().stream().anyMatch(a::overlaps))) {
                    wrong(
                            field + ".season",
                            season.name() + " and " + other.name() + " overlap: which size holds is not clear");
                }
            }
            named.add(season);
        }
    }

    private void pages() {
        if (calendar.plans().size() > MOST_PLANS) {
            wrong("plan", "there are " + calendar.plans().size() + ", and " + MOST_PLANS + " at most can be kept");
        }
        Map<Integer, Integer> bytes = new HashMap<>();
        for (Plan plan : calendar.plans()) {
            if (bytes.merge(DayPage.pageOf(plan.name()), plan.name().length() + MARK, Integer::sum) > PAGE) {
                wrong("plan " + plan.name(), "too many plans share its page of records; give it another name");
            }
        }
    }

    private void years() {
        new Occurrences(calendar, zones)
                .between(today, today.plus(SOON)).stream()
                        .filter(o -> o.kind() == Occurrence.Kind.UNKNOWN)
                        .map(o -> new Finding(
                                "plan " + o.plan().name(),
                                o.reason() + "; it is not guessed, and needed from " + o.day() + " on"))
                        .findFirst()
                        .ifPresent(found::add);
    }
}
