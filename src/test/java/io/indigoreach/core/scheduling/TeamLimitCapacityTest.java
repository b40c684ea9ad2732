package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.TOKEN;
import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.core.scheduling.CoreHarness.Workload;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Waiting tasks that their team's limit or their zone constraints keep from starting keep no capacity from others. */
class TeamLimitCapacityTest {
    /** No job may wait for longer beside a machine that has room for it. */
    private static final int MAXIMUM_WAIT_S = 90;

    private static final Team UNLIMITED = new Team("t", 0, 0, 0, 0);
    private static final Team GUEST = new Team("guest", 0, 8, 0, 0);

    /**
     * Guards against the reservation of a top job whose team is at its limit: jobs of another team waited for 120 s
     * beside idle machines that were reserved for tasks that could not start.
     */
    @ParameterizedTest
    @CsvSource({"HIGH, 150", "HIGH, 0", "STANDARD, 0", "STANDARD, 150"})
    void jobsOfOtherTeamsStartWhileATeamIsAtItsLimit(Urgency guestUrgency, int objectiveS) {
        List<ServiceLevelObjectives.Objective> objectives = objectiveS == 0
                ? List.of()
                : List.of(new ServiceLevelObjectives.Objective("reconcile", false, Span.seconds(objectiveS)));
        CoreHarness harness = new CoreHarness(
                List.of(
                        Workload.of("backfill", guestUrgency, 0, 1, 60, 30, 1).team("guest"),
                        Workload.of("reconcile", Urgency.STANDARD, 5, 0, 4, 18, 1)
                                .activeBetween(30, 31)),
                12,
                0,
                new ServiceLevelObjectives(objectives),
                UNLIMITED,
                GUEST);
        harness.run(300);
        assertEquals(
                5,
                harness.histories.values().stream()
                        .filter(h -> h.arrivedAt == 30)
                        .count());
        assertTrue(
                harness.longestWaitForFirstStart("reconcile") <= MAXIMUM_WAIT_S,
                "waited " + harness.longestWaitForFirstStart("reconcile") + " s");
    }

    /**
     * Guards against the reservation of machines in zones that the top job may not use: it is bound to the zone of its
     * first task, or has as many tasks there as its spreading allows.
     */
    @ParameterizedTest
    @CsvSource({"true, false, west", "false, true, east"})
    void otherJobsStartInZonesThatTheTopJobMayNotUse(boolean oneZone, boolean spread, String freeZone) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.submit(withOptions(spec(1, 8, 1, 300), Urgency.HIGH, oneZone, spread, true, null, 0), 0);
        List<WorkerCommand> starts = world.heartbeat("a", 1);
        assertEquals(4, tasksToStart(starts).size());
        world.heartbeat("a", 2, runningStatus(starts));
        world.addSpotMachine("b", freeZone, 3);
        world.submit(spec(2, 4, 1, 18), 4);
        assertEquals(
                List.of("run-2/0", "run-2/1", "run-2/2", "run-2/3"),
                tasksToStart(world.core
                        .onHeartbeat(world.newHeartbeat("b", freeZone, 1, TOKEN), atSeconds(5))
                        .commands()));
    }
}
