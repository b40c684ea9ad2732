package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.service;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
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
    private static SchedulerFixture newWorld() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        return world;
    }

    /** Twelve one-core tasks need three rounds of a machine, which may be partly or fully taken by replicas. */
    @ParameterizedTest
    @CsvSource({"0, 0", "2, 1", "4, 1"})
    void replicasDoNotCountAsFutureCapacity(int replicas, int rented) {
        SchedulerFixture world = newWorld();
        if (replicas > 0) {
            world.submit(service(1, replicas), 0);
        }
        world.heartbeatOnDemand("a", 2, runningStatus(world.addOnDemandMachine("a", 1)));
        world.submit(spec(2, 12, 1, 15), 3);
        assertEquals(
                rented,
                world.core.scaleOutRequests(atSeconds(4)).stream()
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /** A replica is restarted whenever it ends, unless its job was cancelled; the job is never done. */
    @ParameterizedTest
    @CsvSource({"DONE, 1", "STOPPED, 0", "FULL, 1", "OTHER, 0"})
    void endedReplicaIsRestarted(ExitCause cause, double after) {
        SchedulerFixture world = newWorld();
        Job job = world.submit(service(1, 1), 0);
        WorkerCommand start = world.addOnDemandMachine("a", 1).get(0);
        world.heartbeatOnDemand("a", 2, runningStatus(start));
        List<WorkerCommand> commands = world.heartbeatOnDemand("a", 3, exitedStatus(start, cause));
        assertEquals(after > 0 ? 0 : 1, tasksToStart(commands).size());
        if (after > 0) {
            assertEquals(
                    1, tasksToStart(world.heartbeatOnDemand("a", 3 + after)).size());
        }
        assertFalse(job.isComplete());
        assertEquals(0, job.doneCount());
    }

    /** Guards against a service at the head of the queue that moved the work of 150 spot machines to on-demand ones. */
    @Test
    void scaleOutRequestsSpotAndOnDemandMachines() {
        SchedulerFixture world = newWorld();
        world.submit(service(1, 8), 0);
        world.submit(spec(2, 16, 1, 100), 0);
        List<ScaleOutRequest> requests = world.core.scaleOutRequests(atSeconds(20));
        assertEquals(
                2,
                requests.stream()
                        .filter(r -> !r.pool().spot())
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
        assertEquals(
                4,
                requests.stream()
                        .filter(r -> r.pool().spot())
                        .mapToInt(ScaleOutRequest::count)
                        .sum());
    }

    /** A machine with a replica must be paid for in any case, so other tasks use the rest of it. */
    @Test
    void machineWithReplicaIsNotSurplus() {
        SchedulerFixture world = newWorld();
        world.addSpotMachine("s", "east", 0);
        world.submit(service(1, 1), 0);
        List<WorkerCommand> replica = world.addOnDemandMachine("a", 1);
        world.core.scaleOutRequests(atSeconds(2));
        world.submit(spec(2, 2, 1, 20), 600);
        world.core.scaleOutRequests(atSeconds(601));
        assertEquals(
                2,
                tasksToStart(world.heartbeatOnDemand("a", 602, runningStatus(replica)))
                        .size());
    }

    /**
     * An image of 1 GB takes 2 s to fetch, and replicas have a start objective of 3 s. The dispatcher skips a machine
     * without the image only while the objective would be missed there and can be met on a machine that has it.
     */
    @ParameterizedTest
    @CsvSource({"0.5, true, 1", "1.5, true, 0", "1.5, false, 1", "3.1, true, 1"})
    void startWaitsForCachedImageIfFetchMissesObjective(double waited, boolean imageCached, int started) {
        ServiceLevelObjectives objectives =
                new ServiceLevelObjectives(List.of(new ServiceLevelObjectives.Objective("s", true, Span.seconds(3))));
        SchedulerFixture world = new SchedulerFixture(SchedulerFixture.SETTINGS, objectives);
        world.core.onRecordsLoaded();
        if (imageCached) {
            world.submit(service(1, 4), 0);
            world.addOnDemandMachine("a", 1);
        }
        JobSpec spec = service(2, 1);
        world.submit(
                JobSpec.builder(spec.id())
                        .jobClass(spec.jobClass())
                        .team(spec.team())
                        .kind(spec.kind())
                        .urgency(spec.urgency())
                        .taskCount(1)
                        .demand(spec.demand())
                        .image("img-1")
                        .imageGb(1)
                        .estimatedRunTime(spec.estimatedRunTime())
                        .checkpointInterval(spec.checkpointInterval())
                        .checkpointDuration(spec.checkpointDuration())
                        .build(),
                100);
        assertEquals(
                started,
                tasksToStart(world.addOnDemandMachine("b", 100 + waited)).size());
    }

    /** How a machine with a replica was lost, and from which second on the replica may start on another machine. */
    @ParameterizedTest
    @CsvSource({"listed as failed, 3", "lease expired, 14", "missing from two listings, 22"})
    void lostReplicaRestartsOnlyOnceItsLossIsConfirmed(String loss, double from) {
        SchedulerFixture world = newWorld();
        world.submit(service(1, 1), 0);
        TaskStatus[] replica = runningStatus(world.addOnDemandMachine("a", 1));
        world.heartbeatOnDemand("a", 1.5, replica);
        world.addOnDemandMachine("b", 1.5);
        simulateLoss(world, loss, from - 1);
        assertEquals(0, tasksToStart(world.heartbeatOnDemand("b", from - 0.5)).size());
        simulateLoss(world, loss, from);
        assertEquals(1, tasksToStart(world.heartbeatOnDemand("b", from + 0.1)).size());
    }

    /**
     * Simulates the state at {@code now} of machine a, lost in the way that {@code loss} names: it is listed as failed
     * from 2.5 s on, its lease expires without heartbeats, or it is missing from the listing.
     */
    private static void simulateLoss(SchedulerFixture world, String loss, double now) {
        ListedMachine machineB = listed("b", ListedMachine.Status.RUNNING);
        switch (loss) {
            case "listed as failed" ->
                world.core.onMachineListing(
                        List.of(
                                listed("a", now < 2.5 ? ListedMachine.Status.RUNNING : ListedMachine.Status.FAILED),
                                machineB),
                        atSeconds(now),
                        atSeconds(now));
            case "lease expired" -> world.core.expireLeases(atSeconds(now));
            default -> world.core.onMachineListing(List.of(machineB), atSeconds(now), atSeconds(now));
        }
    }

    private static ListedMachine listed(String name, ListedMachine.Status status) {
        return new ListedMachine(new MachineId(name), new MachinePool("quad", "east", false), status, Span.seconds(1));
    }

    /** A new leader starts no replica that a machine may still run, and adopts those that heartbeats report. */
    @ParameterizedTest
    @CsvSource({"true, 2, 1", "false, 2, 0", "false, 13, 2"})
    void failoverAdoptsReplicasOrWaitsForThem(boolean reported, double at, int started) {
        SchedulerFixture world = new SchedulerFixture();
        world.addInheritedJob(service(1, 2));
        for (String name : List.of("a", "b")) {
            world.core.inheritMachine(
                    new MachineId(name),
                    new MachinePool("quad", "east", false),
                    atSeconds(0),
                    atSeconds(0),
                    atSeconds(0));
        }
        world.core.onRecordsLoaded();
        if (reported) {
            world.heartbeatOnDemand("a", 1, SchedulerFixture.statusOfUnknownTask("run-1/0", 7));
        }
        world.core.expireLeases(atSeconds(at));
        assertEquals(started, tasksToStart(world.heartbeatOnDemand("b", at)).size());
    }

    /**
     * A replica whose start was sent just before the cancellation is stopped when it is reported, and not started
     * again.
     */
    @Test
    void replicaStartedBeforeCancellationIsStopped() {
        SchedulerFixture world = newWorld();
        Job job = world.submit(service(1, 1), 0);
        List<WorkerCommand> lateStarts = world.addOnDemandMachine("a", 1);
        world.core.cancelJob(job.id());
        assertEquals(0, tasksToStart(world.addOnDemandMachine("b", 2)).size());
        List<WorkerCommand> commands = world.heartbeatOnDemand("a", 3, runningStatus(lateStarts));
        assertEquals(List.of("run-1/0"), SchedulerFixture.tasksToStop(commands));
        assertEquals(0, tasksToStart(world.heartbeatOnDemand("a", 4)).size());
    }
}
