package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.SAFETY_TIMES;
import static io.indigoreach.core.scheduling.SchedulerFixture.TOKEN;
import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.exitedStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.runningStatus;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static io.indigoreach.core.scheduling.SchedulerFixture.tasksToStart;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A partition in one direction, where heartbeats arrive but answers do not, is confirmed within a few heartbeats.
 * Single lost answers and other faults never confirm it.
 */
class AsymmetricPartitionDetectorTest {
    private static final FencingToken OLDER_TOKEN = new FencingToken(4);

    /**
     * Each row has the evidence in the heartbeats, the seconds between heartbeats, the number of starts that are sent
     * in vain, and the time at which the partition is confirmed and the machine's return is planned.
     */
    @ParameterizedTest
    @CsvSource({
        "ignores starts, 2, 12, 6",
        "ignores starts, 5.5, 12, 16.5",
        "keeps reaped task, 2, 0, 6",
        "runs stopped task, 2, 0, 6",
        "keeps older token, 2, 0, 12",
        "keeps older token, 5.5, 0, 33",
        "new incarnation in each heartbeat, 15, 12, 45"
    })
    void partitionIsConfirmedWithinAFewHeartbeats(
            String evidence, double periodS, int expectedStarts, double expectedReturnS) {
        SchedulerFixture world = new SchedulerFixture();
        world.addSpotMachine("a", "east", 0);
        world.core.onRecordsLoaded();
        world.submit(spec(1, 4, 1, 500), 0);
        WorkerCommand foreign = new WorkerCommand.Start(TaskId.parse("run-9/0"), TOKEN.newAttempt(9));
        int starts = 0;
        double returnPlannedAt = -1;
        for (int round = 0; returnPlannedAt < 0 && round < 150; round++) {
            double now = round * periodS;
            TaskStatus[] tasks = evidence.equals("keeps reaped task")
                    ? new TaskStatus[] {exitedStatus(foreign, ExitCause.DONE)}
                    : evidence.equals("runs stopped task")
                            ? new TaskStatus[] {runningStatus(foreign)}
                            : new TaskStatus[0];
            boolean hasForeignTask = tasks.length > 0;
            if (hasForeignTask && round == 0) {
                world.core.cancelJob(new JobId("run-1"));
            }
            world.core.expireLeases(atSeconds(now));
            starts += tasksToStart(world.core
                            .onHeartbeat(
                                    world.newHeartbeat(
                                            "a",
                                            "east",
                                            evidence.equals("new incarnation in each heartbeat") ? 1 + round : 1,
                                            evidence.equals("keeps older token") ? OLDER_TOKEN : TOKEN,
                                            tasks),
                                    atSeconds(now))
                            .commands())
                    .size();
            world.core.planScaleIn(atSeconds(now));
            returnPlannedAt = world.core.machinesToReturn(9).isEmpty() ? -1 : now;
        }
        assertEquals(expectedReturnS, returnPlannedAt, 0.01);
        assertEquals(expectedStarts, starts);
        assertEquals(0, world.core.job(new JobId("run-1")) == null ? 0 : world.core.job(new JobId("run-1")).failures);
    }

    /**
     * Some of the zone's eight machines receive no answers. If they are more than a quarter, the network is presumed to
     * be at fault and they are kept for as long as replacing them would take.
     */
    @ParameterizedTest
    @CsvSource({"1, 8, 1", "2, 8, 2", "3, 8, 0", "8, 8, 0", "8, 90, 0", "8, 94, 8"})
    void aPartitionedZoneIsAttributedToTheNetwork(int partitioned, double seconds, int returned) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        List<TaskStatus[]> tasks = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            world.addSpotMachine("m" + i, "east", 0);
            tasks.add(new TaskStatus[0]);
        }
        world.submit(spec(1, 400, 1, 500), 0);
        int startsAfterConfirmation = 0;
        for (double now = 0; now <= seconds; now += 2) {
            for (int i = 0; i < 8; i++) {
                long incarnation = i < partitioned ? 1 + (long) now / 13 : 1;
                List<WorkerCommand> commands = world.core
                        .onHeartbeat(
                                world.newHeartbeat("m" + i, "east", incarnation, TOKEN, tasks.get(i)), atSeconds(now))
                        .commands();
                if (i >= partitioned && tasks.get(i).length == 0) {
                    tasks.set(i, runningStatus(commands));
                } else if (i < partitioned && now > 6) {
                    startsAfterConfirmation += tasksToStart(commands).size();
                }
            }
            world.core.planScaleIn(atSeconds(now));
        }
        assertEquals(returned, world.core.machinesToReturn(9).size());
        assertEquals(0, startsAfterConfirmation, "no start once the partition is confirmed");
    }

    /** Faults that must not be mistaken for a partition. Each one recurs for three minutes. */
    @ParameterizedTest
    @CsvSource({
        "every third answer is lost",
        "two answers in a row of three are lost",
        "every start is refused",
        "two heartbeats with the older token",
        "recording the machine takes a minute",
        "machine hangs beyond its lease",
        "leader is paused"
    })
    void otherFaultsAreNotMistakenForAPartition(String fault) {
        SchedulerFixture world = new SchedulerFixture();
        world.core.inheritMachine(
                new MachineId("a"), new MachinePool("quad", "east", true), atSeconds(0), atSeconds(0), atSeconds(0));
        if (fault.equals("recording the machine takes a minute")) {
            world = new SchedulerFixture();
            world.core.onMachinesRented(
                    new MachinePool("quad", "east", true), List.of(new MachineId("a")), atSeconds(0), atSeconds(0));
        }
        world.core.onRecordsLoaded();
        long incarnation = 1;
        int round = 0;
        List<TaskStatus> tasks = new ArrayList<>();
        for (double now = 1; now < 180; now += 2, round++) {
            world.submit(spec(round + 1, 1, 0.25, 500), now);
            if (fault.equals("machine hangs beyond its lease") && round % 6 == 5) {
                now += 14;
                world.core.expireLeases(atSeconds(now));
                tasks.clear();
                incarnation++;
            }
            if (fault.equals("leader is paused")) {
                world.core.setEventLoopRunningSince(atSeconds(now - 0.1));
            }
            FencingToken token = fault.equals("two heartbeats with the older token") && round < 2 ? OLDER_TOKEN : TOKEN;
            List<WorkerCommand> commands = world.core
                    .onHeartbeat(
                            world.newHeartbeat("a", "east", incarnation, token, tasks.toArray(new TaskStatus[0])),
                            atSeconds(now))
                    .commands();
            if (fault.equals("recording the machine takes a minute") && now > 60) {
                world.core.onMachineRecorded(new MachineId("a"));
            }
            boolean lost = switch (fault) {
                case "every third answer is lost" -> round % 3 == 0;
                case "two answers in a row of three are lost" -> round % 3 != 2;
                case "recording the machine takes a minute" -> now < 60;
                case "leader is paused" -> true;
                default -> false;
            };
            if (!lost) {
                boolean refused = fault.equals("every start is refused");
                for (WorkerCommand command : commands) {
                    tasks.removeIf(status -> status.attempt().equals(command.attempt()));
                    if (command instanceof WorkerCommand.Start) {
                        tasks.add(refused ? exitedStatus(command, ExitCause.FULL) : runningStatus(command));
                    }
                }
            }
            world.core.planScaleIn(atSeconds(now));
            assertEquals(List.of(), world.core.machinesToReturn(9), "at " + now);
        }
    }

    /**
     * The machine runs two tasks and misses the start of a third one, so it is returned. Its tasks start elsewhere once
     * the cloud confirms the return, or once its lease expires if the cloud does not answer.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void tasksStayPlacedUntilReturnIsConfirmedOrLeaseExpires(boolean returnConfirmed) {
        SchedulerFixture world = new SchedulerFixture();
        world.addSpotMachine("a", "east", 0);
        world.core.onRecordsLoaded();
        Job job = world.submit(spec(1, 2, 1, 500), 0);
        TaskStatus[] tasks = runningStatus(world.heartbeat("a", 0));
        world.heartbeat("a", 2, tasks);
        world.submit(spec(2, 1, 1, 500), 0);
        double releasedAt = -1;
        for (double now = 4; releasedAt < 0 && now < 60; now += 0.1) {
            if (Math.abs(now % 2) < 0.05 || Math.abs(now % 2) > 1.95) {
                world.heartbeat("a", now, tasks);
                world.core.planScaleIn(atSeconds(now));
            }
            boolean returning = !world.core.machinesToReturn(9).isEmpty();
            assertEquals(
                    !returning,
                    world.core.mayAnswer(new MachineId("a")),
                    "no answer may renew its lease once it is being returned");
            if (returning && returnConfirmed) {
                world.core.onMachinesReturned(world.core.machinesToReturn(9), atSeconds(now));
            }
            world.core.expireLeases(atSeconds(now));
            if (returning && job.placements().isEmpty()) {
                releasedAt = now;
            }
        }
        assertEquals(returnConfirmed ? 10 : 10 + SAFETY_TIMES.leaseBound().seconds(), releasedAt, 0.15);
        assertEquals(0, job.failures, "its job is not at fault");
        world.core.onHeartbeat(world.newHeartbeat("a", "east", 2, TOKEN), atSeconds(releasedAt + 20));
        assertEquals(
                returnConfirmed,
                world.core.mayAnswer(new MachineId("a")),
                "no answer either while the cloud has not confirmed the return");
    }

    /**
     * Machines that were partitioned together with most of their zone are not returned. They get tasks again once their
     * incarnation outlives a lease, which shows that answers arrive.
     */
    @Test
    void machineIsUsedAgainOnceAnswersArrive() {
        SchedulerFixture world = new SchedulerFixture();
        world.core.onRecordsLoaded();
        for (int i = 0; i < 4; i++) {
            world.addSpotMachine("m" + i, "east", 0);
        }
        world.submit(spec(1, 16, 1, 500), 0);
        int startsBefore = 0;
        double usedAgainAt = -1;
        for (double now = 0; usedAgainAt < 0 && now < 60; now += 2) {
            for (int i = 0; i < 4; i++) {
                // The incarnations show that answers are lost until 20 s; the one that begins at 24 s continues.
                boolean hasStart = !tasksToStart(world.core
                                .onHeartbeat(
                                        world.newHeartbeat("m" + i, "east", now < 12 ? 1 : now < 24 ? 2 : 3, TOKEN),
                                        atSeconds(now))
                                .commands())
                        .isEmpty();
                startsBefore += hasStart && now < 20 ? 1 : 0;
                usedAgainAt = hasStart && now > 20 ? now : usedAgainAt;
            }
            world.core.planScaleIn(atSeconds(now));
            assertTrue(world.core.machinesToReturn(9).isEmpty());
        }
        assertEquals(12, startsBefore, "three answers with a start for each machine");
        assertEquals(38, usedAgainAt, "a lease after the last incarnation began");
        assertFalse(world.logLines.isEmpty(), "the change is logged");
    }
}
