package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStop;
import static io.indigoreach.core.scheduling.SchedulerFixture.withOptions;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tasks are moved together when little waits: on two fleets a fifth of what was paid was idle, a task on each machine. */
class ConsolidationPolicyTest {
    private final SchedulerFixture fixture = new SchedulerFixture();
    private TaskStatus[] statusesOnA;
    private TaskStatus[] statusesOnB;

    /** Three or so tasks on machine a, one on b, each of one of four cores. */
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
        "3, 300, 10, false, 40, 0, true,  it is moved to a",
        "4, 300, 10, false, 40, 0, false, a is full",
        "3, 300, 0,  false, 40, 0, false, it would lose its work",
        "3, 300, 10, false, 20, 0, false, it has hardly run",
        "3, 55,  10, false, 40, 0, false, it ends soon",
        "3, 300, 10, true,  40, 0, false, its place depends on others",
        "3, 300, 10, false, 40, 2, false, what waits needs the room"
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

    /** It starts on the fuller machine, not where it came from; and is not started before it has surely stopped. */
    @Test
    void movedTaskStartsOnTargetAfterItsStop() {
        startTasks(3, 300, 10, false);
        heartbeatBoth(39);
        fixture.core.planScaleIn(atSeconds(40));
        WorkerCommand stop = fixture.heartbeat("b", 40, statusesOnB).get(0);
        assertEquals(List.of(), tasksToStart(fixture.heartbeat("a", 41, statusesOnA)), "it is still saving");
        fixture.core.planScaleIn(atSeconds(42));
        assertEquals(
                List.of(),
                tasksToStart(fixture.heartbeat("b", 42, exitedStatus(stop, ExitCause.STOPPED))),
                "b is being emptied");
        assertEquals(List.of("run-2/0"), tasksToStart(fixture.heartbeat("a", 43, statusesOnA)));
        fixture.core.planScaleIn(atSeconds(58));
        assertEquals(
                List.of("b"),
                fixture.core.machinesToReturn(9).stream()
                        .map(MachineId::toString)
                        .toList(),
                "returned with its term");
    }

    /** One task of four cores fits b only; five of one core are more than the three places on a that are left beside. */
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

    /** The replicas of the water kiosks were down longer: they could not use the room that they were left to. */
    @Test
    void replicaStartsOnIdleMachine() {
        startTasks(1, 300, 10, false);
        fixture.addOnDemandMachine("c", 3);
        fixture.core.planScaleIn(atSeconds(4));
        fixture.submit(SchedulerFixture.service(3, 1), 5);
        assertEquals(List.of("run-3/0"), tasksToStart(fixture.heartbeatOnDemand("c", 6)));
    }

    /** The machine that is given up without need goes first: an ordinary one costs four times as much. */
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
        assertEquals(List.of(), tasksToStop(fixture.heartbeat("b", 40, statusesOnB)), "one at a time of so few");
    }
}
