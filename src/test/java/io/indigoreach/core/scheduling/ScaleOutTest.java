package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.running;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static io.indigoreach.core.scheduling.SimulatedWorld.with;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how many machines are rented, of which kind, and which machines are returned. */
class ScaleOutTest {
    /** Jobs are written as tasks x estimate. A machine runs four tasks, and jobs below 60 s count as short. */
    @ParameterizedTest
    @CsvSource({
        "8x100,               2",
        "8x100 8x100,         4",
        "8x100 8x30,          3",
        "8x30 8x30,           1",
        "8x30 8x30 8x100,     3",
        "1x100,               1"
    })
    void bestSize(String jobs, int machines) {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        int id = 0;
        for (String job : jobs.split(" ")) {
            String[] parts = job.split("x");
            w.submit(spec(++id, Integer.parseInt(parts[0]), 1, Double.parseDouble(parts[1])), 0);
        }
        assertEquals(
                machines,
                w.core.scaleOutRequests(at(1)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    @Test
    void machinesOnOrderAreNotAskedForAgainUntilOverdue() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.submit(spec(1, 8, 1, 100), 0);
        w.core.rented(
                new MachinePool("quad", "east", true), List.of(new MachineId("a"), new MachineId("b")), at(1), at(1));
        assertEquals(List.of(), w.core.scaleOutRequests(at(30)));
        assertEquals(2, w.core.scaleOutRequests(at(60)).get(0).count());
    }

    /**
     * An idle machine on which the only waiting job has failed does not count as available. Otherwise the job waits
     * until that machine's minimum paid time is over before another one is rented. The emulator's fault "spoil"
     * triggers this.
     */
    @Test
    void anIdleMachineWhereTheJobHasFailedIsNoPlaceForIt() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.up("a", "east", 0);
        w.submit(spec(1, 1, 1, 20), 0);
        WorkerCommand start = w.hear("a", 1).get(0);
        w.hear("a", 2, running(start));
        w.hear("a", 3, SimulatedWorld.exited(start, ExitCause.ERROR));
        assertEquals(List.of(), SimulatedWorld.starts(w.hear("a", 4)));
        assertEquals(
                1,
                w.core.scaleOutRequests(at(5)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
        w.core.rented(new MachinePool("quad", "east", true), List.of(new MachineId("b")), at(5), at(5));
        assertEquals(List.of(), w.core.scaleOutRequests(at(7)), "the booting machine is enough");
    }

    @Test
    void nothingIsRentedWhileTheTopJobIsPredictedToStartSoon() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.up("a", "east", 0);
        w.submit(spec(1, 4, 1, 20), 0);
        List<TaskStatus> tasks = new ArrayList<>();
        w.hear("a", 1).forEach(command -> tasks.add(running(command)));
        w.hear("a", 2, tasks.toArray(TaskStatus[]::new));
        w.submit(spec(2, 4, 1, 20), 3);
        assertEquals(List.of(), w.core.scaleOutRequests(at(4)));
        w.submit(with(spec(3, 4, 1, 200), Urgency.HIGH, true, false, true, "west", 0), 5);
        assertEquals(
                "west",
                w.core.scaleOutRequests(at(6)).get(0).pool().zone(),
                "no present machine can ever run the top job");
    }

    /**
     * Planned work is submitted as late as its prediction allows. Waiting for the wait limit before scaling out would
     * leave no time for a boot before its deadline.
     */
    @ParameterizedTest
    @CsvSource({"true, 60, 1", "true, 1000, 0", "false, 60, 0"})
    void plannedWorkRentsWhileItsBootStillFits(boolean planned, double dueS, int machines) {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.up("a", "east", 0);
        w.submit(spec(1, 4, 1, 20), 0);
        List<TaskStatus> tasks = new ArrayList<>();
        w.hear("a", 1).forEach(command -> tasks.add(running(command)));
        w.hear("a", 2, tasks.toArray(TaskStatus[]::new));
        JobSpec s = spec(2, 4, 1, 20);
        JobSpec due = JobSpec.builder(s.id())
                .jobClass(s.jobClass())
                .team(s.team())
                .kind(s.kind())
                .urgency(s.urgency())
                .tasks(s.tasks())
                .demand(s.demand())
                .image(s.image())
                .imageGb(s.imageGb())
                .types(s.types())
                .zone(s.zone())
                .oneZone(s.oneZone())
                .spread(s.spread())
                .spotAllowed(s.spotAllowed())
                .estimate(s.estimate())
                .checkpointEvery(s.checkpointEvery())
                .checkpointTime(s.checkpointTime())
                .due(Span.seconds(dueS))
                .build();
        w.submit(planned ? due.with("plan", Map.of("name", "p", "day", "2027-03-01")) : due, 3);
        assertEquals(
                machines,
                w.core.scaleOutRequests(at(4)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    @Test
    void spotFirstThenTheOtherZoneThenOrdinaryOnceThePatienceIsOver() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.submit(spec(1, 4, 1, 100), 0);
        MachinePool first = w.core.scaleOutRequests(at(1)).get(0).pool();
        w.core.scaleOutRejected(first, at(1));
        MachinePool second = w.core.scaleOutRequests(at(2)).get(0).pool();
        w.core.scaleOutRejected(second, at(2));
        assertEquals(List.of(true, true), List.of(first.spot(), second.spot()));
        assertEquals(List.of(), w.core.scaleOutRequests(at(3)));
        w.core.scaleOutRejected(first, at(61));
        w.core.scaleOutRejected(second, at(61));
        assertEquals(false, w.core.scaleOutRequests(at(62)).get(0).pool().spot());
    }

    /** A queue that spot machines do not serve within 300 s gets on-demand machines at once (incident inc-5d96). */
    @ParameterizedTest
    @CsvSource({"24, 0", "48, 2", "80, 4"})
    void aLongBacklogTakesOrdinaryMachines(int tasks, int ordinary) {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.up("a", "east", 0);
        w.submit(spec(1, tasks, 1, 75), 0);
        w.core.scaleOutRejected(new MachinePool("quad", "east", true), at(1));
        w.core.scaleOutRejected(new MachinePool("quad", "west", true), at(1));
        assertEquals(
                ordinary,
                w.core.scaleOutRequests(at(2)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /** The machine is rented at 0 s with paid terms of 60 s, and checked every 5 s. */
    @ParameterizedTest
    @CsvSource({"30, false, 0", "54, false, 0", "56, false, 1", "90, false, 0", "116, false, 1", "56, true, 0"})
    void idleMachinesGoAtTheEndOfTheirTermUnlessAWaitingJobCanUseThem(double at, boolean waiting, int returned) {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.up("a", "east", 0);
        w.hear("a", 20);
        if (waiting) {
            w.submit(spec(1, 1, 1, 50), at);
        }
        w.core.planScaleIn(at(at));
        assertEquals(returned, w.core.machinesToReturn(9).size());
    }

    @Test
    void aMachineThatNeverComesUpIsReturned() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.core.rented(new MachinePool("quad", "east", true), List.of(new MachineId("a")), at(0), at(0));
        w.core.planScaleIn(at(79));
        assertEquals(0, w.core.machinesToReturn(9).size());
        w.core.planScaleIn(at(81));
        assertEquals(1, w.core.machinesToReturn(9).size());
    }

    @Test
    void aJobKnownToFailRentsNothing() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        Job job = w.submit(spec(1, 8, 1, 100), 0);
        for (int i = 0; i < 3; i++) {
            job.failedMachines.add(new MachineId("m" + i));
        }
        assertEquals(List.of(), w.core.scaleOutRequests(at(100)));
    }

    /**
     * An on-demand machine beyond the need gets no new tasks, but only after some time (incident inc-bdad): one of two
     * machines still gets tasks for a minute or two after the need for them ended.
     */
    @ParameterizedTest
    @CsvSource({"0, 2", "45, 1", "90, 1", "400, 0"})
    void ordinaryMachinesAreLetGoSlowly(double later, int filled) {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        w.up("s", "east", 0);
        w.hear("s", 1);
        for (String name : List.of("a", "b")) {
            w.ordinary(name, 0);
        }
        Job large = w.submit(spec(1, 48, 1, 75), 2);
        w.core.scaleOutRequests(at(3));
        w.core.cancelJob(large.id());
        w.submit(spec(2, 8, 1, 20), 3 + later);
        w.core.scaleOutRequests(at(3 + later));
        assertEquals(
                filled,
                List.of("a", "b").stream()
                        .filter(name -> !SimulatedWorld.starts(w.hearOrdinary(name, 3 + later))
                                .isEmpty())
                        .count());
    }
}
