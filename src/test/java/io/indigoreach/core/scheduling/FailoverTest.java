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

/** What a leader may believe and order, and when: each case is a way in which a task could come to run twice. */
class FailoverTest {
    private final SchedulerFixture w = new SchedulerFixture();

    private void inheritMachine(String name) {
        w.core.inheritMachine(
                new MachineId(name),
                new MachinePool("quad", "east", true),
                atSeconds(-100),
                atSeconds(0),
                atSeconds(0));
    }

    @Test
    void nothingInheritedStartsBeforeEveryRecordedMachineHasReported() {
        inheritMachine("a");
        inheritMachine("b");
        w.addInheritedJob(spec(1, 2, 1, 50));
        w.core.recordsLoaded();
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 1)), "b may hold both tasks");
        assertEquals(
                List.of(),
                tasksToStart(w.core.onHeartbeat(w.newHeartbeat("b", "east", 1, new FencingToken(4)), atSeconds(2))
                        .commands()),
                "a list from before the token was seen can be overtaken by a late order of the old leader");
        assertEquals(List.of("run-1/1"), tasksToStart(w.heartbeat("b", 3, statusOfUnknownTask("run-1/0", 7))));
    }

    @Test
    void aSilentMachineHoldsTasksUntilItsLeaseHasSurelyRunOut() {
        inheritMachine("a");
        inheritMachine("b");
        w.addInheritedJob(spec(1, 1, 1, 50));
        w.core.recordsLoaded();
        w.heartbeat("a", 1);
        w.core.expireLeases(atSeconds(12.1));
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 12.1)));
        w.core.expireLeases(atSeconds(12.5));
        assertEquals(List.of("run-1/0"), tasksToStart(w.heartbeat("a", 12.6)));
    }

    /** Its record could not be read until now: what it has on machines was reported as a stranger's. */
    @ParameterizedTest
    @CsvSource({"true, run-1/1", "false, run-1/0"})
    void aJobThatIsReadAfterTheTakeOverWaitsForStrangersToGo(boolean stays, String first) {
        inheritMachine("a");
        inheritMachine("b");
        w.core.recordsLoaded();
        w.heartbeat("a", 1);
        assertEquals(
                1,
                tasksToStop(w.heartbeat("b", 1, statusOfUnknownTask("run-1/0", 7)))
                        .size());
        w.addInheritedJob(spec(1, 2, 1, 50));
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 2)), "b has one of its tasks");
        List<WorkerCommand> orders =
                stays ? w.heartbeat("b", 3, statusOfUnknownTask("run-1/0", 7)) : w.heartbeat("b", 3);
        assertEquals(first, tasksToStart(orders).get(0));
        w.addInheritedJob(spec(2, 1, 1, 50));
        assertEquals(List.of("run-2/0"), tasksToStart(w.heartbeat("a", 4)), "no report shows a stranger");
    }

    @Test
    void aJobAcceptedAfterTheTakeOverNeedNotWait() {
        inheritMachine("a");
        inheritMachine("b");
        w.core.recordsLoaded();
        w.submit(spec(1, 1, 1, 50), 1);
        assertEquals(List.of("run-1/0"), tasksToStart(w.heartbeat("a", 2)));
    }

    @Test
    void underALimitEvenNewJobsWaitForTheWholePicture() {
        SchedulerFixture limited = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(4));
        limited.core.inheritMachine(
                new MachineId("a"), new MachinePool("quad", "east", true), atSeconds(-100), atSeconds(0), atSeconds(0));
        limited.core.inheritMachine(
                new MachineId("b"), new MachinePool("quad", "east", true), atSeconds(-100), atSeconds(0), atSeconds(0));
        limited.core.recordsLoaded();
        limited.submit(spec(1, 1, 1, 50), 1);
        assertEquals(List.of(), tasksToStart(limited.heartbeat("a", 2)));
    }

    /** Tasks of a job that was cancelled before the take-over still use their team's limit until they are gone. */
    @Test
    void underALimitNothingStartsBesideTasksOfUnknownJobs() {
        SchedulerFixture limited = new SchedulerFixture(SchedulerFixture.teamWithCoreLimit(4));
        limited.core.recordsLoaded();
        limited.addSpotMachine("a", "east", 0);
        limited.submit(spec(1, 1, 1, 50), 1);
        assertEquals(List.of(), tasksToStart(limited.heartbeat("a", 2, statusOfUnknownTask("run-9/0", 7))));
        assertEquals(List.of("run-1/0"), tasksToStart(limited.heartbeat("a", 3)));
    }

    @Test
    void noOrdersBeforeTheRecordsAreRead() {
        inheritMachine("a");
        w.submit(spec(1, 1, 1, 50), 0);
        assertEquals(List.of(), w.heartbeat("a", 1));
    }

    @Test
    void aMachineThatIsNotRecordedGetsNoTasks() {
        w.core.recordsLoaded();
        w.submit(spec(1, 1, 1, 50), 0);
        w.core.rented(new MachinePool("quad", "east", true), List.of(new MachineId("x")), atSeconds(0), atSeconds(0));
        assertEquals(List.of(), tasksToStart(w.heartbeat("x", 1)), "a later leader would not wait for its report");
        w.core.recorded(new MachineId("x"));
        assertEquals(List.of("run-1/0"), tasksToStart(w.heartbeat("x", 2)));
    }

    /** Two machines that never came up held a whole queue back for 24 s (incident inc-e504): they need no record. */
    @Test
    void onlyAMachineThatHasReportedIsToBeRecorded() {
        w.core.recordsLoaded();
        w.core.rented(
                new MachinePool("quad", "east", true),
                List.of(new MachineId("a"), new MachineId("b")),
                atSeconds(0),
                atSeconds(0));
        w.submit(spec(1, 1, 1, 50), 0);
        assertEquals(Optional.empty(), w.core.unrecorded(new MachineId("a")));
        Heartbeat first = w.newHeartbeat("a", "east", 1, SchedulerFixture.TOKEN);
        assertEquals(
                List.of(), tasksToStart(w.core.onHeartbeat(first, atSeconds(20)).commands()));
        assertTrue(w.core.unrecorded(new MachineId("a")).isPresent());
        assertEquals(Optional.empty(), w.core.unrecorded(new MachineId("b")));
        w.core.recorded(new MachineId("a"));
        assertEquals(
                List.of("run-1/0"), tasksToStart(w.core.startTasks(new MachineId("a"), first.number(), atSeconds(20))));
    }

    @Test
    void aRecordThatCameTooLateGivesNoOrdersToAnOldReport() {
        w.core.recordsLoaded();
        w.submit(spec(1, 1, 1, 50), 0);
        Heartbeat first = w.newHeartbeat("a", "east", 1, SchedulerFixture.TOKEN);
        w.core.onHeartbeat(first, atSeconds(20));
        w.heartbeat("a", 22);
        w.core.recorded(new MachineId("a"));
        assertEquals(List.of(), w.core.startTasks(new MachineId("a"), first.number(), atSeconds(23)));
    }

    @Test
    void aStartWhoseAnswerWasLostIsGivenAgainOnlyAfterANewerReport() {
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.addSpotMachine("b", "east", 0);
        w.submit(spec(1, 1, 4, 50), 0);
        Heartbeat stale = w.newHeartbeat("a", "east", 1, SchedulerFixture.TOKEN);
        List<WorkerCommand> first = w.heartbeat("a", 1);
        assertEquals(List.of("run-1/0"), tasksToStart(first));
        assertEquals(List.of(), w.core.onHeartbeat(stale, atSeconds(1.5)).commands(), "an older report shows nothing");
        assertEquals(List.of(), tasksToStart(w.heartbeat("b", 2)));
        List<WorkerCommand> second = w.heartbeat("a", 3);
        assertEquals(List.of("run-1/0"), tasksToStart(second));
        assertTrue(second.get(0).attempt().value() != first.get(0).attempt().value(), "an attempt is used once");
    }

    @Test
    void aNewSessionHasNoneOfTheOldTasks() {
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.addSpotMachine("b", "east", 0);
        w.submit(spec(1, 1, 4, 50), 0);
        WorkerCommand start = w.heartbeat("a", 1).get(0);
        w.heartbeat("a", 2, runningStatus(start));
        assertEquals(
                List.of("run-1/0"),
                tasksToStart(w.core.onHeartbeat(w.newHeartbeat("a", "east", 2, SchedulerFixture.TOKEN), atSeconds(9))
                        .commands()));
    }

    @Test
    void aNewerLeadersTokenEndsThisLeadership() {
        w.core.recordsLoaded();
        assertEquals(
                new HeartbeatResult.Superseded(),
                w.core.onHeartbeat(w.newHeartbeat("a", "east", 1, new FencingToken(6)), atSeconds(1)));
    }

    @Test
    void aResultIsForgottenByTheWorkerOnlyOnceRecorded() {
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        Job job = w.submit(spec(1, 2, 1, 50), 0);
        List<WorkerCommand> orders = w.heartbeat("a", 1);
        List<WorkerCommand> before =
                w.heartbeat("a", 2, exitedStatus(orders.get(0), ExitCause.DONE), runningStatus(orders.get(1)));
        assertEquals(List.of(), before);
        assertEquals(List.of(job), w.progressedJobs);
        job.completionsRecorded(job.completedTasks());
        assertTrue(
                w.heartbeat("a", 3, exitedStatus(orders.get(0), ExitCause.DONE), runningStatus(orders.get(1)))
                                .get(0)
                        instanceof WorkerCommand.Reap);
    }

    @Test
    void aTaskReportedFromTwoMachinesIsStoppedOnTheSecond() {
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.addSpotMachine("b", "east", 0);
        w.submit(spec(1, 1, 4, 50), 0);
        WorkerCommand start = w.heartbeat("a", 1).get(0);
        w.heartbeat("a", 2, runningStatus(start));
        assertEquals(List.of("run-1/0"), tasksToStop(w.heartbeat("b", 3, statusOfUnknownTask("run-1/0", 9))));
    }

    @Test
    void tasksOfACancelledJobAreStoppedAndCountUntilTheyAreGone() {
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        Job job = w.submit(spec(1, 1, 4, 50), 0);
        WorkerCommand start = w.heartbeat("a", 1).get(0);
        w.heartbeat("a", 2, runningStatus(start));
        w.core.cancelJob(job.id());
        w.submit(spec(2, 1, 4, 50), 2);
        List<WorkerCommand> orders = w.heartbeat("a", 3, runningStatus(start));
        assertEquals(List.of("run-1/0"), tasksToStop(orders));
        assertEquals(List.of(), tasksToStart(orders));
        assertEquals(List.of("run-2/0"), tasksToStart(w.heartbeat("a", 4, exitedStatus(start, ExitCause.STOPPED))));
    }

    @Test
    void absenceFromListsShowsAMachineGoneOnlyBeyondTheirLag() {
        inheritMachine("a");
        inheritMachine("b");
        w.addInheritedJob(spec(1, 1, 1, 50));
        w.core.recordsLoaded();
        w.heartbeat("a", 1);
        List<ListedMachine> list = List.of(new ListedMachine(
                new MachineId("a"),
                new MachinePool("quad", "east", true),
                ListedMachine.Status.RUNNING,
                Span.seconds(100)));
        w.core.onMachineListing(list, atSeconds(2), atSeconds(2));
        w.core.onMachineListing(list, atSeconds(6), atSeconds(6));
        assertEquals(
                List.of(), tasksToStart(w.heartbeat("a", 6.5)), "these lists may describe a time before b was rented");
        w.core.onMachineListing(list, atSeconds(7.5), atSeconds(7.5));
        w.core.onMachineListing(list, atSeconds(9), atSeconds(9));
        assertEquals(List.of("run-1/0"), tasksToStart(w.heartbeat("a", 9.5)));
    }

    /** A leader that only the workers cannot reach keeps its lease: it has to notice by itself, and hand over. */
    @Test
    void aLeaderThatHearsNoneOfSeveralMachinesIsDeaf() {
        w.core.recordsLoaded();
        for (String name : List.of("a", "b", "c")) {
            w.addSpotMachine(name, "east", 0);
            w.heartbeat(name, 20);
        }
        assertEquals(false, w.core.isCutOffFromWorkers(atSeconds(24)));
        assertEquals(
                true,
                w.core.isCutOffFromWorkers(atSeconds(25)),
                "as soon as one would be called silent: workers' leases run meanwhile");
        w.heartbeat("b", 24.5);
        assertEquals(false, w.core.isCutOffFromWorkers(atSeconds(25)));
    }

    /** A new leader gave up before workers that were with one that stood still could have come to it. */
    @ParameterizedTest
    @CsvSource({"6.4, false", "6.6, true"})
    void aNewLeaderIsDeafOnlyWhenMachinesCouldHaveFoundIt(double seconds, boolean deaf) {
        for (String name : List.of("a", "b", "c")) {
            w.core.inheritMachine(
                    new MachineId(name),
                    new MachinePool("quad", "east", true),
                    atSeconds(-90),
                    atSeconds(-90),
                    atSeconds(0));
        }
        w.core.recordsLoaded();
        assertEquals(deaf, w.core.isCutOffFromWorkers(atSeconds(seconds)));
    }

    @Test
    void aReturnedMachineIsNotTakenOnAgainFromALateReportOrList() {
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        w.heartbeat("a", 1);
        w.core.returned(List.of(new MachineId("a")), atSeconds(2));
        w.heartbeat("a", 3);
        w.core.onMachineListing(
                List.of(new ListedMachine(
                        new MachineId("a"),
                        new MachinePool("quad", "east", true),
                        ListedMachine.Status.RUNNING,
                        Span.seconds(3))),
                atSeconds(3),
                atSeconds(3));
        assertEquals(0, w.core.machineCount());
    }

    /** Of a job of four an earlier leader may have ordered the first two: the rest is on no machine, heard or not. */
    @ParameterizedTest
    @CsvSource({
        "2, false, run-1/2 run-1/3",
        "0, false, run-1/0 run-1/1 run-1/2 run-1/3",
        "4, false, ''",
        "2, true, ''",
        "0, true, run-1/0 run-1/1 run-1/2 run-1/3"
    })
    void whatNobodyOrderedIsStartedBeforeAllMachinesAreHeard(int bound, boolean oneZone, String started) {
        inheritMachine("a");
        inheritMachine("b");
        Job job = w.addInheritedJob(
                SchedulerFixture.withOptions(spec(1, 4, 1, 50), Urgency.STANDARD, oneZone, false, true, null, 0),
                bound);
        w.core.recordsLoaded();
        job.startBoundRecorded(4);
        assertEquals(started, String.join(" ", tasksToStart(w.heartbeat("a", 1))), "b may hold those below the bound");
        w.heartbeat("b", 2);
        assertEquals(4, tasksToStart(w.heartbeat("b", 3)).size() + (started.isEmpty() ? 0 : started.split(" ").length));
    }

    /** A start goes out only under a bound that is recorded; what was asked for and not answered does not count. */
    @Test
    void nothingIsOrderedBeyondTheRecordedBound() {
        w.core.recordsLoaded();
        w.addSpotMachine("a", "east", 0);
        Job job = new Job(spec(1, 9, 1, 50), 1, atSeconds(0), new Revision(1), new java.util.BitSet(), 0, false);
        w.core.addJob(job);
        assertEquals(List.of(job), w.core.startBoundsToRaise(atSeconds(1)));
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 1)));
        int asked = job.startBoundToWrite();
        assertEquals(List.of(), tasksToStart(w.heartbeat("a", 2)), "its write has no answer yet");
        job.startBoundRecorded(asked);
        assertEquals(4, tasksToStart(w.heartbeat("a", 3)).size());
        assertEquals(8, asked, "what the machine takes now, and once more");
    }

    /** 2,000 machines, half of them behind a cut that ends during the take-over: half the untouched work starts at once. */
    @Test
    void halfAFleetBehindACutDoesNotHoldUpTheOther() {
        for (int i = 0; i < 2000; i++) {
            w.core.inheritMachine(
                    new MachineId("m" + i),
                    new MachinePool("quad", i % 2 == 0 ? "east" : "west", true),
                    atSeconds(-100),
                    atSeconds(-90),
                    atSeconds(0));
        }
        w.addInheritedJob(spec(1, 4000, 1, 50), 4000);
        w.addInheritedJob(spec(2, 4000, 1, 50), 0).startBoundRecorded(4000);
        w.core.recordsLoaded();
        int starts = 0;
        for (int i = 0; i < 2000; i += 2) {
            starts += tasksToStart(w.heartbeat("m" + i, 1 + i / 2000.0)).size();
        }
        assertEquals(4000, starts, "of the job that nobody had begun");
        w.core.planScaleIn(atSeconds(9));
        assertEquals(0, w.core.machinesToReturn(9).size());
        for (int i = 1; i < 2000; i += 2) {
            starts += tasksToStart(w.core.onHeartbeat(
                                    w.newHeartbeat("m" + i, "west", 1, SchedulerFixture.TOKEN),
                                    atSeconds(10 + i / 2000.0))
                            .commands())
                    .size();
        }
        assertEquals(4004, starts, "the last report settles the take-over, and what it asked for can be started");
    }

    /**
     * Of 2,000 machines 500 are returned and 500 rented in the last seconds; then comes a list from before either, as the
     * protocol allows: nobody is declared gone for it, and nobody is taken on again.
     */
    @Test
    void aListOlderThanTheOneBeforeChangesNothing() {
        w.core.recordsLoaded();
        List<MachineId> ids = IntStream.range(0, 2000)
                .mapToObj(i -> new MachineId("m" + (10_000 + i)))
                .toList();
        w.core.rented(new MachinePool("quad", "east", true), ids.subList(0, 1500), atSeconds(0), atSeconds(0));
        w.core.returned(ids.subList(0, 500), atSeconds(100));
        w.core.rented(new MachinePool("quad", "east", true), ids.subList(1500, 2000), atSeconds(100), atSeconds(100));
        for (double asked : new double[] {101, 102, 103}) {
            w.core.onMachineListing(
                    ids.subList(0, 1500).stream()
                            .map(id -> new ListedMachine(
                                    id,
                                    new MachinePool("quad", "east", true),
                                    ListedMachine.Status.RUNNING,
                                    Span.seconds(99)))
                            .toList(),
                    atSeconds(asked),
                    atSeconds(asked + 0.1));
        }
        assertEquals(1500, w.core.machineCount());
        assertTrue(ids.subList(500, 2000).stream().allMatch(w.core::knows));
        w.core.onMachineListing(List.of(), atSeconds(108), atSeconds(108));
        w.core.onMachineListing(List.of(), atSeconds(109), atSeconds(109));
        assertEquals(0, w.core.machineCount(), "absence of more than twice the lag, twice, is proof");
    }

    /** The water kiosks' replicas were down longer: what nobody had ordered took their places before all was known. */
    @Test
    void untouchedWorkLeavesRoomForReplicasThatMayBeNowhere() {
        w.core.inheritMachine(
                new MachineId("o"),
                new MachinePool("quad", "east", false),
                atSeconds(-100),
                atSeconds(0),
                atSeconds(0));
        inheritMachine("a");
        inheritMachine("b");
        w.addInheritedJob(SchedulerFixture.service(1, 2), 2);
        w.addInheritedJob(spec(2, 9, 1, 50), 0).startBoundRecorded(9);
        w.core.recordsLoaded();
        assertEquals(List.of(), tasksToStart(w.heartbeatOnDemand("o", 1)), "the replicas may go nowhere else");
        assertEquals(4, tasksToStart(w.heartbeat("a", 1)).size(), "here they may not run");
        w.heartbeat("b", 2);
        assertEquals(
                List.of("run-1/0", "run-1/1"),
                tasksToStart(w.heartbeatOnDemand("o", 3)).subList(0, 2));
    }
}
