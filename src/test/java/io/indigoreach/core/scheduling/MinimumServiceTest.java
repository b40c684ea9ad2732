package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.scheduling.CoreHarness.Workload;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Every class and every team is served: floods, empty pools, queues behind urgent jobs; in steps of a second. */
class MinimumServiceTest {
    private static final ServiceLevelObjectives AIMS =
            new ServiceLevelObjectives(List.of(aim("urgent", 150), aim("usual", 180), aim("slow", 300)));

    private static ServiceLevelObjectives.Objective aim(String jobClass, double within) {
        return new ServiceLevelObjectives.Objective(jobClass, false, Span.seconds(within));
    }

    /** Some 1,100 of 1,200 cores' worth until 380, and between 80 and 230 so many times as many urgent jobs. */
    private static CoreHarness flood(int times, ServiceLevelObjectives aims) {
        return new CoreHarness(
                List.of(
                        Workload.of("urgent", Urgency.HIGH, 0.4, 10, 35, 25, 1).activeBetween(0, 380),
                        Workload.of("urgent", Urgency.HIGH, 0.4 * (times - 1), 0, 35, 25, 1)
                                .activeBetween(80, 230),
                        Workload.of("usual", Urgency.STANDARD, 0.35, 10, 80, 18, 1)
                                .activeBetween(0, 380),
                        Workload.of("slow", Urgency.BEST_EFFORT, 0.04, 3, 25, 70, 4)
                                .activeBetween(0, 380)
                                .savingProgress()),
                240,
                60,
                aims);
    }

    /** Guards against a flood of urgent jobs that leaves the others nothing: usual jobs were served 0.37 within their aim. */
    @ParameterizedTest
    @CsvSource({"1, 1.0, 1.0, 1.0", "3, 0.95, 0.6, 0.6", "6, 0.6, 0.5, 0.5"})
    void noClassFallsUnderHalfWithinItsLongestAim(int times, double urgent, double usual, double slow) {
        CoreHarness s = flood(times, AIMS).run(130);
        s.startNewLeader();
        s.run(870);
        String served = s.servedFraction("urgent", 150) + " " + s.servedFraction("usual", 180) + " "
                + s.servedFraction("slow", 300);
        assertTrue(
                s.servedFraction("urgent", 150) >= urgent
                        && s.servedFraction("usual", 180) >= usual
                        && s.servedFraction("slow", 300) >= slow,
                served);
        assertEquals(1, s.servedFraction("usual", 800), "all are served in the end");
    }

    /** Good service for an hour is no reason to leave a class with nothing in a flood of today. */
    @Test
    void anHourOfGoodServiceDoesNotHideAFlood() {
        int begin = 3600;
        CoreHarness s = new CoreHarness(
                List.of(
                        Workload.of("urgent", Urgency.HIGH, 0.4, 0, 35, 25, 1).activeBetween(begin, begin + 300),
                        Workload.of("urgent", Urgency.HIGH, 2, 0, 35, 25, 1).activeBetween(begin + 50, begin + 200),
                        Workload.of("usual", Urgency.STANDARD, 0.35, 0, 20, 18, 1)
                                .activeBetween(0, begin),
                        Workload.of("usual", Urgency.STANDARD, 0.35, 0, 80, 18, 1)
                                .activeBetween(begin, begin + 300)),
                240,
                60,
                AIMS);
        s.run(begin + 800);
        assertTrue(s.servedFraction("usual", 180, begin) >= 0.5, "usual " + s.servedFraction("usual", 180, begin));
    }

    /** An endless flood that takes all there is: what nobody has an aim for starts when it is ten minutes old all the same. */
    @Test
    void ageHasABound() {
        CoreHarness s = new CoreHarness(
                List.of(
                        Workload.of("urgent", Urgency.HIGH, 2, 10, 35, 25, 1),
                        Workload.of("slow", Urgency.BEST_EFFORT, 0.01, 3, 10, 70, 4)
                                .savingProgress()),
                240,
                60,
                SchedulerFixture.NO_OBJECTIVES);
        s.run(1500);
        assertTrue(s.longestWaitForLastStart("slow", 0) <= 750, "waits " + s.longestWaitForLastStart("slow", 0));
        assertTrue(s.servedFraction("urgent", 800) >= 0.5, "urgent " + s.servedFraction("urgent", 800));
    }

    /**
     * No spot machine is to be had, and no aim says when ordinary ones are worth their price: 94 tasks went one after the
     * other over one machine, and a spot machine was asked for all the while.
     */
    @ParameterizedTest
    @CsvSource({"0, 20", "3, 20", "0, 2"})
    void whereTheCheaperPoolIsEmptyWaitsAreBoundedAllTheSame(int spot, int ordinary) {
        CoreHarness s = new CoreHarness(
                List.of(Workload.of("c", Urgency.STANDARD, 0, 1, 94, 20, 1)),
                spot,
                ordinary,
                SchedulerFixture.NO_OBJECTIVES);
        s.run(400);
        int boots = 2 * 20;
        int atOnce = Math.min(9, spot + ordinary) * 4;
        int bound = boots + (94 + atOnce - 1) / atOnce * 24;
        assertTrue(
                s.longestWaitForLastStart("c", 0) <= bound,
                "waits " + s.longestWaitForLastStart("c", 0) + " of " + bound);
        long asked =
                s.requests.stream().filter(request -> request.pool().spot()).count();
        assertTrue(asked <= 42, "spot machines asked for " + asked + " times");
    }

    /** Behind a service and short jobs that start at once, longer ones wait: the top job alone did not say so. */
    @Test
    void waitsFallUnderTheThresholdAfterAChangeOfLeader() {
        CoreHarness s = new CoreHarness(
                List.of(
                        Workload.of("short", Urgency.STANDARD, 1.2, 30, 20, 6, 1),
                        Workload.of("long", Urgency.BEST_EFFORT, 0.2, 10, 8, 40, 1),
                        Workload.of("replicas", Urgency.PRODUCTION, 0, 1, 8, 0, 1)
                                .asService()),
                160,
                80,
                SchedulerFixture.NO_OBJECTIVES);
        s.run(10);
        s.startNewLeader();
        s.run(350);
        assertTrue(
                s.longestWaitForLastStart("short", 60) <= 45 && s.longestWaitForLastStart("long", 60) <= 45,
                "waits " + s.longestWaitForLastStart("short", 60) + " and " + s.longestWaitForLastStart("long", 60));
    }

    /** The top job has a place at once, so it rents nothing; a whole-machine task behind it waits past the limit of 45 s. */
    @ParameterizedTest
    @CsvSource({"40, 0", "50, 2"})
    void whoWaitsBehindATopJobThatStartsAtOnceIsRentedFor(double at, int machines) {
        SchedulerFixture w = new SchedulerFixture();
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.submit(SchedulerFixture.spec(1, 1, 1, 900), 0);
        w.heartbeat("a", 1);
        w.submit(SchedulerFixture.spec(2, 1, 4, 900), 2);
        w.submit(
                SchedulerFixture.withOptions(
                        SchedulerFixture.spec(3, 1, 1, 20), Urgency.HIGH, false, false, true, null, 0),
                at);
        assertEquals(
                machines,
                w.core.scaleOutRequests(SchedulerFixture.atSeconds(at)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /**
     * What nobody said a time for, behind more aimed work than there is room for: it began when that was over, 338 s and later.
     * The flood is of jobs that go first by urgency; the guests' are large arrays, tasks of a whole machine, or many.
     */
    @ParameterizedTest
    @CsvSource({
        "1, 6000, 1, 25, 0",
        "2, 240, 2, 60, 0.1",
        "3, 60, 4, 100, 0.05",
        "1, 100000, 1, 10, 0",
        "20, 1, 0.25, 150, 2"
    })
    void theLargestBeginWithinFourMinutes(int jobs, int tasks, double cores, int run, double perStep) {
        CoreHarness s = new CoreHarness(
                List.of(
                        Workload.of("urgent", Urgency.HIGH, 0.5, 10, 35, 25, 1),
                        Workload.of("urgent", Urgency.HIGH, 1.5, 0, 35, 25, 1).activeBetween(40, 160),
                        Workload.of("usual", Urgency.STANDARD, 0.4, 10, 80, 18, 1),
                        Workload.of("slow", Urgency.BEST_EFFORT, 0.04, 3, 25, 70, 4)
                                .savingProgress(),
                        Workload.of("guest", Urgency.BEST_EFFORT, perStep, jobs, tasks, run, cores)
                                .activeBetween(0, 120)),
                240,
                60,
                AIMS);
        s.run(150);
        s.startNewLeader();
        s.run(310);
        assertTrue(s.longestWaitForFirstStart("guest") <= 240, "guest " + s.longestWaitForFirstStart("guest"));
        assertTrue(s.longestWaitForFirstStart("slow") <= 240, "slow " + s.longestWaitForFirstStart("slow"));
    }

    /** Jobs without an aim go first on an eighth of the machines, whole ones: tasks of a whole machine find the others. */
    @Test
    void whatNobodySaidATimeForDoesNotTakeEveryMachineFromTasksOfAWholeOne() {
        CoreHarness s = new CoreHarness(
                List.of(
                        Workload.of("usual", Urgency.STANDARD, 0.4, 10, 80, 18, 1),
                        Workload.of("slow", Urgency.BEST_EFFORT, 0.07, 3, 25, 70, 4)
                                .savingProgress(),
                        Workload.of("guest", Urgency.BEST_EFFORT, 0, 5, 2000, 90, 1)),
                240,
                60,
                AIMS);
        s.run(700);
        assertTrue(s.servedFraction("slow", 300) >= 0.5, "slow " + s.servedFraction("slow", 300));
        assertTrue(s.longestWaitForFirstStart("guest") <= 240, "guest " + s.longestWaitForFirstStart("guest"));
    }

    /** A thousand machines, three teams: one floods, one has a guarantee, one a limit; each is served. */
    @Test
    void everyTeamIsServed() {
        Team[] teams = {
            new Team("floods", 0, 0, 0, 0), new Team("guaranteed", 1200, 0, 0, 0), new Team("limited", 0, 600, 0, 0)
        };
        CoreHarness s = new CoreHarness(
                List.of(
                        Workload.of("urgent", Urgency.HIGH, 6, 20, 40, 25, 1)
                                .activeBetween(0, 200)
                                .team("floods"),
                        Workload.of("usual", Urgency.STANDARD, 0.5, 10, 80, 18, 1)
                                .activeBetween(0, 300)
                                .team("guaranteed"),
                        Workload.of("slow", Urgency.BEST_EFFORT, 0.05, 3, 25, 70, 4)
                                .activeBetween(0, 300)
                                .savingProgress()
                                .team("limited")),
                800,
                200,
                new ServiceLevelObjectives(List.of(aim("urgent", 250), aim("usual", 180), aim("slow", 400))),
                teams);
        s.run(700);
        assertTrue(
                s.servedFraction("floods", 250) >= 0.5
                        && s.servedFraction("guaranteed", 180) >= 0.5
                        && s.servedFraction("limited", 400) >= 0.5,
                s.servedFraction("floods", 250) + " " + s.servedFraction("guaranteed", 180) + " "
                        + s.servedFraction("limited", 400));
    }
}
