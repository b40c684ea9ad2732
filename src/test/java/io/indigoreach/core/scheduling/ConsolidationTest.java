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

/**
 * Tests that tasks are moved onto fewer machines while few tasks wait. Without this, two deployments paid for machines
 * with one task each, and a fifth of the paid capacity was idle.
 */
class ConsolidationTest {
    private final SimulatedWorld w = new SimulatedWorld();
    private TaskStatus[] onA;
    private TaskStatus[] onB;

    /**
     * Starts {@code tasksOnA} tasks on machine a and one task on machine b, each using one of the machine's four cores.
     */
    private void place(int tasksOnA, double estimate, double saveEvery, boolean oneZone) {
        w.core.recordsLoaded();
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
        "3, 300, 10, false, 40, 0, true,  the task is moved to a",
        "4, 300, 10, false, 40, 0, false, a is full",
        "3, 300, 0,  false, 40, 0, false, the task would lose its progress",
        "3, 300, 10, false, 20, 0, false, the task started recently",
        "3, 55,  10, false, 40, 0, false, the task ends soon",
        "3, 300, 10, true,  40, 0, false, the placement depends on other tasks",
        "3, 300, 10, false, 40, 2, false, waiting tasks need the free cores"
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

    /** A moved task starts on the fuller machine and not on its previous one, and only after its stop is confirmed. */
    @Test
    void startsWhereItWasMovedTo() {
        place(3, 300, 10, false);
        hearBoth(39);
        w.core.planScaleIn(at(40));
        WorkerCommand stop = w.hear("b", 40, onB).get(0);
        assertEquals(List.of(), starts(w.hear("a", 41, onA)), "the task is still saving its progress");
        w.core.planScaleIn(at(42));
        assertEquals(List.of(), starts(w.hear("b", 42, exited(stop, ExitCause.STOPPED))), "b is being drained");
        assertEquals(List.of("run-2/0"), starts(w.hear("a", 43, onA)));
        w.core.planScaleIn(at(58));
        assertEquals(
                List.of("b"),
                w.core.machinesToReturn(9).stream().map(MachineId::toString).toList(),
                "b is returned at the end of its paid term");
    }

    /** A task of four cores fits only on b, and five tasks of one core exceed the three free cores of a. */
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

    /**
     * Guards against cordoning an idle machine while a service replica waits. Replicas were down longer when the
     * machine was kept cordoned because other machines had free cores, which the replicas were not able to use.
     */
    @Test
    void aReplicaIsNotKeptFromAnIdleMachine() {
        place(1, 300, 10, false);
        w.ordinary("c", 3);
        w.core.planScaleIn(at(4));
        w.submit(SimulatedWorld.service(3, 1), 5);
        assertEquals(List.of("run-3/0"), starts(w.hearOrdinary("c", 6)));
    }

    /** A surplus on-demand machine is drained before a spot machine, as it costs four times as much. */
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
        assertEquals(List.of(), stops(w.hear("b", 40, onB)), "with so few machines, one is drained at a time");
    }
}
