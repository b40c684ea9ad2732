package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.scheduling.CoreHarness.Kind;
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
                        Kind.of("urgent", Urgency.HIGH, 0.4, 10, 35, 25, 1).between(0, 380),
                        Kind.of("urgent", Urgency.HIGH, 0.4 * (times - 1), 0, 35, 25, 1)
                                .between(80, 230),
                        Kind.of("usual", Urgency.STANDARD, 0.35, 10, 80, 18, 1).between(0, 380),
                        Kind.of("slow", Urgency.BEST_EFFORT, 0.04, 3, 25, 70, 4)
                                .between(0, 380)
                                .saving()),
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
        harness.newLeader();
        harness.run(870);
        String served =
                harness.served("urgent", 150) + " " + harness.served("usual", 180) + " " + harness.served("slow", 300);
        assertTrue(
                harness.served("urgent", 150) >= urgent
                        && harness.served("usual", 180) >= usual
                        && harness.served("slow", 300) >= slow,
                served);
        assertEquals(1, harness.served("usual", 800), "all jobs are served in the end");
    }

    /** Guards against good service in the last hour that hides the starvation of a class by a current burst. */
    @Test
    void pastServiceDoesNotHideCurrentStarvation() {
        int begin = 3600;
        CoreHarness harness = new CoreHarness(
                List.of(
                        Kind.of("urgent", Urgency.HIGH, 0.4, 0, 35, 25, 1).between(begin, begin + 300),
                        Kind.of("urgent", Urgency.HIGH, 2, 0, 35, 25, 1).between(begin + 50, begin + 200),
                        Kind.of("usual", Urgency.STANDARD, 0.35, 0, 20, 18, 1).between(0, begin),
                        Kind.of("usual", Urgency.STANDARD, 0.35, 0, 80, 18, 1).between(begin, begin + 300)),
                240,
                60,
                OBJECTIVES);
        harness.run(begin + 800);
        assertTrue(harness.served("usual", 180, begin) >= 0.5, "usual " + harness.served("usual", 180, begin));
    }

    /**
     * During an endless overload by urgent jobs, jobs without an objective start once they are about ten minutes old.
     */
    @Test
    void jobsWithoutObjectiveStartWhenAged() {
        CoreHarness harness = new CoreHarness(
                List.of(
                        Kind.of("urgent", Urgency.HIGH, 2, 10, 35, 25, 1),
                        Kind.of("slow", Urgency.BEST_EFFORT, 0.01, 3, 10, 70, 4).saving()),
                240,
                60,
                SimulatedWorld.NO_AIMS);
        harness.run(1500);
        assertTrue(harness.longestWait("slow", 0) <= 750, "waits " + harness.longestWait("slow", 0));
        assertTrue(harness.served("urgent", 800) >= 0.5, "urgent " + harness.served("urgent", 800));
    }

    /**
     * Guards against waiting for unavailable spot machines when no objective justifies on-demand ones: 94 tasks ran one
     * after the other on one machine while the scheduler kept requesting a spot machine.
     */
    @ParameterizedTest
    @CsvSource({"0, 20", "3, 20", "0, 2"})
    void waitsAreBoundedWithoutSpotMachines(int spot, int ordinary) {
        CoreHarness harness = new CoreHarness(
                List.of(Kind.of("c", Urgency.STANDARD, 0, 1, 94, 20, 1)), spot, ordinary, SimulatedWorld.NO_AIMS);
        harness.run(400);
        int bootTime = 2 * 20;
        int concurrentTasks = Math.min(9, spot + ordinary) * 4;
        int bound = bootTime + (94 + concurrentTasks - 1) / concurrentTasks * 24;
        assertTrue(
                harness.longestWait("c", 0) <= bound,
                "longest wait " + harness.longestWait("c", 0) + ", limit " + bound);
        long spotRequests =
                harness.asked.stream().filter(request -> request.pool().spot()).count();
        assertTrue(spotRequests <= 42, spotRequests + " requests for spot machines");
    }

    /**
     * Guards against scale-out by the top job alone: longer jobs wait behind a service and short jobs that start at
     * once.
     */
    @Test
    void waitsFallBelowLimitAfterFailover() {
        CoreHarness harness = new CoreHarness(
                List.of(
                        Kind.of("short", Urgency.STANDARD, 1.2, 30, 20, 6, 1),
                        Kind.of("long", Urgency.BEST_EFFORT, 0.2, 10, 8, 40, 1),
                        Kind.of("replicas", Urgency.PRODUCTION, 0, 1, 8, 0, 1).service()),
                160,
                80,
                SimulatedWorld.NO_AIMS);
        harness.run(10);
        harness.newLeader();
        harness.run(350);
        assertTrue(
                harness.longestWait("short", 60) <= 45 && harness.longestWait("long", 60) <= 45,
                "waits " + harness.longestWait("short", 60) + " and " + harness.longestWait("long", 60));
    }

    /**
     * The top job can start at once and needs no machine, but a whole-machine task behind it waits longer than the
     * limit of 45 s.
     */
    @ParameterizedTest
    @CsvSource({"40, 0", "50, 2"})
    void scalesOutForJobBehindStartableTopJob(double at, int machines) {
        SimulatedWorld world = new SimulatedWorld();
        world.core.recordsLoaded();
        world.up("a", "east", 0);
        world.submit(SimulatedWorld.spec(1, 1, 1, 900), 0);
        world.hear("a", 1);
        world.submit(SimulatedWorld.spec(2, 1, 4, 900), 2);
        world.submit(
                SimulatedWorld.with(SimulatedWorld.spec(3, 1, 1, 20), Urgency.HIGH, false, false, true, null, 0), at);
        assertEquals(
                machines,
                world.core.scaleOutRequests(SimulatedWorld.at(at)).stream()
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
                        Kind.of("urgent", Urgency.HIGH, 0.5, 10, 35, 25, 1),
                        Kind.of("urgent", Urgency.HIGH, 1.5, 0, 35, 25, 1).between(40, 160),
                        Kind.of("usual", Urgency.STANDARD, 0.4, 10, 80, 18, 1),
                        Kind.of("slow", Urgency.BEST_EFFORT, 0.04, 3, 25, 70, 4).saving(),
                        Kind.of("guest", Urgency.BEST_EFFORT, perStep, jobs, tasks, run, cores)
                                .between(0, 120)),
                240,
                60,
                OBJECTIVES);
        harness.run(150);
        harness.newLeader();
        harness.run(310);
        assertTrue(harness.latestBegin("guest") <= 240, "guest " + harness.latestBegin("guest"));
        assertTrue(harness.latestBegin("slow") <= 240, "slow " + harness.latestBegin("slow"));
    }

    /**
     * Jobs without an objective go first on an eighth of the machines only, so whole-machine tasks can use the others.
     */
    @Test
    void jobsWithoutObjectiveLeaveMachinesForWholeMachineTasks() {
        CoreHarness harness = new CoreHarness(
                List.of(
                        Kind.of("usual", Urgency.STANDARD, 0.4, 10, 80, 18, 1),
                        Kind.of("slow", Urgency.BEST_EFFORT, 0.07, 3, 25, 70, 4).saving(),
                        Kind.of("guest", Urgency.BEST_EFFORT, 0, 5, 2000, 90, 1)),
                240,
                60,
                OBJECTIVES);
        harness.run(700);
        assertTrue(harness.served("slow", 300) >= 0.5, "slow " + harness.served("slow", 300));
        assertTrue(harness.latestBegin("guest") <= 240, "guest " + harness.latestBegin("guest"));
    }

    /** On a thousand machines, three teams are served: one submits a burst, one has a guarantee, one has a limit. */
    @Test
    void everyTeamIsServed() {
        Team[] teams = {
            new Team("floods", 0, 0, 0, 0), new Team("guaranteed", 1200, 0, 0, 0), new Team("limited", 0, 600, 0, 0)
        };
        CoreHarness harness = new CoreHarness(
                List.of(
                        Kind.of("urgent", Urgency.HIGH, 6, 20, 40, 25, 1)
                                .between(0, 200)
                                .team("floods"),
                        Kind.of("usual", Urgency.STANDARD, 0.5, 10, 80, 18, 1)
                                .between(0, 300)
                                .team("guaranteed"),
                        Kind.of("slow", Urgency.BEST_EFFORT, 0.05, 3, 25, 70, 4)
                                .between(0, 300)
                                .saving()
                                .team("limited")),
                800,
                200,
                new ServiceLevelObjectives(
                        List.of(objective("urgent", 250), objective("usual", 180), objective("slow", 400))),
                teams);
        harness.run(700);
        assertTrue(
                harness.served("floods", 250) >= 0.5
                        && harness.served("guaranteed", 180) >= 0.5
                        && harness.served("limited", 400) >= 0.5,
                harness.served("floods", 250) + " " + harness.served("guaranteed", 180) + " "
                        + harness.served("limited", 400));
    }
}
