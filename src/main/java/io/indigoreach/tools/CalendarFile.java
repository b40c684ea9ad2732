package io.indigoreach.tools;

import de.focus_shift.jollyday.core.CalendarHierarchy;
import de.focus_shift.jollyday.core.Holiday;
import de.focus_shift.jollyday.core.HolidayManager;
import de.focus_shift.jollyday.core.ManagerParameters;
import io.indigoreach.core.calendar.Calendar;
import io.indigoreach.core.calendar.Day;
import io.indigoreach.core.calendar.Depot;
import io.indigoreach.core.calendar.Plan;
import io.indigoreach.core.calendar.Region;
import io.indigoreach.core.calendar.Season;
import io.indigoreach.core.calendar.TimeOfDay;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import io.indigoreach.scenario.JobFile;
import io.indigoreach.scenario.Setting;
import java.time.Year;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * A calendar as operators write it. Holidays that a library knows are looked up here and sent as days, so that a version says by
 * itself what was decided by it, and no node needs the library.
 */
public record CalendarFile(
        @Setting(value = "cores that all plans together may count on; 0: no limit but their teams'", standard = "0")
        double cores,

        @Setting("holidays of a place") List<RegionForm> region,
        @Setting("festival seasons") List<SeasonForm> season,
        @Setting("where tankers leave from") List<DepotForm> depot,
        @Setting("work to be ready before a departure") List<PlanForm> plan) {

    /** Days of the week, Monday first. */
    public enum Weekday {
        MON,
        TUE,
        WED,
        THU,
        FRI,
        SAT,
        SUN
    }

    public record RegionForm(
            @Setting("name, by which depots have it") String name,

            @Setting(
                    value = "known to the library, such as in-kl (Kerala) or de-by-mu (Bavaria, Munich); empty: none",
                    standard = "")
            String holidaysOf,

            @Setting(value = "first year that is entered", least = 1970, most = 2200)
            int firstYear,

            @Setting(value = "last year that is entered", least = 1970, most = 2200)
            int lastYear,

            @Setting("a holiday besides") List<HolidayForm> holiday,

            @Setting("a day, such as 2026-12-26, that the library has and is none here")
            List<String> without) {}

    public record HolidayForm(
            @Setting("the day, such as 2026-08-26") String day,
            @Setting("its name") String name) {}

    public record SeasonForm(
            @Setting("name") String name,
            @Setting("its dates, year by year") List<DatesForm> dates) {}

    public record DatesForm(
            @Setting("first day") String from,
            @Setting("last day") String to) {}

    public record DepotForm(
            @Setting("name") String name,
            @Setting("time zone, such as Asia/Kolkata") String zone,

            @Setting(value = "region whose holidays it keeps; empty: none", standard = "")
            String region,

            @Setting("first departures") List<DepartureForm> departure,
            @Setting("days that go otherwise") List<ExceptionForm> exception) {}

    public record DepartureForm(
            @Setting("weekdays; none: all") List<Weekday> weekday,
            @Setting("time, such as 04:30") String at) {}

    public record ExceptionForm(
            @Setting("the day") String day,

            @Setting(value = "time; empty: nobody leaves", standard = "")
            String at) {}

    public record PlanForm(
            @Setting("name") String name,

            @Setting("depot before whose departure it is to be ready")
            String depot,

            @Setting(value = "by when, if not by the depot's departure", standard = "")
            String at,

            @Setting("only on these weekdays") List<Weekday> weekday,
            @Setting("only on these days of the month") List<Integer> dayOfMonth,
            @Setting("only in these months") List<Integer> month,

            @Setting(value = "time between its end and the departure, minutes", standard = "15")
            double marginMin,

            @Setting(value = "on holidays: run, skip, or earlier: for the last departure before", standard = "run")
            Plan.OnHoliday onHoliday,

            @Setting("seasons in which it has more tasks") List<BoostForm> season,

            @Setting("its job; due_s and id are the plan's to give")
            JobFile job) {}

    public record BoostForm(
            @Setting("season") String name,

            @Setting(value = "so many times the tasks", standard = "2", least = 0.01, most = 100)
            double times) {}

    /** Throws a {@link Failure} that names field and reason. */
    Calendar calendar() {
        return new Calendar(
                cores,
                region.stream().map(CalendarFile::region).toList(),
                season.stream()
                        .map(s -> new Season(
                                s.name,
                                s.dates.stream()
                                        .map(d -> new Season.Dates(
                                                at("season " + s.name + ".from", () -> Day.parse(d.from)),
                                                at("season " + s.name + ".to", () -> Day.parse(d.to))))
                                        .toList()))
                        .toList(),
                depot.stream().map(CalendarFile::depot).toList(),
                plan.stream().map(CalendarFile::plan).toList());
    }

    private static <T> T at(String field, Supplier<T> read) {
        try {
            return read.get();
        } catch (IllegalArgumentException e) {
            throw new Failure(Tool.WRONG, field + ": " + e.getMessage());
        }
    }

    private static Region region(RegionForm f) {
        String field = "region " + f.name;
        if (f.lastYear < f.firstYear || f.lastYear - f.firstYear > 20) {
            throw new Failure(Tool.WRONG, field + ".last_year: must be from first_year to 20 years on");
        }
        List<Region.Holiday> days = new ArrayList<>();
        f.holiday.forEach(h ->
                days.add(new Region.Holiday(at(field + ".holiday.day", () -> Day.parse(h.day)), h.name)));
        List<Integer> years =
                IntStream.rangeClosed(f.firstYear, f.lastYear).boxed().toList();
        List<Day> without = f.without.stream()
                .map(d -> at(field + ".without", () -> Day.parse(d)))
                .toList();
        if (!f.holidaysOf.isEmpty()) {
            years.forEach(y -> known(field, f.holidaysOf, y).stream()
                    .filter(h -> !without.contains(h.day())
                            && days.stream().noneMatch(d -> d.day().equals(h.day())))
                    .forEach(days::add));
        }
        return new Region(f.name, years, days);
    }

    private static List<Region.Holiday> known(String field, String place, int year) {
        String[] parts = place.split("-");
        HolidayManager manager;
        CalendarHierarchy level;
        try {
            manager = HolidayManager.getInstance(ManagerParameters.create(parts[0]));
            level = manager.getCalendarHierarchy();
        } catch (RuntimeException e) {
            throw new Failure(Tool.WRONG, field + ".holidays_of: \"" + parts[0] + "\" is not known; in and de are");
        }
        for (String part : Arrays.asList(parts).subList(1, parts.length)) {
            level = level.getChildren().get(part);
            if (level == null) {
                throw new Failure(Tool.WRONG, field + ".holidays_of: \"" + part + "\" in " + place + " is not known");
            }
        }
        return manager.getHolidays(Year.of(year), Arrays.copyOfRange(parts, 1, parts.length)).stream()
                .sorted()
                .map((Holiday h) ->
                        new Region.Holiday(new Day(h.getActualDate().toEpochDay()), h.getDescription(Locale.ENGLISH)))
                .toList();
    }

    private static Depot depot(DepotForm f) {
        String field = "depot " + f.name;
        return new Depot(
                f.name,
                f.zone,
                f.region,
                f.departure.stream()
                        .map(d -> new Depot.Weekly(
                                d.weekday.isEmpty() ? List.of(1, 2, 3, 4, 5, 6, 7) : numbers(d.weekday),
                                at(field + ".departure.at", () -> TimeOfDay.parse(d.at))))
                        .toList(),
                f.exception.stream()
                        .map(e -> new Depot.Exceptional(
                                at(field + ".exception.day", () -> Day.parse(e.day)),
                                at(field + ".exception.at", () -> time(e.at))))
                        .toList());
    }

    private static TimeOfDay time(String text) {
        return text.isEmpty() ? null : TimeOfDay.parse(text);
    }

    private static List<Integer> numbers(List<Weekday> days) {
        return days.stream().map(d -> d.ordinal() + 1).toList();
    }

    private static Plan plan(PlanForm f) {
        if (f.job.dueS() > 0 || !f.job.id().isEmpty()) {
            throw new Failure(
                    Tool.WRONG, "plan " + f.name + ".job: due_s and id are given by the plan; leave them out");
        }
        return new Plan(
                f.name,
                f.depot,
                at("plan " + f.name + ".at", () -> time(f.at)),
                new Plan.Days(numbers(f.weekday), f.dayOfMonth, f.month),
                Span.seconds(f.marginMin * 60),
                f.onHoliday,
                f.season.stream().map(b -> new Plan.Boost(b.name, b.times)).toList(),
                f.job.spec(new JobId("run-0")));
    }

    /** What the tasks of a plan's job do in an emulation. */
    JobFile job(String planName) {
        return plan.stream().filter(p -> p.name.equals(planName)).findFirst().orElseThrow().job;
    }
}
