package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStop;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static io.indigoreach.core.scheduling.SchedulerFixture.withTeam;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that tasks are moved onto fewer machines while few tasks wait. Without this, two deployments paid for machines
 * with one task each, and a fifth of the paid capacity was idle.
 */
class ConsolidationPolicyTest {
    private final SchedulerFixture fixture =
            new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("guest", 0, 4, 0, 0));
    private TaskStatus[] statusesOnA;
    private TaskStatus[] statusesOnB;

    /**
     * Starts {@code tasksOnA} tasks on machine a and one task on machine b, each using one of the machine's four cores.
     */
    private void startTasks(int tasksOnA, double estimate, double checkpointEvery, boolean oneZone) {
        fixture.core.onRecordsLoaded();
        fixture.addSpotMachine("a", "east", 0);
        fixture.submit(
                withOptions(spec(1, tasksOnA, 1, 300), Urgency.STANDARD, false, false, true, null, checkpointEvery), 0);
        statusesOnA = runningStatus(fixture.heartbeat("a", 1));
        fixture.addSpotMachine("b", "east", 0);
        fixture.submit(
                withOptions(spec(2, 1, 1, estimate), Urgency.STANDARD, oneZone, false, true, null, checkpointEvery), 1);
        statusesOnB = runningStatus(fixture.heartbeat("b", 1));
        heartbeatBoth(2);
    }

    private List<WorkerCommand> heartbeatBoth(double seconds) {
        fixture.heartbeat("a", seconds, statusesOnA);
        return fixture.heartbeat("b", seconds, statusesOnB);
    }

    @ParameterizedTest
    @CsvSource({
        "3, 300, 10, false, 40, 0, true,  the task is moved to a",
        "4, 300, 10, false, 40, 0, false, a is full",
        "3, 300, 0,  false, 40, 0, false, the task would lose its progress",
        "3, 300, 10, false, 20, 0, false, the task started recently",
        "3, 55,  10, false, 40, 0, false, the task ends soon",
        "3, 300, 10, true,  40, 0, false, the placement depends on other tasks",
        "3, 300, 10, false, 40, 2, false, waiting tasks need the free cores"
    })
    void movesTaskOnlyWhenWorthwhile(
            int tasksOnA,
            double estimate,
            double checkpointEvery,
            boolean oneZone,
            double seconds,
            int waiting,
            boolean moved,
            String message) {
        startTasks(tasksOnA, estimate, checkpointEvery, oneZone);
        heartbeatBoth(seconds - 1);
        if (waiting > 0) {
            fixture.submit(spec(3, waiting, 4, 100), seconds);
        }
        fixture.core.planScaleIn(atSeconds(seconds));
        assertEquals(
                moved ? List.of("run-2/0") : List.of(),
                tasksToStop(fixture.heartbeat("b", seconds, statusesOnB)),
                message);
        assertEquals(List.of(), tasksToStop(fixture.heartbeat("a", seconds, statusesOnA)), message);
    }

    /** A moved task starts on the fuller machine and not on its previous one, and only after its stop is confirmed. */
    @Test
    void movedTaskStartsOnTargetAfterItsStop() {
        startTasks(3, 300, 10, false);
        heartbeatBoth(39);
        fixture.core.planScaleIn(atSeconds(40));
        WorkerCommand stop = fixture.heartbeat("b", 40, statusesOnB).get(0);
        assertEquals(
                List.of(),
                tasksToStart(fixture.heartbeat("a", 41, statusesOnA)),
                "the task is still saving its progress");
        fixture.core.planScaleIn(atSeconds(42));
        assertEquals(
                List.of(),
                tasksToStart(fixture.heartbeat("b", 42, exitedStatus(stop, ExitCause.STOPPED))),
                "b is being drained");
        assertEquals(List.of("run-2/0"), tasksToStart(fixture.heartbeat("a", 43, statusesOnA)));
        fixture.core.planScaleIn(atSeconds(58));
        assertEquals(
                List.of("b"),
                fixture.core.machinesToReturn(9).stream()
                        .map(MachineId::toString)
                        .toList(),
                "b is returned at the end of its paid term");
    }

    /** A task of four cores fits only on b, and five tasks of one core exceed the three free cores of a. */
    @ParameterizedTest
    @CsvSource({"1, 1, 0", "2, 1, 0", "5, 1, 4", "1, 4, 1"})
    void idleMachineStaysCordonedWhileOthersHaveRoom(int tasks, double cores, int startedOnB) {
        startTasks(1, 300, 10, false);
        fixture.heartbeat("b", 3);
        fixture.heartbeat(
                "b",
                3,
                exitedStatus(
                        new WorkerCommand.Stop(statusesOnB[0].task(), statusesOnB[0].attempt(), Span.ZERO),
                        ExitCause.DONE));
        fixture.core.planScaleIn(atSeconds(4));
        fixture.submit(spec(3, tasks, cores, 100), 5);
        assertEquals(startedOnB, tasksToStart(fixture.heartbeat("b", 6)).size());
        assertEquals(
                Math.min(3, tasks - startedOnB),
                tasksToStart(fixture.heartbeat("a", 7, statusesOnA)).size());
    }

    /** Guards against keeping machines in use for waiting tasks of a team at its limit, which can start on none. */
    @Test
    void machineIsCordonedWhileTasksOfATeamAtItsLimitWait() {
        fixture.core.onRecordsLoaded();
        fillLimitOfGuests(0);
        fixture.addSpotMachine("a", "east", 2);
        fixture.submit(spec(2, 1, 1, 300), 2);
        assertEquals(List.of("run-2/0"), tasksToStart(fixture.heartbeat("a", 2)));
        fixture.addSpotMachine("b", "east", 3);
        fixture.heartbeat("b", 3);
        fixture.core.planScaleIn(atSeconds(4));
        fixture.submit(spec(3, 1, 1, 300), 5);
        assertEquals(List.of(), tasksToStart(fixture.heartbeat("b", 6)), "a has room for it");
    }

    /** Guards against keeping free cores for waiting tasks of a team at its limit: no machine was drained beside them. */
    @Test
    void taskIsMovedWhileTasksOfATeamAtItsLimitWait() {
        startTasks(3, 300, 10, false);
        TaskStatus[] guests = fillLimitOfGuests(3);
        heartbeatBoth(39);
        fixture.heartbeat("c", 39, guests);
        fixture.core.planScaleIn(atSeconds(40));
        assertEquals(List.of("run-2/0"), tasksToStop(fixture.heartbeat("b", 40, statusesOnB)));
    }

    /** Starts four tasks of a team with a limit of four cores on machine c, while six more wait; returns the four. */
    private TaskStatus[] fillLimitOfGuests(double seconds) {
        fixture.addSpotMachine("c", "east", seconds);
        fixture.submit(withTeam(spec(4, 10, 1, 300), "guest"), seconds);
        List<WorkerCommand> starts = fixture.heartbeat("c", seconds + 1);
        assertEquals(4, tasksToStart(starts).size());
        return runningStatus(starts);
    }

    /** Guards against cordoning the only machine that a one-zone job may use because there is room in another zone. */
    @Test
    void oneZoneJobUsesIdleMachineInItsZone() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        world.submit(spec(1, 1, 1, 300), 0);
        world.addSpotMachine("a", "west", 0);
        world.core.onHeartbeat(world.newHeartbeat("a", "west", 1, SchedulerFixture.TOKEN), atSeconds(1));
        world.addSpotMachine("b", "east", 0);
        world.addSpotMachine("c", "east", 0);
        world.heartbeat("b", 1);
        world.submit(withOptions(spec(2, 5, 1, 300), Urgency.STANDARD, true, false, true, null, 0), 2);
        assertEquals(4, tasksToStart(world.heartbeat("c", 3)).size());
        world.core.planScaleIn(atSeconds(4));
        assertEquals(List.of("run-2/4"), tasksToStart(world.heartbeat("b", 5)));
    }

    /**
     * Guards against cordoning an idle machine while a service replica waits. Replicas were down longer when the
     * machine was kept cordoned because other machines had free cores, which the replicas were not able to use.
     */
    @Test
    void replicaStartsOnIdleMachine() {
        startTasks(1, 300, 10, false);
        fixture.addOnDemandMachine("c", 3);
        fixture.core.planScaleIn(atSeconds(4));
        fixture.submit(SchedulerFixture.service(3, 1), 5);
        assertEquals(List.of("run-3/0"), tasksToStart(fixture.heartbeatOnDemand("c", 6)));
    }

    /** A surplus on-demand machine is drained before a spot machine, as it costs four times as much. */
    @Test
    void mostExpensiveMachineIsDrainedFirst() {
        startTasks(2, 300, 10, false);
        fixture.submit(withOptions(spec(4, 1, 1, 300), Urgency.STANDARD, false, false, true, null, 10), 2);
        TaskStatus[] statusesOnC = runningStatus(fixture.addOnDemandMachine("c", 2));
        fixture.heartbeatOnDemand("c", 3, statusesOnC);
        heartbeatBoth(39);
        fixture.heartbeatOnDemand("c", 39, statusesOnC);
        fixture.core.planScaleIn(atSeconds(40));
        assertEquals(List.of("run-4/0"), tasksToStop(fixture.heartbeatOnDemand("c", 40, statusesOnC)));
        assertEquals(
                List.of(),
                tasksToStop(fixture.heartbeat("b", 40, statusesOnB)),
                "with so few machines, one is drained at a time");
    }
}
