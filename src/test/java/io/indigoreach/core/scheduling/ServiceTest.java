package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.exited;
import static io.indigoreach.core.scheduling.SimulatedWorld.running;
import static io.indigoreach.core.scheduling.SimulatedWorld.service;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static io.indigoreach.core.scheduling.SimulatedWorld.starts;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Service replicas, which run until cancelled, in every decision that depends on when tasks end. */
class ServiceTest {
    private static SimulatedWorld loaded() {
        SimulatedWorld w = new SimulatedWorld();
        w.core.recordsLoaded();
        return w;
    }

    /** Twelve one-core tasks need three rounds of a machine, which may be partly or fully taken by replicas. */
    @ParameterizedTest
    @CsvSource({"0, 0", "2, 1", "4, 1"})
    void aPlaceThatAReplicaHoldsIsNoPlaceForWhatWaits(int replicas, int rented) {
        SimulatedWorld w = loaded();
        if (replicas > 0) {
            w.submit(service(1, replicas), 0);
        }
        w.hearOrdinary("a", 2, running(w.ordinary("a", 1)));
        w.submit(spec(2, 12, 1, 15), 3);
        assertEquals(
                rented,
                w.core.scaleOutRequests(at(4)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /** A replica is restarted whenever it ends, unless its job was cancelled; the job is never done. */
    @ParameterizedTest
    @CsvSource({"DONE, 1", "STOPPED, 0", "FULL, 1", "OTHER, 0"})
    void aReplicaThatEndedIsStartedAgain(ExitCause cause, double after) {
        SimulatedWorld w = loaded();
        Job job = w.submit(service(1, 1), 0);
        WorkerCommand start = w.ordinary("a", 1).get(0);
        w.hearOrdinary("a", 2, running(start));
        List<WorkerCommand> orders = w.hearOrdinary("a", 3, exited(start, cause));
        assertEquals(after > 0 ? 0 : 1, starts(orders).size());
        if (after > 0) {
            assertEquals(1, starts(w.hearOrdinary("a", 3 + after)).size());
        }
        assertFalse(job.isComplete());
        assertEquals(0, job.doneCount());
    }

    /** Guards against a service at the head of the queue that moved the work of 150 spot machines to on-demand ones. */
    @Test
    void spotMachinesAreAskedForBesideOrdinaryOnes() {
        SimulatedWorld w = loaded();
        w.submit(service(1, 8), 0);
        w.submit(spec(2, 16, 1, 100), 0);
        List<ScaleOutRequest> wishes = w.core.scaleOutRequests(at(20));
        assertEquals(
                2,
                wishes.stream()
                        .filter(r -> !r.pool().spot())
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
        assertEquals(
                4,
                wishes.stream()
                        .filter(r -> r.pool().spot())
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /** A machine with a replica must be paid for in any case, so other tasks use the rest of it. */
    @Test
    void aMachineWithAReplicaIsNeverSpare() {
        SimulatedWorld w = loaded();
        w.up("s", "east", 0);
        w.submit(service(1, 1), 0);
        List<WorkerCommand> replica = w.ordinary("a", 1);
        w.core.scaleOutRequests(at(2));
        w.submit(spec(2, 2, 1, 20), 600);
        w.core.scaleOutRequests(at(601));
        assertEquals(2, starts(w.hearOrdinary("a", 602, running(replica))).size());
    }

    /**
     * An image of 1 GB takes 2 s to fetch, and replicas have a start objective of 3 s. The dispatcher skips a machine
     * without the image only while the objective would be missed there and can be met on a machine that has it.
     */
    @ParameterizedTest
    @CsvSource({"0.5, true, 1", "1.5, true, 0", "1.5, false, 1", "3.1, true, 1"})
    void aStartThatWouldMissItsAimIsLeftToMachinesThatHaveTheImage(double waited, boolean held, int started) {
        ServiceLevelObjectives aims =
                new ServiceLevelObjectives(List.of(new ServiceLevelObjectives.Objective("s", true, Span.seconds(3))));
        SimulatedWorld w = new SimulatedWorld(SimulatedWorld.TUNING, aims);
        w.core.recordsLoaded();
        if (held) {
            w.submit(service(1, 4), 0);
            w.ordinary("a", 1);
        }
        JobSpec s = service(2, 1);
        w.submit(
                JobSpec.builder(s.id())
                        .jobClass(s.jobClass())
                        .team(s.team())
                        .kind(s.kind())
                        .urgency(s.urgency())
                        .tasks(1)
                        .demand(s.demand())
                        .image("img-1")
                        .imageGb(1)
                        .estimate(s.estimate())
                        .checkpointEvery(s.checkpointEvery())
                        .checkpointTime(s.checkpointTime())
                        .build(),
                100);
        assertEquals(started, starts(w.ordinary("b", 100 + waited)).size());
    }

    /** How a machine with a replica was lost, and from which second on the replica may start on another machine. */
    @ParameterizedTest
    @CsvSource({"listed as failed, 3", "lease expired, 14", "missing from two listings, 22"})
    void aLostReplicaStartsElsewhereOnceItSurelyIsGone(String loss, double from) {
        SimulatedWorld w = loaded();
        w.submit(service(1, 1), 0);
        TaskStatus[] replica = running(w.ordinary("a", 1));
        w.hearOrdinary("a", 1.5, replica);
        w.ordinary("b", 1.5);
        lose(w, loss, from - 1);
        assertEquals(0, starts(w.hearOrdinary("b", from - 0.5)).size());
        lose(w, loss, from);
        assertEquals(1, starts(w.hearOrdinary("b", from + 0.1)).size());
    }

    /**
     * Reports the loss at {@code now}: the machine fails at 2.5 s, or sends no heartbeats, or is missing from the
     * listing.
     */
    private static void lose(SimulatedWorld w, String loss, double now) {
        ListedMachine b = listed("b", ListedMachine.Status.RUNNING);
        switch (loss) {
            case "listed as failed" ->
                w.core.onMachineListing(
                        List.of(listed("a", now < 2.5 ? ListedMachine.Status.RUNNING : ListedMachine.Status.FAILED), b),
                        at(now),
                        at(now));
            case "lease expired" -> w.core.expireLeases(at(now));
            default -> w.core.onMachineListing(List.of(b), at(now), at(now));
        }
    }

    private static ListedMachine listed(String name, ListedMachine.Status status) {
        return new ListedMachine(new MachineId(name), new MachinePool("quad", "east", false), status, Span.seconds(1));
    }

    /** A new leader starts no replica that a machine may still run, and adopts those that heartbeats report. */
    @ParameterizedTest
    @CsvSource({"true, 2, 1", "false, 2, 0", "false, 13, 2"})
    void afterAChangeOfLeaderReplicasAreTakenOnOrWaitedFor(boolean reported, double at, int started) {
        SimulatedWorld w = new SimulatedWorld();
        w.inherited(service(1, 2));
        for (String name : List.of("a", "b")) {
            w.core.inheritMachine(new MachineId(name), new MachinePool("quad", "east", false), at(0), at(0), at(0));
        }
        w.core.recordsLoaded();
        if (reported) {
            w.hearOrdinary("a", 1, SimulatedWorld.foreign("run-1/0", 7));
        }
        w.core.expireLeases(at(at));
        assertEquals(started, starts(w.hearOrdinary("b", at)).size());
    }

    /**
     * A replica whose start was sent just before the cancellation is stopped when it is reported, and not started
     * again.
     */
    @Test
    void aReplicaOrderedBeforeTheCancellationIsStopped() {
        SimulatedWorld w = loaded();
        Job job = w.submit(service(1, 1), 0);
        List<WorkerCommand> late = w.ordinary("a", 1);
        w.core.cancelJob(job.id());
        assertEquals(0, starts(w.ordinary("b", 2)).size());
        List<WorkerCommand> answer = w.hearOrdinary("a", 3, running(late));
        assertEquals(List.of("run-1/0"), SimulatedWorld.stops(answer));
        assertEquals(0, starts(w.hearOrdinary("a", 4)).size());
    }
}
