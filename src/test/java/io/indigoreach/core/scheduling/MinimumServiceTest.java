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

/** Every job class and team gets a minimum of service during bursts and shortages, simulated in steps of a second. */
class MinimumServiceTest {
    private static final ServiceLevelObjectives OBJECTIVES = new ServiceLevelObjectives(
            List.of(objective("urgent", 150), objective("usual", 180), objective("slow", 300)));

    private static ServiceLevelObjectives.Objective objective(String jobClass, double within) {
        return new ServiceLevelObjectives.Objective(jobClass, false, Span.seconds(within));
    }

    /** A load of 1,100 of 1,200 cores until 380 s, with {@code times} the rate of urgent jobs from 80 s to 230 s. */
    private static CoreHarness overload(int times, ServiceLevelObjectives objectives) {
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
                objectives);
    }

    /**
     * Guards against starvation by a burst of urgent jobs, in which only 0.37 of the usual jobs met their objective.
     */
    @ParameterizedTest
    @CsvSource({"1, 1.0, 1.0, 1.0", "3, 0.95, 0.6, 0.6", "6, 0.6, 0.5, 0.5"})
    void burstLeavesOtherClassesMinimumService(int times, double urgent, double usual, double slow) {
        CoreHarness harness = overload(times, OBJECTIVES).run(130);
        harness.startNewLeader();
        harness.run(870);
        String served = harness.servedFraction("urgent", 150) + " " + harness.servedFraction("usual", 180) + " "
                + harness.servedFraction("slow", 300);
        assertTrue(
                harness.servedFraction("urgent", 150) >= urgent
                        && harness.servedFraction("usual", 180) >= usual
                        && harness.servedFraction("slow", 300) >= slow,
                served);
        assertEquals(1, harness.servedFraction("usual", 800), "all jobs are served in the end");
    }

    /** A class that was served well in the last hour still gets its minimum service when a burst starves it now. */
    @Test
    void pastServiceDoesNotHideCurrentStarvation() {
        int begin = 3600;
        CoreHarness harness = new CoreHarness(
                List.of(
                        Workload.of("urgent", Urgency.HIGH, 0.4, 0, 35, 25, 1).activeBetween(begin, begin + 300),
                        Workload.of("urgent", Urgency.HIGH, 2, 0, 35, 25, 1).activeBetween(begin + 50, begin + 200),
                        Workload.of("usual", Urgency.STANDARD, 0.35, 0, 20, 18, 1)
                                .activeBetween(0, begin),
                        Workload.of("usual", Urgency.STANDARD, 0.35, 0, 80, 18, 1)
                                .activeBetween(begin, begin + 300)),
                240,
                60,
                OBJECTIVES);
        harness.run(begin + 800);
        assertTrue(
                harness.servedFraction("usual", 180, begin) >= 0.5,
                "usual " + harness.servedFraction("usual", 180, begin));
    }

    /**
     * Guards against keeping cores for arriving jobs with an objective beyond the limit of their team: long jobs of
     * another team waited beside idle machines.
     */
    @Test
    void arrivalsOfATeamAtItsLimitHoldUpNoOtherTeam() {
        CoreHarness harness = new CoreHarness(
                List.of(
                        Workload.of("usual", Urgency.STANDARD, 0.5, 10, 4, 30, 1)
                                .team("guest"),
                        Workload.of("long", Urgency.STANDARD, 3, 0, 2, 70, 1).activeBetween(60, 61)),
                12,
                0,
                OBJECTIVES,
                SchedulerFixture.teamWithCoreLimit(0),
                new Team("guest", 0, 8, 0, 0));
        harness.run(300);
        assertTrue(
                harness.longestWaitForFirstStart("long") <= 90,
                "waited " + harness.longestWaitForFirstStart("long") + " s");
    }

    /**
     * During an endless overload by urgent jobs, jobs without an objective start once they are about ten minutes old.
     */
    @Test
    void jobsWithoutObjectiveStartWhenAged() {
        CoreHarness harness = new CoreHarness(
                List.of(
                        Workload.of("urgent", Urgency.HIGH, 2, 10, 35, 25, 1),
                        Workload.of("slow", Urgency.BEST_EFFORT, 0.01, 3, 10, 70, 4)
                                .savingProgress()),
                240,
                60,
                SchedulerFixture.NO_OBJECTIVES);
        harness.run(1500);
        assertTrue(
                harness.longestWaitForLastStart("slow", 0) <= 750,
                "waits " + harness.longestWaitForLastStart("slow", 0));
        assertTrue(harness.servedFraction("urgent", 800) >= 0.5, "urgent " + harness.servedFraction("urgent", 800));
    }

    /**
     * Guards against waiting for unavailable spot machines when no objective justifies on-demand ones: 94 tasks ran one
     * after the other on one machine while the scheduler kept requesting a spot machine.
     */
    @ParameterizedTest
    @CsvSource({"0, 20", "3, 20", "0, 2"})
    void waitsAreBoundedWithoutSpotMachines(int spot, int ordinary) {
        CoreHarness harness = new CoreHarness(
                List.of(Workload.of("c", Urgency.STANDARD, 0, 1, 94, 20, 1)),
                spot,
                ordinary,
                SchedulerFixture.NO_OBJECTIVES);
        harness.run(400);
        int bootTime = 2 * 20;
        int concurrentTasks = Math.min(9, spot + ordinary) * 4;
        int bound = bootTime + (94 + concurrentTasks - 1) / concurrentTasks * 24;
        assertTrue(
                harness.longestWaitForLastStart("c", 0) <= bound,
                "longest wait " + harness.longestWaitForLastStart("c", 0) + ", limit " + bound);
        long spotRequests = harness.requests.stream()
                .filter(request -> request.pool().spot())
                .count();
        assertTrue(spotRequests <= 42, spotRequests + " requests for spot machines");
    }

    /**
     * Guards against a scale-out decision that considers only the top job. Here the top jobs, a service and short jobs,
     * start at once, while longer jobs behind them wait.
     */
    @Test
    void waitsFallBelowLimitAfterFailover() {
        CoreHarness harness = new CoreHarness(
                List.of(
                        Workload.of("short", Urgency.STANDARD, 1.2, 30, 20, 6, 1),
                        Workload.of("long", Urgency.BEST_EFFORT, 0.2, 10, 8, 40, 1),
                        Workload.of("replicas", Urgency.PRODUCTION, 0, 1, 8, 0, 1)
                                .asService()),
                160,
                80,
                SchedulerFixture.NO_OBJECTIVES);
        harness.run(10);
        harness.startNewLeader();
        harness.run(350);
        assertTrue(
                harness.longestWaitForLastStart("short", 60) <= 45 && harness.longestWaitForLastStart("long", 60) <= 45,
                "waits " + harness.longestWaitForLastStart("short", 60) + " and "
                        + harness.longestWaitForLastStart("long", 60));
    }

    /**
     * The top job can start at once and needs no machine, but a whole-machine task behind it waits longer than the
     * limit of 45 s.
     */
    @ParameterizedTest
    @CsvSource({"40, 0", "50, 2"})
    void scalesOutForJobBehindStartableTopJob(double at, int machines) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(SchedulerFixture.spec(1, 1, 1, 900), 0);
        world.heartbeat("a", 1);
        world.submit(SchedulerFixture.spec(2, 1, 4, 900), 2);
        world.submit(
                SchedulerFixture.withOptions(
                        SchedulerFixture.spec(3, 1, 1, 20), Urgency.HIGH, false, false, true, null, 0),
                at);
        assertEquals(
                machines,
                world.core.scaleOutRequests(SchedulerFixture.atSeconds(at)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /**
     * Guards against starvation of jobs without an objective during an overload by jobs with one: they began only after
     * the overload, at 338 s or later. The overload is of urgent jobs. The guest jobs are large arrays, whole-machine
     * tasks, or many small jobs.
     */
    @ParameterizedTest
    @CsvSource({
        "1, 6000, 1, 25, 0",
        "2, 240, 2, 60, 0.1",
        "3, 60, 4, 100, 0.05",
        "1, 100000, 1, 10, 0",
        "20, 1, 0.25, 150, 2"
    })
    void jobsWithoutObjectiveBeginDuringOverload(int jobs, int tasks, double cores, int run, double perStep) {
        CoreHarness harness = new CoreHarness(
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
                OBJECTIVES);
        harness.run(150);
        harness.startNewLeader();
        harness.run(310);
        assertTrue(
                harness.longestWaitForFirstStart("guest") <= 240, "guest " + harness.longestWaitForFirstStart("guest"));
        assertTrue(harness.longestWaitForFirstStart("slow") <= 240, "slow " + harness.longestWaitForFirstStart("slow"));
    }

    /**
     * Jobs without an objective go first on an eighth of the machines only, so whole-machine tasks can use the others.
     */
    @Test
    void jobsWithoutObjectiveLeaveMachinesForWholeMachineTasks() {
        CoreHarness harness = new CoreHarness(
                List.of(
                        Workload.of("usual", Urgency.STANDARD, 0.4, 10, 80, 18, 1),
                        Workload.of("slow", Urgency.BEST_EFFORT, 0.07, 3, 25, 70, 4)
                                .savingProgress(),
                        Workload.of("guest", Urgency.BEST_EFFORT, 0, 5, 2000, 90, 1)),
                240,
                60,
                OBJECTIVES);
        harness.run(700);
        assertTrue(harness.servedFraction("slow", 300) >= 0.5, "slow " + harness.servedFraction("slow", 300));
        assertTrue(
                harness.longestWaitForFirstStart("guest") <= 240, "guest " + harness.longestWaitForFirstStart("guest"));
    }

    /** On a thousand machines, three teams are served: one submits a burst, one has a guarantee, one has a limit. */
    @Test
    void everyTeamIsServed() {
        Team[] teams = {
            new Team("floods", 0, 0, 0, 0), new Team("guaranteed", 1200, 0, 0, 0), new Team("limited", 0, 600, 0, 0)
        };
        CoreHarness harness = new CoreHarness(
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
                new ServiceLevelObjectives(
                        List.of(objective("urgent", 250), objective("usual", 180), objective("slow", 400))),
                teams);
        harness.run(700);
        assertTrue(
                harness.servedFraction("floods", 250) >= 0.5
                        && harness.servedFraction("guaranteed", 180) >= 0.5
                        && harness.servedFraction("limited", 400) >= 0.5,
                harness.servedFraction("floods", 250) + " " + harness.servedFraction("guaranteed", 180) + " "
                        + harness.servedFraction("limited", 400));
    }
}
