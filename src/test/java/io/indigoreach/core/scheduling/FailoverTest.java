package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.exited;
import static io.indigoreach.core.scheduling.SimulatedWorld.foreign;
import static io.indigoreach.core.scheduling.SimulatedWorld.running;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
import static io.indigoreach.core.scheduling.SimulatedWorld.starts;
import static io.indigoreach.core.scheduling.SimulatedWorld.stops;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.ListedMachine;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a leader may conclude from heartbeats and listings, and when it may start tasks, so that no task runs twice. */
class FailoverTest {
    private final SimulatedWorld world = new SimulatedWorld();

    private void inheritMachine(String name) {
        world.core.inheritMachine(new MachineId(name), new MachinePool("quad", "east", true), at(-100), at(0), at(0));
    }

    @Test
    void inheritedTasksWaitForHeartbeatsOfAllRecordedMachines() {
        inheritMachine("a");
        inheritMachine("b");
        world.inherited(spec(1, 2, 1, 50));
        world.core.onRecordsLoaded();
        assertEquals(List.of(), starts(world.hear("a", 1)), "b may hold both tasks");
        assertEquals(
                List.of(),
                starts(world.core
                        .onHeartbeat(world.report("b", "east", 1, new FencingToken(4)), at(2))
                        .commands()),
                "a late command of the old leader can still change a task list that was sent with an older token");
        assertEquals(List.of("run-1/1"), starts(world.hear("b", 3, foreign("run-1/0", 7))));
    }

    @Test
    void aSilentMachineBlocksTasksUntilItsLeaseExpires() {
        inheritMachine("a");
        inheritMachine("b");
        world.inherited(spec(1, 1, 1, 50));
        world.core.onRecordsLoaded();
        world.hear("a", 1);
        world.core.expireLeases(at(12.1));
        assertEquals(List.of(), starts(world.hear("a", 12.1)));
        world.core.expireLeases(at(12.5));
        assertEquals(List.of("run-1/0"), starts(world.hear("a", 12.6)));
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
        world.hear("a", 1);
        assertEquals(1, stops(world.hear("b", 1, foreign("run-1/0", 7))).size());
        world.inherited(spec(1, 2, 1, 50));
        assertEquals(List.of(), starts(world.hear("a", 2)), "b has one of its tasks");
        List<WorkerCommand> commands = isStillRunning ? world.hear("b", 3, foreign("run-1/0", 7)) : world.hear("b", 3);
        assertEquals(expectedStart, starts(commands).get(0));
        world.inherited(spec(2, 1, 1, 50));
        assertEquals(List.of("run-2/0"), starts(world.hear("a", 4)), "no heartbeat shows a task of an unknown job");
    }

    @Test
    void aNewJobNeedNotWaitForTheFailover() {
        inheritMachine("a");
        inheritMachine("b");
        world.core.onRecordsLoaded();
        world.submit(spec(1, 1, 1, 50), 1);
        assertEquals(List.of("run-1/0"), starts(world.hear("a", 2)));
    }

    @Test
    void underATeamLimitNewJobsWaitForTheFailover() {
        SimulatedWorld limited = new SimulatedWorld(SimulatedWorld.team(4));
        limited.core.inheritMachine(new MachineId("a"), new MachinePool("quad", "east", true), at(-100), at(0), at(0));
        limited.core.inheritMachine(new MachineId("b"), new MachinePool("quad", "east", true), at(-100), at(0), at(0));
        limited.core.onRecordsLoaded();
        limited.submit(spec(1, 1, 1, 50), 1);
        assertEquals(List.of(), starts(limited.hear("a", 2)));
    }

    /** Tasks of a job that was cancelled before the failover count against their team's limit until they have ended. */
    @Test
    void underATeamLimitNoTaskStartsBesideTasksOfUnknownJobs() {
        SimulatedWorld limited = new SimulatedWorld(SimulatedWorld.team(4));
        limited.core.onRecordsLoaded();
        limited.up("a", "east", 0);
        limited.submit(spec(1, 1, 1, 50), 1);
        assertEquals(List.of(), starts(limited.hear("a", 2, foreign("run-9/0", 7))));
        assertEquals(List.of("run-1/0"), starts(limited.hear("a", 3)));
    }

    @Test
    void noCommandsBeforeTheRecordsAreLoaded() {
        inheritMachine("a");
        world.submit(spec(1, 1, 1, 50), 0);
        assertEquals(List.of(), world.hear("a", 1));
    }

    @Test
    void anUnrecordedMachineGetsNoTasks() {
        world.core.onRecordsLoaded();
        world.submit(spec(1, 1, 1, 50), 0);
        world.core.onMachinesRented(new MachinePool("quad", "east", true), List.of(new MachineId("x")), at(0), at(0));
        assertEquals(List.of(), starts(world.hear("x", 1)), "a later leader would not wait for its heartbeat");
        world.core.onMachineRecorded(new MachineId("x"));
        assertEquals(List.of("run-1/0"), starts(world.hear("x", 2)));
    }

    /**
     * Machines that never came up need no record: two recorded ones held back a whole queue for 24 s (incident
     * inc-e504).
     */
    @Test
    void onlyMachinesWithAHeartbeatAreRecorded() {
        world.core.onRecordsLoaded();
        world.core.onMachinesRented(
                new MachinePool("quad", "east", true), List.of(new MachineId("a"), new MachineId("b")), at(0), at(0));
        world.submit(spec(1, 1, 1, 50), 0);
        assertEquals(Optional.empty(), world.core.machineToRecord(new MachineId("a")));
        Heartbeat first = world.report("a", "east", 1, SimulatedWorld.TOKEN);
        assertEquals(List.of(), starts(world.core.onHeartbeat(first, at(20)).commands()));
        assertTrue(world.core.machineToRecord(new MachineId("a")).isPresent());
        assertEquals(Optional.empty(), world.core.machineToRecord(new MachineId("b")));
        world.core.onMachineRecorded(new MachineId("a"));
        assertEquals(List.of("run-1/0"), starts(world.core.startTasks(new MachineId("a"), first.number(), at(20))));
    }

    @Test
    void aLateRecordSendsNoCommandsForAnOlderHeartbeat() {
        world.core.onRecordsLoaded();
        world.submit(spec(1, 1, 1, 50), 0);
        Heartbeat first = world.report("a", "east", 1, SimulatedWorld.TOKEN);
        world.core.onHeartbeat(first, at(20));
        world.hear("a", 22);
        world.core.onMachineRecorded(new MachineId("a"));
        assertEquals(List.of(), world.core.startTasks(new MachineId("a"), first.number(), at(23)));
    }

    @Test
    void aLostStartIsRepeatedOnlyAfterANewerHeartbeat() {
        world.core.onRecordsLoaded();
        world.up("a", "east", 0);
        world.up("b", "east", 0);
        world.submit(spec(1, 1, 4, 50), 0);
        Heartbeat stale = world.report("a", "east", 1, SimulatedWorld.TOKEN);
        List<WorkerCommand> first = world.hear("a", 1);
        assertEquals(List.of("run-1/0"), starts(first));
        assertEquals(List.of(), world.core.onHeartbeat(stale, at(1.5)).commands(), "an older heartbeat shows nothing");
        assertEquals(List.of(), starts(world.hear("b", 2)));
        List<WorkerCommand> second = world.hear("a", 3);
        assertEquals(List.of("run-1/0"), starts(second));
        assertTrue(second.get(0).attempt().value() != first.get(0).attempt().value(), "an attempt is used once");
    }

    @Test
    void aNewIncarnationHasNoneOfTheOldTasks() {
        world.core.onRecordsLoaded();
        world.up("a", "east", 0);
        world.up("b", "east", 0);
        world.submit(spec(1, 1, 4, 50), 0);
        WorkerCommand start = world.hear("a", 1).get(0);
        world.hear("a", 2, running(start));
        assertEquals(
                List.of("run-1/0"),
                starts(world.core
                        .onHeartbeat(world.report("a", "east", 2, SimulatedWorld.TOKEN), at(9))
                        .commands()));
    }

    @Test
    void aNewerTokenSupersedesThisLeader() {
        world.core.onRecordsLoaded();
        assertEquals(
                new HeartbeatResult.Superseded(),
                world.core.onHeartbeat(world.report("a", "east", 1, new FencingToken(6)), at(1)));
    }

    @Test
    void aTaskIsReapedOnlyOnceItsCompletionIsRecorded() {
        world.core.onRecordsLoaded();
        world.up("a", "east", 0);
        Job job = world.submit(spec(1, 2, 1, 50), 0);
        List<WorkerCommand> commands = world.hear("a", 1);
        List<WorkerCommand> beforeRecording =
                world.hear("a", 2, exited(commands.get(0), ExitCause.DONE), running(commands.get(1)));
        assertEquals(List.of(), beforeRecording);
        assertEquals(List.of(job), world.progressed);
        job.completionsRecorded(job.completedTasks());
        assertTrue(
                world.hear("a", 3, exited(commands.get(0), ExitCause.DONE), running(commands.get(1)))
                                .get(0)
                        instanceof WorkerCommand.Reap);
    }

    @Test
    void aTaskReportedByTwoMachinesIsStoppedOnTheSecond() {
        world.core.onRecordsLoaded();
        world.up("a", "east", 0);
        world.up("b", "east", 0);
        world.submit(spec(1, 1, 4, 50), 0);
        WorkerCommand start = world.hear("a", 1).get(0);
        world.hear("a", 2, running(start));
        assertEquals(List.of("run-1/0"), stops(world.hear("b", 3, foreign("run-1/0", 9))));
    }

    @Test
    void tasksOfACancelledJobAreStoppedAndCountUntilTheyExit() {
        world.core.onRecordsLoaded();
        world.up("a", "east", 0);
        Job job = world.submit(spec(1, 1, 4, 50), 0);
        WorkerCommand start = world.hear("a", 1).get(0);
        world.hear("a", 2, running(start));
        world.core.cancelJob(job.id());
        world.submit(spec(2, 1, 4, 50), 2);
        List<WorkerCommand> commands = world.hear("a", 3, running(start));
        assertEquals(List.of("run-1/0"), stops(commands));
        assertEquals(List.of(), starts(commands));
        assertEquals(List.of("run-2/0"), starts(world.hear("a", 4, exited(start, ExitCause.STOPPED))));
    }

    @Test
    void aMachineMissingFromListingsIsRemovedOnlyBeyondTheirLag() {
        inheritMachine("a");
        inheritMachine("b");
        world.inherited(spec(1, 1, 1, 50));
        world.core.onRecordsLoaded();
        world.hear("a", 1);
        List<ListedMachine> listing = List.of(new ListedMachine(
                new MachineId("a"),
                new MachinePool("quad", "east", true),
                ListedMachine.Status.RUNNING,
                Span.seconds(100)));
        world.core.onMachineListing(listing, at(2), at(2));
        world.core.onMachineListing(listing, at(6), at(6));
        assertEquals(List.of(), starts(world.hear("a", 6.5)), "these listings may describe a time before b was rented");
        world.core.onMachineListing(listing, at(7.5), at(7.5));
        world.core.onMachineListing(listing, at(9), at(9));
        assertEquals(List.of("run-1/0"), starts(world.hear("a", 9.5)));
    }

    /**
     * A leader that only the workers cannot reach keeps its leadership, so it has to detect by itself that it is cut
     * off, and hand over.
     */
    @Test
    void aLeaderWithoutHeartbeatsOfSeveralMachinesIsCutOff() {
        world.core.onRecordsLoaded();
        for (String name : List.of("a", "b", "c")) {
            world.up(name, "east", 0);
            world.hear(name, 20);
        }
        assertEquals(false, world.core.isPartitionedFromWorkers(at(24)));
        assertEquals(
                true,
                world.core.isPartitionedFromWorkers(at(25)),
                "after the suspicion timeout of a single machine, as the workers' leases run meanwhile");
        world.hear("b", 24.5);
        assertEquals(false, world.core.isPartitionedFromWorkers(at(25)));
    }

    /** Guards against a new leader that steps down before workers connected to a paused node had time to find it. */
    @ParameterizedTest
    @CsvSource({"6.4, false", "6.6, true"})
    void aNewLeaderIsCutOffOnlyAfterTheDiscoveryTime(double seconds, boolean isCutOff) {
        for (String name : List.of("a", "b", "c")) {
            world.core.inheritMachine(
                    new MachineId(name), new MachinePool("quad", "east", true), at(-90), at(-90), at(0));
        }
        world.core.onRecordsLoaded();
        assertEquals(isCutOff, world.core.isPartitionedFromWorkers(at(seconds)));
    }

    @Test
    void aReturnedMachineIsNotAdoptedFromALateHeartbeatOrListing() {
        world.core.onRecordsLoaded();
        world.up("a", "east", 0);
        world.hear("a", 1);
        world.core.onMachinesReturned(List.of(new MachineId("a")), at(2));
        world.hear("a", 3);
        world.core.onMachineListing(
                List.of(new ListedMachine(
                        new MachineId("a"),
                        new MachinePool("quad", "east", true),
                        ListedMachine.Status.RUNNING,
                        Span.seconds(3))),
                at(3),
                at(3));
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
        Job job = world.inherited(
                SimulatedWorld.with(spec(1, 4, 1, 50), Urgency.STANDARD, oneZone, false, true, null, 0), startBound);
        world.core.onRecordsLoaded();
        job.startBoundRecorded(4);
        assertEquals(expectedStarts, String.join(" ", starts(world.hear("a", 1))), "b may run tasks below the bound");
        world.hear("b", 2);
        assertEquals(
                4,
                starts(world.hear("b", 3)).size() + (expectedStarts.isEmpty() ? 0 : expectedStarts.split(" ").length));
    }

    /**
     * A task starts only below the recorded start bound; a write of a higher bound that is not answered yet does not
     * count.
     */
    @Test
    void noTaskStartsBeyondTheRecordedStartBound() {
        world.core.onRecordsLoaded();
        world.up("a", "east", 0);
        Job job = new Job(spec(1, 9, 1, 50), 1, at(0), new Revision(1), new java.util.BitSet(), 0, false);
        world.core.addJob(job);
        assertEquals(List.of(job), world.core.startBoundsToRaise(at(1)));
        assertEquals(List.of(), starts(world.hear("a", 1)));
        int requestedBound = job.startBoundToWrite();
        assertEquals(List.of(), starts(world.hear("a", 2)), "its write has no answer yet");
        job.startBoundRecorded(requestedBound);
        assertEquals(4, starts(world.hear("a", 3)).size());
        assertEquals(8, requestedBound, "the tasks that fit on the machine now, and as many again");
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
                    at(-100),
                    at(-90),
                    at(0));
        }
        world.inherited(spec(1, 4000, 1, 50), 4000);
        world.inherited(spec(2, 4000, 1, 50), 0).startBoundRecorded(4000);
        world.core.onRecordsLoaded();
        int starts = 0;
        for (int i = 0; i < 2000; i += 2) {
            starts += starts(world.hear("m" + i, 1 + i / 2000.0)).size();
        }
        assertEquals(4000, starts, "tasks of the job that no leader had started");
        world.core.planScaleIn(at(9));
        assertEquals(0, world.core.machinesToReturn(9).size());
        for (int i = 1; i < 2000; i += 2) {
            starts += starts(world.core
                            .onHeartbeat(world.report("m" + i, "west", 1, SimulatedWorld.TOKEN), at(10 + i / 2000.0))
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
        world.core.onMachinesRented(new MachinePool("quad", "east", true), ids.subList(0, 1500), at(0), at(0));
        world.core.onMachinesReturned(ids.subList(0, 500), at(100));
        world.core.onMachinesRented(new MachinePool("quad", "east", true), ids.subList(1500, 2000), at(100), at(100));
        for (double requestedAt : new double[] {101, 102, 103}) {
            world.core.onMachineListing(
                    ids.subList(0, 1500).stream()
                            .map(id -> new ListedMachine(
                                    id,
                                    new MachinePool("quad", "east", true),
                                    ListedMachine.Status.RUNNING,
                                    Span.seconds(99)))
                            .toList(),
                    at(requestedAt),
                    at(requestedAt + 0.1));
        }
        assertEquals(1500, world.core.machineCount());
        assertTrue(ids.subList(500, 2000).stream().allMatch(world.core::isKnownMachine));
        world.core.onMachineListing(List.of(), at(108), at(108));
        world.core.onMachineListing(List.of(), at(109), at(109));
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
        world.core.inheritMachine(new MachineId("o"), new MachinePool("quad", "east", false), at(-100), at(0), at(0));
        inheritMachine("a");
        inheritMachine("b");
        world.inherited(SimulatedWorld.service(1, 2), 2);
        world.inherited(spec(2, 9, 1, 50), 0).startBoundRecorded(9);
        world.core.onRecordsLoaded();
        assertEquals(List.of(), starts(world.hearOrdinary("o", 1)), "the replicas can run only on this machine");
        assertEquals(4, starts(world.hear("a", 1)).size(), "the replicas may not run on this machine");
        world.hear("b", 2);
        assertEquals(
                List.of("run-1/0", "run-1/1"),
                starts(world.hearOrdinary("o", 3)).subList(0, 2));
    }
}
