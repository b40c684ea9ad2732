package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.statusOfUnknownTask;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStop;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what a leader concludes from heartbeats and listings, and that it starts no task that may still run. */
class FailoverTest {
    private final SchedulerFixture world = new SchedulerFixture();

    private void inheritMachine(String name) {
        world.core.inheritMachine(
                new MachineId(name),
                new MachinePool("quad", "east", true),
                atSeconds(-100),
                atSeconds(0),
                atSeconds(0));
    }

    @Test
    void inheritedTasksWaitForHeartbeatsOfAllRecordedMachines() {
        inheritMachine("a");
        inheritMachine("b");
        world.addInheritedJob(spec(1, 2, 1, 50));
        world.core.onRecordsLoaded();
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 1)), "b may hold both tasks");
        assertEquals(
                List.of(),
                tasksToStart(world.core
                        .onHeartbeat(world.newHeartbeat("b", "east", 1, new FencingToken(4)), atSeconds(2))
                        .commands()),
                "a late command of the old leader can still change a task list that was sent with an older token");
        assertEquals(List.of("run-1/1"), tasksToStart(world.heartbeat("b", 3, statusOfUnknownTask("run-1/0", 7))));
    }

    @Test
    void aSilentMachineBlocksTasksUntilItsLeaseExpires() {
        inheritMachine("a");
        inheritMachine("b");
        world.addInheritedJob(spec(1, 1, 1, 50));
        world.core.onRecordsLoaded();
        world.heartbeat("a", 1);
        world.core.expireLeases(atSeconds(12.1));
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 12.1)));
        world.core.expireLeases(atSeconds(12.5));
        assertEquals(List.of("run-1/0"), tasksToStart(world.heartbeat("a", 12.6)));
    }

    /**
     * A job's record could only be read after the others, so heartbeats showed its tasks as those of an unknown job. It
     * waits until no heartbeat shows a task of an unknown job.
     */
    @ParameterizedTest
    @CsvSource({"true, run-1/1", "false, run-1/0"})
    void aLateInheritedJobWaitsForTasksOfUnknownJobsToEnd(boolean isStillRunning, String expectedStart) {
        inheritMachine("a");
        inheritMachine("b");
        world.core.onRecordsLoaded();
        world.heartbeat("a", 1);
        assertEquals(
                1,
                tasksToStop(world.heartbeat("b", 1, statusOfUnknownTask("run-1/0", 7)))
                        .size());
        world.addInheritedJob(spec(1, 2, 1, 50));
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 2)), "b has one of its tasks");
        List<WorkerCommand> commands =
                isStillRunning ? world.heartbeat("b", 3, statusOfUnknownTask("run-1/0", 7)) : world.heartbeat("b", 3);
        assertEquals(expectedStart, tasksToStart(commands).get(0));
        world.addInheritedJob(spec(2, 1, 1, 50));
        assertEquals(
                List.of("run-2/0"),
                tasksToStart(world.heartbeat("a", 4)),
                "no heartbeat shows a task of an unknown job");
    }

    @Test
    void aNewJobNeedNotWaitForTheFailover() {
        inheritMachine("a");
        inheritMachine("b");
        world.core.onRecordsLoaded();
        world.submit(spec(1, 1, 1, 50), 1);
        assertEquals(List.of("run-1/0"), tasksToStart(world.heartbeat("a", 2)));
    }

    @Test
    void underATeamLimitNewJobsWaitForTheFailover() {
        SchedulerFixture limited = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(4));
        limited.core.inheritMachine(
                new MachineId("a"), new MachinePool("quad", "east", true), atSeconds(-100), atSeconds(0), atSeconds(0));
        limited.core.inheritMachine(
                new MachineId("b"), new MachinePool("quad", "east", true), atSeconds(-100), atSeconds(0), atSeconds(0));
        limited.core.onRecordsLoaded();
        limited.submit(spec(1, 1, 1, 50), 1);
        assertEquals(List.of(), tasksToStart(limited.heartbeat("a", 2)));
    }

    /** Tasks of a job that was cancelled before the failover count against their team's limit until they have ended. */
    @Test
    void underATeamLimitNoTaskStartsBesideTasksOfUnknownJobs() {
        SchedulerFixture limited = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(4));
        limited.core.onRecordsLoaded();
        limited.addSpotMachine("a", "east", 0);
        limited.submit(spec(1, 1, 1, 50), 1);
        assertEquals(List.of(), tasksToStart(limited.heartbeat("a", 2, statusOfUnknownTask("run-9/0", 7))));
        assertEquals(List.of("run-1/0"), tasksToStart(limited.heartbeat("a", 3)));
    }

    @Test
    void noCommandsBeforeTheRecordsAreLoaded() {
        inheritMachine("a");
        world.submit(spec(1, 1, 1, 50), 0);
        assertEquals(List.of(), world.heartbeat("a", 1));
    }

    @Test
    void anUnrecordedMachineGetsNoTasks() {
        world.core.onRecordsLoaded();
        world.submit(spec(1, 1, 1, 50), 0);
        world.core.onMachinesRented(
                new MachinePool("quad", "east", true), List.of(new MachineId("x")), atSeconds(0), atSeconds(0));
        assertEquals(
                List.of(), tasksToStart(world.heartbeat("x", 1)), "a later leader would not wait for its heartbeat");
        world.core.onMachineRecorded(new MachineId("x"));
        assertEquals(List.of("run-1/0"), tasksToStart(world.heartbeat("x", 2)));
    }

    /**
     * Machines that never booted are not recorded. In incident inc-e504, two such machines were recorded and blocked a
     * whole queue for 24 s.
     */
    @Test
    void onlyMachinesWithAHeartbeatAreRecorded() {
        world.core.onRecordsLoaded();
        world.core.onMachinesRented(
                new MachinePool("quad", "east", true),
                List.of(new MachineId("a"), new MachineId("b")),
                atSeconds(0),
                atSeconds(0));
        world.submit(spec(1, 1, 1, 50), 0);
        assertEquals(Optional.empty(), world.core.machineToRecord(new MachineId("a")));
        Heartbeat first = world.newHeartbeat("a", "east", 1, SchedulerFixture.TOKEN);
        assertEquals(
                List.of(),
                tasksToStart(world.core.onHeartbeat(first, atSeconds(20)).commands()));
        assertTrue(world.core.machineToRecord(new MachineId("a")).isPresent());
        assertEquals(Optional.empty(), world.core.machineToRecord(new MachineId("b")));
        world.core.onMachineRecorded(new MachineId("a"));
        assertEquals(
                List.of("run-1/0"),
                tasksToStart(world.core.startTasks(new MachineId("a"), first.number(), atSeconds(20))));
    }

    @Test
    void aLateRecordSendsNoCommandsForAnOlderHeartbeat() {
        world.core.onRecordsLoaded();
        world.submit(spec(1, 1, 1, 50), 0);
        Heartbeat first = world.newHeartbeat("a", "east", 1, SchedulerFixture.TOKEN);
        world.core.onHeartbeat(first, atSeconds(20));
        world.heartbeat("a", 22);
        world.core.onMachineRecorded(new MachineId("a"));
        assertEquals(List.of(), world.core.startTasks(new MachineId("a"), first.number(), atSeconds(23)));
    }

    @Test
    void aLostStartIsRepeatedOnlyAfterANewerHeartbeat() {
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.addSpotMachine("b", "east", 0);
        world.submit(spec(1, 1, 4, 50), 0);
        Heartbeat stale = world.newHeartbeat("a", "east", 1, SchedulerFixture.TOKEN);
        List<WorkerCommand> first = world.heartbeat("a", 1);
        assertEquals(List.of("run-1/0"), tasksToStart(first));
        assertEquals(
                List.of(),
                world.core.onHeartbeat(stale, atSeconds(1.5)).commands(),
                "an older heartbeat shows nothing");
        assertEquals(List.of(), tasksToStart(world.heartbeat("b", 2)));
        List<WorkerCommand> second = world.heartbeat("a", 3);
        assertEquals(List.of("run-1/0"), tasksToStart(second));
        assertTrue(second.get(0).attempt().value() != first.get(0).attempt().value(), "an attempt is used once");
    }

    @Test
    void aNewIncarnationHasNoneOfTheOldTasks() {
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.addSpotMachine("b", "east", 0);
        world.submit(spec(1, 1, 4, 50), 0);
        WorkerCommand start = world.heartbeat("a", 1).get(0);
        world.heartbeat("a", 2, runningStatus(start));
        assertEquals(
                List.of("run-1/0"),
                tasksToStart(world.core
                        .onHeartbeat(world.newHeartbeat("a", "east", 2, SchedulerFixture.TOKEN), atSeconds(9))
                        .commands()));
    }

    @Test
    void aNewerTokenSupersedesThisLeader() {
        world.core.onRecordsLoaded();
        assertEquals(
                new HeartbeatResult.Superseded(),
                world.core.onHeartbeat(world.newHeartbeat("a", "east", 1, new FencingToken(6)), atSeconds(1)));
    }

    @Test
    void aTaskIsReapedOnlyOnceItsCompletionIsRecorded() {
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        Job job = world.submit(spec(1, 2, 1, 50), 0);
        List<WorkerCommand> commands = world.heartbeat("a", 1);
        List<WorkerCommand> beforeRecording =
                world.heartbeat("a", 2, exitedStatus(commands.get(0), ExitCause.DONE), runningStatus(commands.get(1)));
        assertEquals(List.of(), beforeRecording);
        assertEquals(List.of(job), world.progressedJobs);
        job.completionsRecorded(job.completedTasks());
        assertTrue(
                world.heartbeat("a", 3, exitedStatus(commands.get(0), ExitCause.DONE), runningStatus(commands.get(1)))
                                .get(0)
                        instanceof WorkerCommand.Reap);
    }

    @Test
    void aTaskReportedByTwoMachinesIsStoppedOnTheSecond() {
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.addSpotMachine("b", "east", 0);
        world.submit(spec(1, 1, 4, 50), 0);
        WorkerCommand start = world.heartbeat("a", 1).get(0);
        world.heartbeat("a", 2, runningStatus(start));
        assertEquals(List.of("run-1/0"), tasksToStop(world.heartbeat("b", 3, statusOfUnknownTask("run-1/0", 9))));
    }

    @Test
    void tasksOfACancelledJobAreStoppedAndCountUntilTheyExit() {
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        Job job = world.submit(spec(1, 1, 4, 50), 0);
        WorkerCommand start = world.heartbeat("a", 1).get(0);
        world.heartbeat("a", 2, runningStatus(start));
        world.core.cancelJob(job.id());
        world.submit(spec(2, 1, 4, 50), 2);
        List<WorkerCommand> commands = world.heartbeat("a", 3, runningStatus(start));
        assertEquals(List.of("run-1/0"), tasksToStop(commands));
        assertEquals(List.of(), tasksToStart(commands));
        assertEquals(List.of("run-2/0"), tasksToStart(world.heartbeat("a", 4, exitedStatus(start, ExitCause.STOPPED))));
    }

    @Test
    void aMachineMissingFromListingsIsRemovedOnlyBeyondTheirLag() {
        inheritMachine("a");
        inheritMachine("b");
        world.addInheritedJob(spec(1, 1, 1, 50));
        world.core.onRecordsLoaded();
        world.heartbeat("a", 1);
        List<ListedMachine> listing = List.of(new ListedMachine(
                new MachineId("a"),
                new MachinePool("quad", "east", true),
                ListedMachine.Status.RUNNING,
                Span.seconds(100)));
        world.core.onMachineListing(listing, atSeconds(2), atSeconds(2));
        world.core.onMachineListing(listing, atSeconds(6), atSeconds(6));
        assertEquals(
                List.of(),
                tasksToStart(world.heartbeat("a", 6.5)),
                "these listings may describe a time before b was rented");
        world.core.onMachineListing(listing, atSeconds(7.5), atSeconds(7.5));
        world.core.onMachineListing(listing, atSeconds(9), atSeconds(9));
        assertEquals(List.of("run-1/0"), tasksToStart(world.heartbeat("a", 9.5)));
    }

    /**
     * A leader that only the workers cannot reach keeps its leadership, so it has to detect by itself that it is cut
     * off, and hand over.
     */
    @Test
    void aLeaderWithoutHeartbeatsOfSeveralMachinesIsCutOff() {
        world.core.onRecordsLoaded();
        for (String name : List.of("a", "b", "c")) {
            world.addSpotMachine(name, "east", 0);
            world.heartbeat(name, 20);
        }
        assertEquals(false, world.core.isPartitionedFromWorkers(atSeconds(24)));
        assertEquals(
                true,
                world.core.isPartitionedFromWorkers(atSeconds(25)),
                "after the suspicion timeout of a single machine, as the workers' leases run meanwhile");
        world.heartbeat("b", 24.5);
        assertEquals(false, world.core.isPartitionedFromWorkers(atSeconds(25)));
    }

    /** Guards against a new leader that steps down before workers connected to a paused node had time to find it. */
    @ParameterizedTest
    @CsvSource({"6.4, false", "6.6, true"})
    void aNewLeaderIsCutOffOnlyAfterTheDiscoveryTime(double seconds, boolean isCutOff) {
        for (String name : List.of("a", "b", "c")) {
            world.core.inheritMachine(
                    new MachineId(name),
                    new MachinePool("quad", "east", true),
                    atSeconds(-90),
                    atSeconds(-90),
                    atSeconds(0));
        }
        world.core.onRecordsLoaded();
        assertEquals(isCutOff, world.core.isPartitionedFromWorkers(atSeconds(seconds)));
    }

    @Test
    void aReturnedMachineIsNotAdoptedFromALateHeartbeatOrListing() {
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        world.heartbeat("a", 1);
        world.core.onMachinesReturned(List.of(new MachineId("a")), atSeconds(2));
        world.heartbeat("a", 3);
        world.core.onMachineListing(
                List.of(new ListedMachine(
                        new MachineId("a"),
                        new MachinePool("quad", "east", true),
                        ListedMachine.Status.RUNNING,
                        Span.seconds(3))),
                atSeconds(3),
                atSeconds(3));
        assertEquals(0, world.core.machineCount());
    }

    /**
     * Tasks at or above the recorded start bound were never started, so they need not wait for unreconciled machines.
     */
    @ParameterizedTest
    @CsvSource({
        "2, false, run-1/2 run-1/3",
        "0, false, run-1/0 run-1/1 run-1/2 run-1/3",
        "4, false, ''",
        "2, true, ''",
        "0, true, run-1/0 run-1/1 run-1/2 run-1/3"
    })
    void neverStartedTasksDoNotWaitForAllMachines(int startBound, boolean oneZone, String expectedStarts) {
        inheritMachine("a");
        inheritMachine("b");
        Job job = world.addInheritedJob(
                SchedulerFixture.withOptions(spec(1, 4, 1, 50), Urgency.STANDARD, oneZone, false, true, null, 0),
                startBound);
        world.core.onRecordsLoaded();
        job.startBoundRecorded(4);
        assertEquals(
                expectedStarts,
                String.join(" ", tasksToStart(world.heartbeat("a", 1))),
                "b may run tasks below the bound");
        world.heartbeat("b", 2);
        assertEquals(
                4,
                tasksToStart(world.heartbeat("b", 3)).size()
                        + (expectedStarts.isEmpty() ? 0 : expectedStarts.split(" ").length));
    }

    /**
     * A task starts only below the recorded start bound; a write of a higher bound that is not answered yet does not
     * count.
     */
    @Test
    void noTaskStartsBeyondTheRecordedStartBound() {
        world.core.onRecordsLoaded();
        world.addSpotMachine("a", "east", 0);
        Job job = new Job(spec(1, 9, 1, 50), 1, atSeconds(0), new Revision(1), new java.util.BitSet(), 0, false);
        world.core.addJob(job);
        assertEquals(List.of(job), world.core.startBoundsToRaise(atSeconds(1)));
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 1)));
        int requestedBound = job.startBoundToWrite();
        assertEquals(List.of(), tasksToStart(world.heartbeat("a", 2)), "its write has no answer yet");
        job.startBoundRecorded(requestedBound);
        assertEquals(4, tasksToStart(world.heartbeat("a", 3)).size());
        assertEquals(8, requestedBound, "the tasks that fit on the machine now, and as many again");
    }

    /** Guards against raising bounds only for the waiting tasks of a team at its limit, while other jobs could start. */
    @Test
    void startBoundsAreRaisedForJobsBehindATeamAtItsLimit() {
        SchedulerFixture limited =
                new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(0), new Team("guest", 0, 2, 0, 0));
        limited.core.onRecordsLoaded();
        limited.addSpotMachine("a", "east", 0);
        limited.heartbeat("a", 1);
        JobSpec guest = SchedulerFixture.withTeam(spec(1, 60, 1, 50), "guest");
        Job first = new Job(guest, 1, atSeconds(0), new Revision(1), new java.util.BitSet(), 0, false);
        Job second = new Job(spec(2, 4, 1, 50), 2, atSeconds(0), new Revision(2), new java.util.BitSet(), 0, false);
        limited.core.addJob(first);
        limited.core.addJob(second);
        assertEquals(List.of(first, second), limited.core.startBoundsToRaise(atSeconds(2)));
    }

    /**
     * Half of 2,000 machines are unreachable until late in the failover. On the other half, tasks that no leader has
     * started start at once.
     */
    @Test
    void unreachableMachinesDoNotDelayNeverStartedTasks() {
        for (int i = 0; i < 2000; i++) {
            world.core.inheritMachine(
                    new MachineId("m" + i),
                    new MachinePool("quad", i % 2 == 0 ? "east" : "west", true),
                    atSeconds(-100),
                    atSeconds(-90),
                    atSeconds(0));
        }
        world.addInheritedJob(spec(1, 4000, 1, 50), 4000);
        world.addInheritedJob(spec(2, 4000, 1, 50), 0).startBoundRecorded(4000);
        world.core.onRecordsLoaded();
        int starts = 0;
        for (int i = 0; i < 2000; i += 2) {
            starts += tasksToStart(world.heartbeat("m" + i, 1 + i / 2000.0)).size();
        }
        assertEquals(4000, starts, "tasks of the job that no leader had started");
        world.core.planScaleIn(atSeconds(9));
        assertEquals(0, world.core.machinesToReturn(9).size());
        for (int i = 1; i < 2000; i += 2) {
            starts += tasksToStart(world.core
                            .onHeartbeat(
                                    world.newHeartbeat("m" + i, "west", 1, SchedulerFixture.TOKEN),
                                    atSeconds(10 + i / 2000.0))
                            .commands())
                    .size();
        }
        assertEquals(
                4004, starts, "the last heartbeat completes the failover, and its machine can start inherited tasks");
    }

    /**
     * 500 of 2,000 machines have just been returned and 500 others rented. A listing from before both, which the
     * protocol allows, must not remove the rented machines or adopt the returned ones again.
     */
    @Test
    void anOutdatedListingChangesNothing() {
        world.core.onRecordsLoaded();
        List<MachineId> ids = IntStream.range(0, 2000)
                .mapToObj(i -> new MachineId("m" + (10_000 + i)))
                .toList();
        world.core.onMachinesRented(
                new MachinePool("quad", "east", true), ids.subList(0, 1500), atSeconds(0), atSeconds(0));
        world.core.onMachinesReturned(ids.subList(0, 500), atSeconds(100));
        world.core.onMachinesRented(
                new MachinePool("quad", "east", true), ids.subList(1500, 2000), atSeconds(100), atSeconds(100));
        for (double requestedAt : new double[] {101, 102, 103}) {
            world.core.onMachineListing(
                    ids.subList(0, 1500).stream()
                            .map(id -> new ListedMachine(
                                    id,
                                    new MachinePool("quad", "east", true),
                                    ListedMachine.Status.RUNNING,
                                    Span.seconds(99)))
                            .toList(),
                    atSeconds(requestedAt),
                    atSeconds(requestedAt + 0.1));
        }
        assertEquals(1500, world.core.machineCount());
        assertTrue(ids.subList(500, 2000).stream().allMatch(world.core::isKnownMachine));
        world.core.onMachineListing(List.of(), atSeconds(108), atSeconds(108));
        world.core.onMachineListing(List.of(), atSeconds(109), atSeconds(109));
        assertEquals(
                0,
                world.core.machineCount(),
                "machines missing from two listings, beyond twice the lag, no longer exist");
    }

    /**
     * Guards against tasks that no leader has started taking the room of inherited replicas that may run nowhere. That
     * kept replicas of a service down for longer during a failover.
     */
    @Test
    void neverStartedTasksLeaveRoomForInheritedReplicas() {
        world.core.inheritMachine(
                new MachineId("o"),
                new MachinePool("quad", "east", false),
                atSeconds(-100),
                atSeconds(0),
                atSeconds(0));
        inheritMachine("a");
        inheritMachine("b");
        world.addInheritedJob(SchedulerFixture.service(1, 2), 2);
        world.addInheritedJob(spec(2, 9, 1, 50), 0).startBoundRecorded(9);
        world.core.onRecordsLoaded();
        assertEquals(
                List.of(), tasksToStart(world.heartbeatOnDemand("o", 1)), "the replicas can run only on this machine");
        assertEquals(4, tasksToStart(world.heartbeat("a", 1)).size(), "the replicas may not run on this machine");
        world.heartbeat("b", 2);
        assertEquals(
                List.of("run-1/0", "run-1/1"),
                tasksToStart(world.heartbeatOnDemand("o", 3)).subList(0, 2));
    }
}
