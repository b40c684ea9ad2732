package io.indigoreach.core.calendar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How early is early enough, and how an occurrence stands. */
class ForecastTest {
    private static final long H = 3_600_000;
    private static final Plan PLAN = Samples.plan("p", "d", null, Samples.ANY, Plan.OnHoliday.RUN);

    private static Occurrence occurrence(String plan, long departs, int tasks) {
        return new Occurrence(
                Samples.plan(plan, "d", null, Samples.ANY, Plan.OnHoliday.RUN),
                new Day(0),
                Occurrence.Kind.RUNS,
                departs,
                tasks,
                "");
    }

    /** Ahead of the tasks: 5 s to begin, 60 s boot, 20 s fetch. Seen 0: nothing was, and the estimate is 100 s. */
    @ParameterizedTest
    @CsvSource({
        "8, 0, 100, 0, 285",
        "8, 0, 100, 4, 585",
        "8, 0, 1000, 0, 1085",
        "8, 8, 100, 0, 185",
        "8, 4, 100, 0, 385",
        "8, 2, 100, 0, 585",
        "100, 8, 100, 0.5, 1535",
        "8, 0.5, 100, 0, -1",
    })
    void timeIsWorkOverPlacesAndOneLongestTask(int tasks, double cores, double seen, double failed, long seconds) {
        // A row with cores 0 is without a limit; its first has nothing seen, the others have.
        Means.Runs runs = cores == 0 && seen == 100 && failed == 0 ? null : Samples.runs(seen, failed);
        List<Forecast.Entry> e = Forecast.of(List.of(occurrence("p", 24 * H, tasks)), Samples.means(cores, 0, runs));
        if (seconds < 0) {
            assertNull(e.get(0).needed());
            assertTrue(e.get(0).obstacle().contains("less than one task"));
            return;
        }
        // A failure is likely, so one more round of the longest is added: rows two and seven.
        long expected = tasks == 8 && failed == 4 ? 285 : seconds;
        assertEquals(expected, Math.round(e.get(0).needed().seconds()));
        assertEquals(24 * H - 900_000 - expected * 1000, e.get(0).latestStart());
    }

    @Test
    void plansOfOneHourShareTheirPlacesAndOthersDoNot() {
        List<Forecast.Entry> e = Forecast.of(
                List.of(occurrence("a", 10 * H, 80), occurrence("b", 10 * H, 80), occurrence("c", 20 * H, 80)),
                Samples.means(80, 0, Samples.runs(600, 0)));
        assertEquals("c", e.get(2).occurrence().plan().name());
        assertEquals(685, Math.round(e.get(2).needed().seconds()));
        for (Forecast.Entry shared : e.subList(0, 2)) {
            assertEquals(85 + 2 * 600 + 600, shared.needed().seconds(), 1);
            assertEquals(685, Math.round(shared.alone().seconds()));
            assertTrue(shared.besides() != null);
        }
    }

    /** By turns of half a second: users keep most of the changes, and those later in the turn are begun earlier. */
    @Test
    void fiveHundredPlansOfOneMinuteBeginOneAfterTheOther() {
        List<Forecast.Entry> e = Forecast.of(
                IntStream.range(0, 500)
                        .mapToObj(i -> occurrence("p" + i, 10 * H, 1))
                        .toList(),
                Samples.means(0, 0, Samples.runs(60, 0)));
        assertEquals(500, e.size());
        long spread = e.get(499).latestStart() - e.get(0).latestStart();
        assertEquals(499 * 500, spread);
    }

    private static Forecast.Entry entry(long departs, double seen, double cores) {
        return Forecast.of(List.of(occurrence("p", departs, 8)), Samples.means(cores, 0, Samples.runs(seen, 0)))
                .get(0);
    }

    private static Mark mark(Mark.State state, long at) {
        return new Mark("p", state, new JobId("run-1"), 1, 10 * H, 9 * H, at, 8, "");
    }

    @Test
    void anOutlookSaysByHowMuchAndWhatWouldMendIt() {
        long now = 9 * H;
        assertEquals(
                Outlook.Verdict.READY,
                Outlook.of(entry(10 * H, 100, 0), null, now).verdict());
        assertEquals(
                Outlook.Verdict.TIGHT,
                Outlook.of(entry(10 * H, 3000, 0), null, now).verdict());
        // An estimate ten times wrong, once it is seen: late by the time it takes more than there is.
        Outlook late = Outlook.of(entry(10 * H, 7200, 0), null, now);
        assertEquals(Outlook.Verdict.LATE, late.verdict());
        assertEquals(Span.seconds(7285 - 3600), late.lateBy());
        assertTrue(late.mend().contains("earlier start"));
        assertTrue(Outlook.of(entry(10 * H, 1500, 1), null, now).mend().startsWith("more machines"));
        Forecast.Entry shared = Forecast.of(
                        List.of(occurrence("p", 10 * H, 8), occurrence("q", 10 * H, 80)),
                        Samples.means(8, 0, Samples.runs(1500, 0)))
                .stream()
                .filter(e -> e.occurrence().plan().name().equals("p"))
                .findFirst()
                .orElseThrow();
        assertEquals("plan q at another time", Outlook.of(shared, null, now).mend());
        assertEquals(
                Outlook.Verdict.NEVER,
                Outlook.of(entry(10 * H, 100, 0), mark(Mark.State.MISSED, now), now)
                        .verdict());
        // Running, and the departure was moved an hour earlier: it is the calendar's present one that counts.
        assertEquals(
                Outlook.Verdict.READY,
                Outlook.of(entry(10 * H, 2400, 0), mark(Mark.State.ACCEPTED, now), now)
                        .verdict());
        assertEquals(
                Outlook.Verdict.LATE,
                Outlook.of(entry(9 * H + 1, 2400, 0), mark(Mark.State.ACCEPTED, now), now)
                        .verdict());
        assertEquals(
                Span.seconds(60),
                Outlook.of(entry(9 * H, 100, 0), mark(Mark.State.ENDED, 9 * H + 60_000), now)
                        .lateBy());
    }

    /** What becomes of an occurrence whose time has come. */
    @Test
    void aChoiceFollowsTheCalendarUntilThereIsAJob() {
        Register.Entry block = new Register.Entry(7, 0);
        long now = 9 * H;
        Mark first = new Choice(entry(10 * H, 100, 0), 3, block).mark(null, false, now);
        assertEquals(Mark.State.CHOSEN, first.state());
        assertEquals(block.id(new Day(0), 0), first.id());
        assertNull(
                new Choice(entry(10 * H, 100, 0), 4, block).mark(first, false, now),
                "nothing that matters has changed");
        Mark moved = new Choice(entry(9 * H + 1800_000, 100, 0), 4, block).mark(first, false, now);
        assertEquals(List.of(first.id(), 9 * H + 1800_000, 4), List.of(moved.id(), moved.departs(), moved.version()));
        assertEquals(
                block.id(new Day(0), 1),
                new Choice(entry(10 * H, 100, 0), 3, block)
                        .mark(first, true, now)
                        .id());
        assertEquals(
                Mark.State.MISSED,
                new Choice(entry(9 * H, 100, 0), 4, block)
                        .mark(first, false, now)
                        .state());
        assertNull(new Choice(entry(9 * H, 100, 0), 4, block).mark(mark(Mark.State.ACCEPTED, now), true, now));
        assertTrue(new Choice(entry(10 * H, 3000, 0), 3, block)
                .mark(null, false, now)
                .note()
                .startsWith("late by"));
        assertEquals(
                H,
                Choice.job(occurrence("p", 10 * H, 8), first, now)
                        .relativeDeadline()
                        .ms());
    }

    @Test
    void blocksOfIdsAreOfOnePlanEach() {
        Register two = Register.EMPTY.forPlans(
                List.of(PLAN, Samples.plan("q", "d", null, Samples.ANY, Plan.OnHoliday.RUN)), 5);
        Register later = two.forPlans(List.of(PLAN), 6)
                .forPlans(List.of(PLAN, Samples.plan("q", "d", null, Samples.ANY, Plan.OnHoliday.RUN)), 7);
        assertEquals(two.entries().get("p"), later.entries().get("p"));
        assertEquals(new Register.Entry(3, 7), later.entries().get("q"), "who comes anew gets a new one");
        assertEquals(
                "run-900000102054100",
                two.entries().get("p").id(new Day(20_541), 0).text());
    }

    @ParameterizedTest
    @CsvSource({
        // Jump of the clock in ms, seconds since then, and whether the steady clock still stands for the time.
        "900, 1, false",
        "-900, 1, false",
        "86400000, 1, true",
        "86400000, 59, true",
        "86400000, 61, false",
        "-3600000, 30, true",
    })
    void aClockThatJumpsIsNotBelievedAtOnce(long jump, long seconds, boolean steady) {
        TimeSense sense = new TimeSense(Span.seconds(0.2));
        assertEquals(1_000_000, sense.at(new Moment(0), 1_000_000));
        long later = 0;
        for (long s = 0; s <= seconds; s++) {
            later = sense.at(new Moment(1000 + s * 1000), 1_001_000 + s * 1000 + jump);
        }
        long true1 = 1_001_000 + seconds * 1000;
        assertEquals(steady ? true1 : true1 + jump, later);
        assertEquals(steady, sense.isDoubted());
    }
}
