package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.exited;
import static io.indigoreach.core.scheduling.SimulatedWorld.running;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static io.indigoreach.core.scheduling.SimulatedWorld.starts;
import static io.indigoreach.core.scheduling.SimulatedWorld.stops;
import static io.indigoreach.core.scheduling.SimulatedWorld.with;
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
class ConsolidationTest {
    private final SimulatedWorld w = new SimulatedWorld();
    private TaskStatus[] onA;
    private TaskStatus[] onB;

    /** Three or so tasks on machine a, one on b, each of one of four cores. */
    private void place(int tasksOnA, double estimate, double saveEvery, boolean oneZone) {
        w.core.onRecordsLoaded();
        w.up("a", "east", 0);
        w.submit(with(spec(1, tasksOnA, 1, 300), Urgency.STANDARD, false, false, true, null, saveEvery), 0);
        onA = running(w.hear("a", 1));
        w.up("b", "east", 0);
        w.submit(with(spec(2, 1, 1, estimate), Urgency.STANDARD, oneZone, false, true, null, saveEvery), 1);
        onB = running(w.hear("b", 1));
        hearBoth(2);
    }

    private List<WorkerCommand> hearBoth(double at) {
        w.hear("a", at, onA);
        return w.hear("b", at, onB);
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
    void isMovedWhereThatIsWorthIt(
            int tasksOnA,
            double estimate,
            double saveEvery,
            boolean oneZone,
            double when,
            int waiting,
            boolean moved,
            String why) {
        place(tasksOnA, estimate, saveEvery, oneZone);
        hearBoth(when - 1);
        if (waiting > 0) {
            w.submit(spec(3, waiting, 4, 100), when);
        }
        w.core.planScaleIn(at(when));
        assertEquals(moved ? List.of("run-2/0") : List.of(), stops(w.hear("b", when, onB)), why);
        assertEquals(List.of(), stops(w.hear("a", when, onA)), why);
    }

    /** It starts on the fuller machine, not where it came from; and is not started before it has surely stopped. */
    @Test
    void startsWhereItWasMovedTo() {
        place(3, 300, 10, false);
        hearBoth(39);
        w.core.planScaleIn(at(40));
        WorkerCommand stop = w.hear("b", 40, onB).get(0);
        assertEquals(List.of(), starts(w.hear("a", 41, onA)), "it is still saving");
        w.core.planScaleIn(at(42));
        assertEquals(List.of(), starts(w.hear("b", 42, exited(stop, ExitCause.STOPPED))), "b is being emptied");
        assertEquals(List.of("run-2/0"), starts(w.hear("a", 43, onA)));
        w.core.planScaleIn(at(58));
        assertEquals(
                List.of("b"),
                w.core.machinesToReturn(9).stream().map(MachineId::toString).toList(),
                "returned with its term");
    }

    /** One task of four cores fits b only; five of one core are more than the three places on a that are left beside. */
    @ParameterizedTest
    @CsvSource({"1, 1, 0", "2, 1, 0", "5, 1, 4", "1, 4, 1"})
    void anIdleMachineIsLeftAsideWhileOthersHaveRoom(int tasks, double cores, int started) {
        place(1, 300, 10, false);
        w.hear("b", 3);
        w.hear("b", 3, exited(new WorkerCommand.Stop(onB[0].task(), onB[0].attempt(), Span.ZERO), ExitCause.DONE));
        w.core.planScaleIn(at(4));
        w.submit(spec(3, tasks, cores, 100), 5);
        assertEquals(started, starts(w.hear("b", 6)).size());
        assertEquals(Math.min(3, tasks - started), starts(w.hear("a", 7, onA)).size());
    }

    /** The replicas of the water kiosks were down longer: they could not use the room that they were left to. */
    @Test
    void aReplicaIsNotKeptFromAnIdleMachine() {
        place(1, 300, 10, false);
        w.ordinary("c", 3);
        w.core.planScaleIn(at(4));
        w.submit(SimulatedWorld.service(3, 1), 5);
        assertEquals(List.of("run-3/0"), starts(w.hearOrdinary("c", 6)));
    }

    /** The machine that is given up without need goes first: an ordinary one costs four times as much. */
    @Test
    void theDearestMachineIsEmptiedFirst() {
        place(2, 300, 10, false);
        w.submit(with(spec(4, 1, 1, 300), Urgency.STANDARD, false, false, true, null, 10), 2);
        TaskStatus[] onC = running(w.ordinary("c", 2));
        w.hearOrdinary("c", 3, onC);
        hearBoth(39);
        w.hearOrdinary("c", 39, onC);
        w.core.planScaleIn(at(40));
        assertEquals(List.of("run-4/0"), stops(w.hearOrdinary("c", 40, onC)));
        assertEquals(List.of(), stops(w.hear("b", 40, onB)), "one at a time of so few");
    }
}
