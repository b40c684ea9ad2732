package io.indigoreach.core.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Days, departures, holidays and seasons, against tables and against java.time. */
class OccurrencesTest {
    @Test
    void everyDayOfFourCenturiesIsAsJavaSays() {
        for (long n = LocalDate.of(1900, 1, 1).toEpochDay();
                n < LocalDate.of(2301, 1, 1).toEpochDay();
                n++) {
            LocalDate java = LocalDate.ofEpochDay(n);
            Day day = new Day(n);
            assertEquals(java.toString(), day.toString());
            assertEquals(java.getDayOfWeek().getValue(), day.weekday());
            assertEquals(day, Day.parse(java.toString()));
        }
        for (String wrong :
                new String[] {"2027-02-29", "2100-02-29", "2027-13-01", "2027-00-10", "2027-04-31", "27-1-1", ""}) {
            assertThrows(IllegalArgumentException.class, () -> Day.parse(wrong), wrong);
        }
    }

    /** The same wall clock all the year; in UTC it moves with the summer time of one, and not of the other. */
    @ParameterizedTest
    @CsvSource({
        "Europe/Berlin, 2027-03-27, 2027-03-27T04:00:00Z", "Europe/Berlin, 2027-03-28, 2027-03-28T03:00:00Z",
        "Europe/Berlin, 2027-10-30, 2027-10-30T03:00:00Z", "Europe/Berlin, 2027-10-31, 2027-10-31T04:00:00Z",
        "Asia/Kolkata, 2027-03-28, 2027-03-27T23:30:00Z", "Asia/Kolkata, 2027-10-31, 2027-10-30T23:30:00Z",
    })
    void departuresFollowTheClockOnTheWall(String zone, String day, String utc) {
        Calendar c = Samples.calendar(
                List.of(),
                List.of(),
                List.of(Samples.depot("d", zone, "", "05:00")),
                Samples.plan("p", "d", null, Samples.ANY, Plan.OnHoliday.RUN));
        assertEquals(
                Samples.ms(utc),
                new Occurrences(c, Samples.ZONES)
                        .of(c.plan("p"), Day.parse(day))
                        .departs());
    }

    @Test
    void anHourThatComesTwiceCountsAsItsFirst() {
        assertEquals(
                Samples.ms("2027-10-31T00:30:00Z"),
                Samples.ZONES.instant("Europe/Berlin", Day.parse("2027-10-31"), TimeOfDay.parse("02:30")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                // A feast on Tuesday 24 and Wednesday 25 August, the season from 20 to 28, nobody leaves on 23.
                "run     | 2027-08-24 | RUNS    | 2027-08-24 | 16 | onam",
                "skip    | 2027-08-24 | SKIPPED | -          | 0  | feast",
                "earlier | 2027-08-25 | RUNS    | 2027-08-22 | 16 | feast, so for 2027-08-22; onam",
                "earlier | 2027-08-29 | RUNS    | 2027-08-29 | 8  | ''",
                "skip    | 2027-08-23 | -       | -          | 0  | -",
                "skip    | 2028-08-24 | UNKNOWN | -          | 0  | region kl has no holidays for 2028",
                "run     | 2028-08-24 | UNKNOWN | -          | 0  | season onam has no dates for 2028",
            })
    void holidaysAndSeasonsSayWhatBecomesOfIt(
            String onHoliday, String day, String kind, String leaves, int tasks, String reason) {
        Calendar c = Samples.calendar(
                List.of(Samples.region("kl", 2027, "2027-08-24", "2027-08-25")),
                List.of(Samples.season("onam", "2027-08-20 2027-08-28")),
                List.of(Samples.depot(
                        "d", "Asia/Kolkata", "kl", "04:30", new Depot.Exceptional(Day.parse("2027-08-23"), null))),
                Samples.plan(
                        "p",
                        "d",
                        null,
                        Samples.ANY,
                        Plan.OnHoliday.valueOf(onHoliday.toUpperCase(Locale.ROOT)),
                        new Plan.Boost("onam", 2)));
        Occurrence o = new Occurrences(c, Samples.ZONES).of(c.plan("p"), Day.parse(day));
        assertEquals(kind, o == null ? null : o.kind().name());
        if (o != null) {
            assertEquals(tasks, o.tasks());
            assertEquals(reason, o.reason());
        }
        if (leaves != null) {
            assertEquals(
                    Samples.ZONES.instant("Asia/Kolkata", Day.parse(leaves), TimeOfDay.parse("04:30")), o.departs());
        }
    }

    @Test
    void theTwentyNinthOfFebruaryComesInLeapYearsOnly() {
        Calendar c = Samples.calendar(
                List.of(),
                List.of(),
                List.of(Samples.depot("d", "Asia/Kolkata", "", "05:00")),
                Samples.plan("p", "d", null, new Plan.Days(List.of(), List.of(29), List.of(2)), Plan.OnHoliday.RUN));
        List<String> days = new Occurrences(c, Samples.ZONES)
                .between(Day.of(2023, 1, 1), Day.of(2033, 1, 1)).stream()
                        .map(o -> o.day().toString())
                        .toList();
        assertEquals(List.of("2024-02-29", "2028-02-29", "2032-02-29"), days);
    }

    /** Every occurrence of a year of three plans, against a list made by java.time and by hand. */
    @Test
    void aYearInFull() {
        Map<String, LocalTime> exceptions = Map.of("2027-12-24", LocalTime.of(3, 0), "2027-05-03", LocalTime.of(6, 15));
        List<String> feasts = List.of("2027-01-06", "2027-03-26", "2027-03-29", "2027-11-01", "2027-12-25");
        Calendar c = Samples.calendar(
                List.of(Samples.region("by", 2027, feasts.toArray(String[]::new))),
                List.of(),
                List.of(Samples.depot(
                        "ro",
                        "Europe/Berlin",
                        "by",
                        "05:00",
                        exceptions.entrySet().stream()
                                .map(e -> new Depot.Exceptional(
                                        Day.parse(e.getKey()),
                                        TimeOfDay.parse(e.getValue().toString())))
                                .toArray(Depot.Exceptional[]::new))),
                Samples.plan("daily", "ro", null, Samples.ANY, Plan.OnHoliday.SKIP),
                Samples.plan(
                        "fridays", "ro", null, new Plan.Days(List.of(5), List.of(), List.of()), Plan.OnHoliday.EARLIER),
                Samples.plan(
                        "monthly",
                        "ro",
                        "18:30",
                        new Plan.Days(List.of(), List.of(31), List.of()),
                        Plan.OnHoliday.RUN));
        List<String> wanted = new ArrayList<>();
        for (LocalDate d = LocalDate.of(2027, 1, 1); d.getYear() == 2027; d = d.plusDays(1)) {
            boolean feast = feasts.contains(d.toString());
            if (!feast) {
                wanted.add("daily@" + d + " " + at(d, exceptions.getOrDefault(d.toString(), LocalTime.of(5, 0))));
            }
            if (d.getDayOfWeek().getValue() == 5) {
                LocalDate leaves = feast ? d.minusDays(1) : d;
                wanted.add("fridays@" + d + " "
                        + at(leaves, exceptions.getOrDefault(leaves.toString(), LocalTime.of(5, 0))));
            }
            if (d.getDayOfMonth() == 31) {
                wanted.add("monthly@" + d + " " + at(d, LocalTime.of(18, 30)));
            }
        }
        assertEquals(365 - 5 + 53 + 7, wanted.size());
        assertEquals(
                wanted,
                new Occurrences(c, Samples.ZONES)
                        .between(Day.of(2027, 1, 1), Day.of(2027, 12, 31)).stream()
                                .filter(Occurrence::runs)
                                .map(o -> o.name() + " " + o.departs())
                                .toList());
    }

    private static long at(LocalDate day, LocalTime time) {
        return ZonedDateTime.of(day, time, ZoneId.of("Europe/Berlin"))
                .toInstant()
                .toEpochMilli();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "zone      | depot d.zone: there is no time zone \"Asia/Cochin\"; one is Asia/Kolkata",
                "skipped   | depot d.departure: 02:30 does not exist on 2027-03-28 in Europe/Berlin, where the clock is put on; give that "
                        + "day another time",
                "depot     | plan p.depot: there is no depot \"e\"",
                "season    | plan p.season: there is no season \"pooram\"",
                "overlap   | season onam.from: 2027-08-28 is within the dates from 2027-08-20",
                "region    | depot d.region: there is no region \"kl\"",
                "unknown   | plan p: season onam has no dates for 2027; it is not guessed, and needed from 2027-03-01 on",
                "twice     | plan p: is there twice",
                "name      | plan.name: \"P p\" must be of a-z, 0-9, dots and dashes, 60 at most",
            })
    void aFaultIsToldInALineWithItsField(String fault, String line) {
        List<Season> seasons = switch (fault) {
            case "overlap" -> List.of(Samples.season("onam", "2027-08-20 2027-08-28", "2027-08-28 2027-08-29"));
            case "unknown" -> List.of(Samples.season("onam", "2026-08-20 2026-08-28"));
            default -> List.of(Samples.season("onam", "2027-08-20 2027-08-28"));
        };
        String zone = fault.equals("zone") ? "Asia/Cochin" : fault.equals("skipped") ? "Europe/Berlin" : "Asia/Kolkata";
        Plan p = Samples.plan(
                fault.equals("name") ? "P p" : "p",
                fault.equals("depot") ? "e" : "d",
                null,
                Samples.ANY,
                Plan.OnHoliday.SKIP,
                new Plan.Boost(fault.equals("season") ? "pooram" : "onam", 2));
        Calendar c = Samples.calendar(
                List.of(),
                seasons,
                List.of(Samples.depot("d", zone, fault.equals("region") ? "kl" : "", "02:30")),
                fault.equals("twice") ? new Plan[] {p, p} : new Plan[] {p});
        assertEquals(
                line,
                CalendarCheck.of(c, Samples.ZONES, Day.of(2027, 3, 1), CalendarCheck.AHEAD)
                        .get(0)
                        .toString());
    }
}
