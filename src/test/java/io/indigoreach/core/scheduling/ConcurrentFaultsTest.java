package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.SAFETY_TIMES;
import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static io.indigoreach.core.scheduling.SchedulerFixture.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two faults at once: a change of leader, or a machine that resumes, combined with messages that are late or lost, or
 * with state that is not recorded yet.
 */
class ConcurrentFaultsTest {
    private final SimulatedCluster cluster = new SimulatedCluster();

    /**
     * The first task ends long before the others, and the leader ends before the result was reported, recorded or
     * reaped. In some rows the next leader ends at once as well. The machine that ran the task is reachable, or is lost
     * with its unreported result.
     */
    @ParameterizedTest
    @CsvSource({
        "2, 1, running, 1, true",
        "2, 1, ended, 1, true",
        "2, 1, reported, 1, true",
        "2, 1, recorded, 1, true",
        "2, 1, reaped, 1, true",
        "2, 4, ended, 1, true",
        "2, 4, reported, 1, true",
        "2, 4, recorded, 1, true",
        "2, 4, reaped, 1, true",
        "3, 4, reported, 2, true",
        "3, 4, recorded, 2, true",
        "3, 4, reaped, 2, true",
        "3, 1, reported, 2, true",
        "3, 1, reaped, 2, true",
        "2, 4, ended, 1, false",
        "2, 4, reported, 1, false",
        "2, 4, recorded, 1, false",
        "2, 4, reaped, 1, false",
        "3, 4, reported, 2, false",
        "3, 4, reaped, 2, false"
    })
    void resultsSurviveLeaderChanges(int tasks, double cores, String progress, int leaderChanges, boolean reached) {
        for (String name : List.of("a", "b", "c", "d")) {
            cluster.worker(name, 0);
        }
        cluster.startLeaderWithRecords(0);
        cluster.submit(spec(1, tasks, cores, 50), 1);
        cluster.sendAllHeartbeats(1.5);
        cluster.sendAllHeartbeats(2.5);
        cluster.sendAllHeartbeats(4);
        TaskId first = TaskId.parse("run-1/0");
        SimulatedCluster.Worker worker = cluster.workerRunning(first);
        if (!progress.equals("running")) {
            worker.exit(first, ExitCause.DONE);
        }
        if (progress.equals("reported") || progress.equals("recorded") || progress.equals("reaped")) {
            cluster.sendHeartbeat(worker.name, 5);
        }
        if (progress.equals("recorded") || progress.equals("reaped")) {
            cluster.recordResults();
        }
        if (progress.equals("reaped")) {
            cluster.sendHeartbeat(worker.name, 6);
            assertFalse(worker.tasks.containsKey(first));
        }
        for (int i = 0; i < leaderChanges; i++) {
            cluster.startLeaderWithRecords(8 + i);
            cluster.sendHeartbeat("d", 8.5 + i);
        }
        double restartedAt = -1;
        for (double now = 10; now < 90; now += 2) {
            if (progress.equals("running") && now == 30) {
                worker.exit(first, ExitCause.DONE);
            }
            for (int i = 1; i < tasks; i++) {
                TaskId other = TaskId.parse("run-1/" + i);
                if (now == 50 + 10 * i && cluster.workerRunning(other) != null) {
                    cluster.workerRunning(other).exit(other, ExitCause.DONE);
                }
            }
            boolean isWorkerUnreachable = !reached && now < 40;
            for (SimulatedCluster.Worker box : cluster.workers()) {
                if (!isWorkerUnreachable || box != worker) {
                    cluster.sendHeartbeat(box.name, now);
                }
            }
            restartedAt = restartedAt < 0 && cluster.startCount(first) > 1 ? now : restartedAt;
            cluster.core.expireLeases(atSeconds(now));
            cluster.recordResults();
            assertEquals(
                    cluster.completed(new JobId("run-1")) == tasks, cluster.isClosed(new JobId("run-1")), "at " + now);
        }
        boolean lost = !reached && (progress.equals("ended") || progress.equals("reported"));
        assertEquals(
                lost ? 2 : 1,
                cluster.startCount(first),
                "a task runs again only if its result was not recorded and its machine is lost");
        assertTrue(
                !lost
                        || restartedAt
                                >= 7 + leaderChanges + SAFETY_TIMES.leaseBound().seconds(),
                "started again at " + restartedAt);
        assertTrue(cluster.isClosed(new JobId("run-1")));
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A leader ends while machines with a long task each are unreachable, or send heartbeats but receive no answers.
     * Another machine is idle. A task of an unreachable machine is restarted there at the expected time, and never
     * before its worker has killed the earlier copy.
     */
    @ParameterizedTest
    @CsvSource({
        "reachable, 1, 2, 1, -1",
        "unreachable, 1, 2, 1, 14",
        "answers lost, 1, 2, 1, 14",
        "answers lost, 1, 3.5, 1, 14",
        "answers lost, 1, 5.5, 1, 18",
        "answers lost, 6, 2, 1, 14",
        "unreachable, 6, 2, 1, 14",
        "answers lost, 1, 2, 2, 20",
        "answers lost, 6, 3.5, 2, 22",
        "unreachable, 6, 2, 2, 20"
    })
    void failoverWaitsForOneLeaseAtMost(
            String fault, int machines, double periodS, int leaderChanges, double expectedStartS) {
        for (int i = 0; i < machines; i++) {
            cluster.worker("m" + i, 0);
        }
        cluster.worker("n", 0);
        cluster.startLeaderWithRecords(-10);
        cluster.submit(spec(1, machines, 4, 50), -10);
        for (int i = 0; i < machines; i++) {
            cluster.joinLeader("m" + i, -4);
            assertEquals(1, cluster.worker("m" + i).tasks.size());
            cluster.worker("m" + i).losesAnswers = fault.equals("answers lost");
        }
        // No leader has started any task of this job.
        cluster.submit(spec(2, 1, 4, 50), -0.4);
        cluster.startLeaderWithRecords(0);
        double startedAt = -1;
        boolean hasSecondLeader = leaderChanges == 1;
        for (double now = 0.5; now < 60; now += 0.5) {
            if (!hasSecondLeader && now > 7) {
                cluster.startLeaderWithRecords(7);
                hasSecondLeader = true;
            }
            for (int i = 0; i < machines; i++) {
                if (now % periodS == 0 && !fault.equals("unreachable")) {
                    cluster.sendHeartbeat("m" + i, now);
                }
            }
            cluster.core.expireLeases(atSeconds(now));
            if (now % 2 == 0) {
                int before = cluster.startCountOfJob(new JobId("run-1"));
                cluster.sendHeartbeat("n", now);
                startedAt = startedAt < 0 && cluster.startCountOfJob(new JobId("run-1")) > before ? now : startedAt;
                TaskId other = TaskId.parse("run-2/0");
                if (cluster.workerRunning(other) != null) {
                    assertTrue(now <= 6, "a task that no leader has started may start at once");
                    cluster.workerRunning(other).exit(other, ExitCause.DONE);
                }
            }
        }
        assertEquals(expectedStartS, startedAt);
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * A new leader answers from 0 s on and has read the records at 6 s. The machine receives the answer to one
     * heartbeat or does not, and is unreachable afterwards. In some rows copies of earlier heartbeats arrive before 6
     * s.
     */
    @ParameterizedTest
    @CsvSource({
        "0.5, true, false, 14",
        "3, true, false, 16",
        "5.5, true, false, 18",
        "5.5, false, false, 18",
        "0.5, true, true, 14",
        "3, false, true, 16"
    })
    void answersDuringLoadingRenewLeases(
            double heartbeatAt, boolean answerReceived, boolean hasCopies, double expectedStartS) {
        cluster.worker("m", 0);
        cluster.worker("n", 0);
        cluster.startLeaderWithRecords(-10);
        cluster.submit(spec(1, 1, 4, 50), -10);
        cluster.joinLeader("m", -4);
        assertEquals(1, cluster.worker("m").tasks.size());
        cluster.startLeader(0);
        cluster.worker("m").losesAnswers = !answerReceived;
        Heartbeat earlier = cluster.worker("m").lastHeartbeat;
        cluster.sendHeartbeat("m", heartbeatAt);
        if (hasCopies) {
            cluster.core.onHeartbeat(earlier, atSeconds(5));
            cluster.core.onHeartbeat(cluster.worker("m").lastHeartbeat, atSeconds(5.5));
        }
        Heartbeat late = cluster.worker("m").nextHeartbeat();
        cluster.loadRecords();
        double startedAt = -1;
        for (double now = 6; startedAt < 0 && now < 40; now += 2) {
            cluster.core.expireLeases(atSeconds(now));
            cluster.sendHeartbeat("n", now);
            startedAt = cluster.startCountOfJob(new JobId("run-1")) > 1 ? now : startedAt;
        }
        assertEquals(expectedStartS, startedAt);
        cluster.core.onHeartbeat(late, atSeconds(40));
        assertEquals(1, cluster.core.job(new JobId("run-1")).placements().size());
        assertTrue(
                cluster.logLines.stream().noneMatch(line -> line.startsWith("duplicate task stopped")),
                "a heartbeat from before its lease expired");
        assertEquals(List.of(), cluster.violations);
    }

    /**
     * Each heartbeat arrives a second time after the given delay, while the machine runs another attempt, has begun
     * another incarnation or is silent, under the same leader or the next one. The copies must not change the run.
     */
    @ParameterizedTest
    @CsvSource({
        "runs, 2, false",
        "runs, 13, false",
        "runs, 30, false",
        "runs, 2, true",
        "runs, 13, true",
        "runs, 30, true",
        "new attempt, 2, false",
        "new attempt, 13, false",
        "new attempt, 30, true",
        "new incarnation, 2, false",
        "new incarnation, 13, false",
        "new incarnation, 2, true",
        "new incarnation, 30, true",
        "silent, 2, false",
        "silent, 13, false",
        "silent, 30, false"
    })
    void heartbeatCopiesChangeNothing(String scenario, double delay, boolean changesLeader) {
        List<String> expected = traceWithCopies(scenario, Double.MAX_VALUE, changesLeader);
        assertEquals(expected, traceWithCopies(scenario, delay, changesLeader));
        assertTrue(expected.stream().anyMatch(line -> line.contains("Start")), "nothing happened");
    }

    private static List<String> traceWithCopies(String scenario, double delay, boolean changesLeader) {
        SimulatedCluster cluster = new SimulatedCluster();
        cluster.worker("a", 0);
        cluster.worker("b", 0);
        cluster.startLeaderWithRecords(0);
        cluster.submit(spec(1, 3, 4, 50), 1);
        TaskId first = TaskId.parse("run-1/0");
        List<String> trace = new ArrayList<>();
        List<Heartbeat> sent = new ArrayList<>();
        List<Double> dueTimes = new ArrayList<>();
        for (double now = 2; now < 70; now += 1) {
            if (changesLeader && now == 21) {
                cluster.startLeaderWithRecords(now);
            }
            if (scenario.equals("new attempt") && now == 11 && cluster.workerRunning(first) != null) {
                cluster.workerRunning(first).exit(first, ExitCause.ERROR);
            }
            if (scenario.equals("new incarnation") && now == 11) {
                cluster.worker("a").newSession(now);
            }
            for (String name : List.of("a", "b")) {
                if (!(scenario.equals("silent") && name.equals("a") && now > 10)) {
                    trace.add(now + " " + name + " " + cluster.sendHeartbeat(name, now));
                    sent.add(cluster.worker(name).lastHeartbeat);
                    dueTimes.add(now + delay);
                }
            }
            for (int i = 0; i < sent.size(); i++) {
                // By then both machines have sent a heartbeat to the new leader.
                if (dueTimes.get(i) <= now && (now < 21 || now > 22)) {
                    cluster.core.onHeartbeat(sent.get(i), atSeconds(now + 0.5));
                    dueTimes.set(i, Double.MAX_VALUE);
                }
            }
            cluster.core.expireLeases(atSeconds(now + 0.6));
            trace.add(cluster.core.summary(atSeconds(now)) + " expired "
                    + cluster.core.isLeaseExpired(new MachineId("a")));
            cluster.recordResults();
        }
        assertEquals(List.of(), cluster.violations);
        return trace;
    }

    /**
     * A machine in no record and no rental is answered before the leader has read the records. Copies of its heartbeats
     * must not make the leader adopt it; its next heartbeat, which shows the answer, does.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "1, true", "2, true"})
    void copiesDoNotAdoptMachinesAnsweredDuringLoading(int answered, boolean isAlive) {
        SchedulerFixture world = new SchedulerFixture();
        List<Heartbeat> sent = new ArrayList<>();
        for (int i = 0; i < answered; i++) {
            sent.add(world.newHeartbeat("x", "east", 1, i == 0 ? new FencingToken(4) : SchedulerFixture.TOKEN));
            world.core.onHeartbeat(sent.get(i), atSeconds(i));
        }
        world.core.onRecordsLoaded();
        for (int i = 0; i < 2 * answered; i++) {
            world.core.onHeartbeat(sent.get(i % answered), atSeconds(10 + i));
        }
        assertEquals(0, world.core.machineCount());
        if (isAlive) {
            world.core.onHeartbeat(world.newHeartbeat("x", "east", 1, SchedulerFixture.TOKEN), atSeconds(15));
            assertEquals(1, world.core.machineCount(), "its next heartbeat shows the answer");
        }
    }

    /**
     * Copies of a dead machine's heartbeats, with increasing numbers and an older token, keep arriving at the next
     * leader. They delay its failover by one lease at most.
     */
    @ParameterizedTest
    @ValueSource(doubles = {1, 3, 7})
    void copiesDelayFailoverByOneLeaseAtMost(double periodS) {
        cluster.worker("a", 0);
        cluster.worker("n", 0);
        cluster.startLeaderWithRecords(-40);
        cluster.submit(spec(1, 1, 4, 50), -40);
        List<Heartbeat> copies = new ArrayList<>();
        for (double now = -30; now < 0; now++) {
            cluster.sendHeartbeat("a", now);
            copies.add(cluster.worker("a").lastHeartbeat);
        }
        cluster.startLeaderWithRecords(0);
        double completedAt = -1;
        for (double now = 0; completedAt < 0; now += periodS) {
            assertEquals(
                    List.of(),
                    cluster.core.onHeartbeat(copies.remove(0), atSeconds(now)).commands());
            cluster.core.expireLeases(atSeconds(now));
            cluster.sendHeartbeat("n", now);
            completedAt = cluster.core.isFailoverComplete() ? now : -1;
            assertEquals(completedAt >= 0, cluster.startCountOfJob(new JobId("run-1")) > 1);
        }
        assertTrue(
                completedAt > SAFETY_TIMES.leaseBound().seconds()
                        && completedAt <= SAFETY_TIMES.leaseBound().seconds() + periodS,
                "" + completedAt);
    }

    /**
     * A machine hangs while a heartbeat or an answer is in transit, and resumes before or after its lease expires; or a
     * start command arrives in a later incarnation or with an older leader's token; or a command is for an earlier
     * attempt. Each row ends with how often the task's start is sent.
     */
    @ParameterizedTest
    @CsvSource({
        "lease, 11.9, false, 1",
        "lease, 12.1, false, 2",
        "heartbeat, 3.9, false, 1",
        "heartbeat, 7, false, 1",
        "heartbeat, 12.2, false, 2",
        "answer, 3.9, false, 1",
        "answer, 4.1, false, 2",
        "token, 3.9, true, 1",
        "token, 4.1, true, 2",
        "incarnation, 3, false, 2",
        "attempt, 3, false, 2"
    })
    void delayedMessagesStartTasksOnce(String scenario, double delay, boolean changesLeader, int expectedStarts) {
        SimulatedCluster.Worker worker = cluster.worker("a", 0);
        cluster.worker("n", 0);
        cluster.startLeaderWithRecords(-10);
        cluster.submit(spec(1, 1, 4, 500), -10);
        TaskId task = TaskId.parse("run-1/0");
        boolean isStartInTransit =
                scenario.equals("answer") || scenario.equals("token") || scenario.equals("incarnation");
        if (isStartInTransit) {
            cluster.sendHeartbeat("a", -4);
            cluster.sendHeartbeat("a", -2);
        } else {
            cluster.joinLeader("a", -4);
        }
        assertEquals(isStartInTransit ? 0 : 1, worker.tasks.size());
        if (scenario.equals("attempt")) {
            // The task fails at once and is started again; the answer that stops or reaps the first attempt is late.
            worker.exit(task, ExitCause.ERROR);
        }
        Heartbeat heartbeat = worker.nextHeartbeat();
        SimulatedCluster.Answer answer =
                scenario.equals("heartbeat") || scenario.equals("lease") ? null : cluster.answerHeartbeat(heartbeat, 0);
        if (scenario.equals("lease")) {
            cluster.sendHeartbeat("a", 0);
        }
        boolean resumed = false;
        for (double now = 0.1; now < 40; now = Math.round(10 * now + 1) / 10.0) {
            if (changesLeader && now == 2) {
                cluster.startLeaderWithRecords(2);
            }
            if (scenario.equals("incarnation") && now == 1) {
                worker.newSession(now);
            }
            if (!resumed && now >= delay) {
                resumed = true;
                worker.expireLease(now);
                SimulatedCluster.Answer lateAnswer =
                        scenario.equals("heartbeat") ? cluster.answerHeartbeat(heartbeat, now) : answer;
                if (lateAnswer != null && delay <= SimulatedCluster.ANSWER_TIMEOUT_S) {
                    worker.receive(lateAnswer, 0, now);
                }
            } else if (resumed && Math.round(now * 10) % 20 == 0) {
                cluster.sendHeartbeat("a", now);
            }
            if (Math.round(now * 10) % 20 == 5) {
                cluster.sendHeartbeat("n", now);
            }
            cluster.core.expireLeases(atSeconds(now));
        }
        assertEquals(List.of(), cluster.violations);
        assertEquals(expectedStarts, cluster.startCommandCount(task));
        assertNotNull(cluster.workerRunning(task), "the task runs");
    }

    /** A task list contains the exit of an earlier attempt, of any cause but success, beside the running attempt. */
    @Test
    void exitsOfEarlierAttemptsDoNotEndTheTask() {
        SchedulerFixture world = new SchedulerFixture();
        world.addSpotMachine("a", "east", 0);
        world.core.onRecordsLoaded();
        Job job = world.submit(spec(1, 1, 4, 500), 0);
        WorkerCommand first = world.heartbeat("a", 1).get(0);
        WorkerCommand second = null;
        for (WorkerCommand command : world.heartbeat("a", 2, SchedulerFixture.exitedStatus(first, ExitCause.STOPPED))) {
            second = command instanceof WorkerCommand.Start ? command : second;
        }
        for (ExitCause cause : ExitCause.values()) {
            if (cause != ExitCause.DONE) {
                List<WorkerCommand> commands = world.heartbeat(
                        "a",
                        3 + cause.ordinal(),
                        SchedulerFixture.runningStatus(second),
                        SchedulerFixture.exitedStatus(first, cause));
                assertEquals(List.of(new WorkerCommand.Reap(first.task(), first.attempt())), commands);
                assertEquals(second.attempt(), job.placements(0).attempt);
            }
        }
    }
}
