package io.indigoreach.core.calendar;

import io.indigoreach.calendar.JavaZones;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import java.time.ZonedDateTime;
import java.util.List;

/** Calendars for tests. */
final class Samples {
    static final Zones ZONES = new JavaZones();
    static final Plan.Days ANY = new Plan.Days(List.of(), List.of(), List.of());
    static final MachineType TYPE =
            new MachineType("quad", new Resources(4, 0, 16), 100, 0.5, 1, 0.3, Span.seconds(60), List.of("a"));

    private Samples() {}

    static JobSpec job(int tasks, double runS) {
        return JobSpec.builder(new JobId("run-0"))
                .jobClass("tours")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.HIGH)
                .taskCount(tasks)
                .demand(new Resources(1, 0, 1))
                .image("image")
                .imageGb(10)
                .spotAllowed()
                .estimatedRunTime(Span.seconds(runS))
                .build();
    }

    static Plan plan(
            String name, String depot, String at, Plan.Days days, Plan.OnHoliday onHoliday, Plan.Boost... boosts) {
        return new Plan(
                name,
                depot,
                at == null ? null : TimeOfDay.parse(at),
                days,
                Span.seconds(900),
                onHoliday,
                List.of(boosts),
                job(8, 100));
    }

    static Depot depot(String name, String zone, String region, String at, Depot.Exceptional... exceptions) {
        return new Depot(
                name,
                zone,
                region,
                at == null ? List.of() : List.of(new Depot.Weekly(List.of(1, 2, 3, 4, 5, 6, 7), TimeOfDay.parse(at))),
                List.of(exceptions));
    }

    static Region region(String name, int year, String... days) {
        return new Region(
                name,
                List.of(year),
                java.util.Arrays.stream(days)
                        .map(d -> new Region.Holiday(Day.parse(d), "feast"))
                        .toList());
    }

    static Season season(String name, String... fromTo) {
        return new Season(
                name,
                java.util.Arrays.stream(fromTo)
                        .map(s -> s.split(" "))
                        .map(s -> new Season.Dates(Day.parse(s[0]), Day.parse(s[1])))
                        .toList());
    }

    static Calendar calendar(List<Region> regions, List<Season> seasons, List<Depot> depots, Plan... plans) {
        return new Calendar(0, regions, seasons, depots, List.of(plans));
    }

    static long ms(String zonedDateTime) {
        return ZonedDateTime.parse(zonedDateTime).toInstant().toEpochMilli();
    }

    static Means means(double cores, double teamMost, Means.Runs runs) {
        return new Means(cores, List.of(TYPE), List.of(new Team("t", 0, teamMost, 0, 0)), (c, n) -> runs);
    }

    /** Run times that are all the same. */
    static Means.Runs runs(double seconds, double failed) {
        return new Means.Runs() {
            @Override
            public long count() {
                return 100;
            }

            @Override
            public double mean() {
                return seconds;
            }

            @Override
            public double quantile(double q) {
                return seconds;
            }

            @Override
            public double failed() {
                return failed;
            }
        };
    }
}
