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

/** Two troubles at once: a change of leader, or a machine that goes on, beside what is late, lost, or not recorded yet. */
class ConcurrentFaultsTest {
    private final SimulatedCluster site = new SimulatedCluster();

    /**
     * The first task ends long before the others, and the leader ends before that was reported, recorded or reaped; then one
     * more ends at once. The machine that ran it is reached, or is lost with what it has not told.
     */
    @ParameterizedTest
    @CsvSource({
        "2, 1, running, 1, true",
        "2, 1, ended, 1, true",
        "2, 1, seen, 1, true",
        "2, 1, recorded, 1, true",
        "2, 1, reaped, 1, true",
        "2, 4, ended, 1, true",
        "2, 4, seen, 1, true",
        "2, 4, recorded, 1, true",
        "2, 4, reaped, 1, true",
        "3, 4, seen, 2, true",
        "3, 4, recorded, 2, true",
        "3, 4, reaped, 2, true",
        "3, 1, seen, 2, true",
        "3, 1, reaped, 2, true",
        "2, 4, ended, 1, false",
        "2, 4, seen, 1, false",
        "2, 4, recorded, 1, false",
        "2, 4, reaped, 1, false",
        "3, 4, seen, 2, false",
        "3, 4, reaped, 2, false"
    })
    void tasksThatEndFarApart(int tasks, double cores, String point, int changes, boolean reached) {
        for (String name : List.of("a", "b", "c", "d")) {
            site.worker(name, 0);
        }
        site.startLeaderWithRecords(0);
        site.submit(spec(1, tasks, cores, 50), 1);
        site.sendAllHeartbeats(1.5);
        site.sendAllHeartbeats(2.5);
        site.sendAllHeartbeats(4);
        TaskId first = TaskId.parse("run-1/0");
        SimulatedCluster.Worker ran = site.workerRunning(first);
        if (!point.equals("running")) {
            ran.exit(first, ExitCause.DONE);
        }
        if (point.equals("seen") || point.equals("recorded") || point.equals("reaped")) {
            site.sendHeartbeat(ran.name, 5);
        }
        if (point.equals("recorded") || point.equals("reaped")) {
            site.recordResults();
        }
        if (point.equals("reaped")) {
            site.sendHeartbeat(ran.name, 6);
            assertFalse(ran.tasks.containsKey(first));
        }
        for (int i = 0; i < changes; i++) {
            site.startLeaderWithRecords(8 + i);
            site.sendHeartbeat("d", 8.5 + i);
        }
        double again = -1;
        for (double now = 10; now < 90; now += 2) {
            if (point.equals("running") && now == 30) {
                ran.exit(first, ExitCause.DONE);
            }
            for (int i = 1; i < tasks; i++) {
                TaskId other = TaskId.parse("run-1/" + i);
                if (now == 50 + 10 * i && site.workerRunning(other) != null) {
                    site.workerRunning(other).exit(other, ExitCause.DONE);
                }
            }
            boolean cut = !reached && now < 40;
            for (SimulatedCluster.Worker box : site.workers()) {
                if (!cut || box != ran) {
                    site.sendHeartbeat(box.name, now);
                }
            }
            again = again < 0 && site.startCount(first) > 1 ? now : again;
            site.core.expireLeases(atSeconds(now));
            site.recordResults();
            assertEquals(site.completed(new JobId("run-1")) == tasks, site.isClosed(new JobId("run-1")), "at " + now);
        }
        boolean lost = !reached && (point.equals("ended") || point.equals("seen"));
        assertEquals(
                lost ? 2 : 1,
                site.startCount(first),
                "a result that nobody recorded and whose machine is lost is made anew");
        assertTrue(!lost || again >= 7 + changes + SAFETY_TIMES.leaseBound().seconds(), "started again at " + again);
        assertTrue(site.isClosed(new JobId("run-1")));
        assertEquals(List.of(), site.violations);
    }

    /**
     * A leader ends while a machine with a long task is cut off, or reports and hears nothing, alone or with its whole zone;
     * another machine is idle. The inherited task starts there by the time, and never before the worker has killed it.
     */
    @ParameterizedTest
    @CsvSource({
        "hears, 1, 2, 1, -1",
        "cut, 1, 2, 1, 14",
        "deaf, 1, 2, 1, 14",
        "deaf, 1, 3.5, 1, 14",
        "deaf, 1, 5.5, 1, 18",
        "deaf, 6, 2, 1, 14",
        "cut, 6, 2, 1, 14",
        "deaf, 1, 2, 2, 20",
        "deaf, 6, 3.5, 2, 22",
        "cut, 6, 2, 2, 20"
    })
    void aTakeOverWaitsForALeaseAndNoLonger(String trouble, int machines, double every, int changes, double started) {
        for (int i = 0; i < machines; i++) {
            site.worker("m" + i, 0);
        }
        site.worker("n", 0);
        site.startLeaderWithRecords(-10);
        site.submit(spec(1, machines, 4, 50), -10);
        for (int i = 0; i < machines; i++) {
            site.joinLeader("m" + i, -4);
            assertEquals(1, site.worker("m" + i).tasks.size());
            site.worker("m" + i).losesAnswers = trouble.equals("deaf");
        }
        // Nobody has ordered any task of it.
        site.submit(spec(2, 1, 4, 50), -0.4);
        site.startLeaderWithRecords(0);
        double inherited = -1;
        boolean second = changes == 1;
        for (double now = 0.5; now < 60; now += 0.5) {
            if (!second && now > 7) {
                site.startLeaderWithRecords(7);
                second = true;
            }
            for (int i = 0; i < machines; i++) {
                if (now % every == 0 && !trouble.equals("cut")) {
                    site.sendHeartbeat("m" + i, now);
                }
            }
            site.core.expireLeases(atSeconds(now));
            if (now % 2 == 0) {
                int before = site.startCountOfJob(new JobId("run-1"));
                site.sendHeartbeat("n", now);
                inherited = inherited < 0 && site.startCountOfJob(new JobId("run-1")) > before ? now : inherited;
                TaskId other = TaskId.parse("run-2/0");
                if (site.workerRunning(other) != null) {
                    assertTrue(now <= 6, "what nobody ordered goes first and at once");
                    site.workerRunning(other).exit(other, ExitCause.DONE);
                }
            }
        }
        assertEquals(started, inherited);
        assertEquals(List.of(), site.violations);
    }

    /**
     * The new leader answers from 0 s on and has read the records at 6 s; the machine hears it, or not, and is cut off. Copies of
     * earlier reports come until then.
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
    void whatIsAnsweredWhileTheRecordsAreReadRenewsLeases(double heard, boolean taken, boolean copied, double started) {
        site.worker("m", 0);
        site.worker("n", 0);
        site.startLeaderWithRecords(-10);
        site.submit(spec(1, 1, 4, 50), -10);
        site.joinLeader("m", -4);
        assertEquals(1, site.worker("m").tasks.size());
        site.startLeader(0);
        site.worker("m").losesAnswers = !taken;
        Heartbeat before = site.worker("m").lastHeartbeat;
        site.sendHeartbeat("m", heard);
        if (copied) {
            site.core.onHeartbeat(before, atSeconds(5));
            site.core.onHeartbeat(site.worker("m").lastHeartbeat, atSeconds(5.5));
        }
        Heartbeat late = site.worker("m").nextHeartbeat();
        site.loadRecords();
        double inherited = -1;
        for (double now = 6; inherited < 0 && now < 40; now += 2) {
            site.core.expireLeases(atSeconds(now));
            site.sendHeartbeat("n", now);
            inherited = site.startCountOfJob(new JobId("run-1")) > 1 ? now : inherited;
        }
        assertEquals(started, inherited);
        site.core.onHeartbeat(late, atSeconds(40));
        assertEquals(1, site.core.job(new JobId("run-1")).placements().size());
        assertTrue(
                site.logLines.stream().noneMatch(line -> line.startsWith("duplicate task stopped")),
                "a report from before its lease ended");
        assertEquals(List.of(), site.violations);
    }

    /**
     * Reports come once more, so many seconds after they were sent, while the machine runs another attempt, has begun
     * another session or is silent; under the same leader or the next. Everything goes as without the copies.
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
        "new session, 2, false",
        "new session, 13, false",
        "new session, 2, true",
        "new session, 30, true",
        "silent, 2, false",
        "silent, 13, false",
        "silent, 30, false"
    })
    void copiesOfReportsChangeNothing(String what, double delay, boolean change) {
        List<String> without = copies(what, Double.MAX_VALUE, change);
        assertEquals(without, copies(what, delay, change));
        assertTrue(without.stream().anyMatch(line -> line.contains("Start")), "nothing happened");
    }

    private static List<String> copies(String what, double delay, boolean change) {
        SimulatedCluster s = new SimulatedCluster();
        s.worker("a", 0);
        s.worker("b", 0);
        s.startLeaderWithRecords(0);
        s.submit(spec(1, 3, 4, 50), 1);
        TaskId first = TaskId.parse("run-1/0");
        List<String> trace = new ArrayList<>();
        List<Heartbeat> sent = new ArrayList<>();
        List<Double> due = new ArrayList<>();
        for (double now = 2; now < 70; now += 1) {
            if (change && now == 21) {
                s.startLeaderWithRecords(now);
            }
            if (what.equals("new attempt") && now == 11 && s.workerRunning(first) != null) {
                s.workerRunning(first).exit(first, ExitCause.ERROR);
            }
            if (what.equals("new session") && now == 11) {
                s.worker("a").newSession(now);
            }
            for (String name : List.of("a", "b")) {
                if (!(what.equals("silent") && name.equals("a") && now > 10)) {
                    trace.add(now + " " + name + " " + s.sendHeartbeat(name, now));
                    sent.add(s.worker(name).lastHeartbeat);
                    due.add(now + delay);
                }
            }
            for (int i = 0; i < sent.size(); i++) {
                // Both machines have shown themselves to a new leader by then.
                if (due.get(i) <= now && (now < 21 || now > 22)) {
                    s.core.onHeartbeat(sent.get(i), atSeconds(now + 0.5));
                    due.set(i, Double.MAX_VALUE);
                }
            }
            s.core.expireLeases(atSeconds(now + 0.6));
            trace.add(s.core.summary() + " over " + s.core.isLeaseExpired(new MachineId("a")));
            s.recordResults();
        }
        assertEquals(List.of(), s.violations);
        return trace;
    }

    /** Nobody recorded or rented it, and the new leader answers it before it has read that; then it ends, and copies come. */
    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "1, true", "2, true"})
    void copiesRaiseNoMachineThatWasAnsweredTooEarly(int answered, boolean lives) {
        SchedulerFixture w = new SchedulerFixture();
        List<Heartbeat> sent = new ArrayList<>();
        for (int i = 0; i < answered; i++) {
            sent.add(w.newHeartbeat("x", "east", 1, i == 0 ? new FencingToken(4) : SchedulerFixture.TOKEN));
            w.core.onHeartbeat(sent.get(i), atSeconds(i));
        }
        w.core.recordsLoaded();
        for (int i = 0; i < 2 * answered; i++) {
            w.core.onHeartbeat(sent.get(i % answered), atSeconds(10 + i));
        }
        assertEquals(0, w.core.machineCount());
        if (lives) {
            w.core.onHeartbeat(w.newHeartbeat("x", "east", 1, SchedulerFixture.TOKEN), atSeconds(15));
            assertEquals(1, w.core.machineCount(), "its next report shows the answer");
        }
    }

    /** A dead machine, whose copies come to the next leader one after the other with ever higher numbers and its older token. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 3, 7})
    void copiesPutATakeOverOffByALeaseAtMost(double every) {
        site.worker("a", 0);
        site.worker("n", 0);
        site.startLeaderWithRecords(-40);
        site.submit(spec(1, 1, 4, 50), -40);
        List<Heartbeat> copies = new ArrayList<>();
        for (double now = -30; now < 0; now++) {
            site.sendHeartbeat("a", now);
            copies.add(site.worker("a").lastHeartbeat);
        }
        site.startLeaderWithRecords(0);
        double settled = -1;
        for (double now = 0; settled < 0; now += every) {
            assertEquals(
                    List.of(),
                    site.core.onHeartbeat(copies.remove(0), atSeconds(now)).commands());
            site.core.expireLeases(atSeconds(now));
            site.sendHeartbeat("n", now);
            settled = site.core.isFailoverComplete() ? now : -1;
            assertEquals(settled >= 0, site.startCountOfJob(new JobId("run-1")) > 1);
        }
        assertTrue(
                settled > SAFETY_TIMES.leaseBound().seconds()
                        && settled <= SAFETY_TIMES.leaseBound().seconds() + every,
                "" + settled);
    }

    /**
     * A machine stands still with a report or an answer under way, and goes on within its lease or after it; a start comes when
     * its session is over or under an older leader's token; an order is for an earlier attempt. So often it is ordered.
     */
    @ParameterizedTest
    @CsvSource({
        "lease, 11.9, false, 1",
        "lease, 12.1, false, 2",
        "report, 3.9, false, 1",
        "report, 7, false, 1",
        "report, 12.2, false, 2",
        "answer, 3.9, false, 1",
        "answer, 4.1, false, 2",
        "token, 3.9, true, 1",
        "token, 4.1, true, 2",
        "session, 3, false, 2",
        "attempt, 3, false, 2"
    })
    void whatIsHeldUp(String what, double held, boolean change, int orders) {
        SimulatedCluster.Worker a = site.worker("a", 0);
        site.worker("n", 0);
        site.startLeaderWithRecords(-10);
        site.submit(spec(1, 1, 4, 500), -10);
        TaskId task = TaskId.parse("run-1/0");
        boolean ordered = what.equals("answer") || what.equals("token") || what.equals("session");
        if (ordered) {
            site.sendHeartbeat("a", -4);
            site.sendHeartbeat("a", -2);
        } else {
            site.joinLeader("a", -4);
        }
        assertEquals(ordered ? 0 : 1, a.tasks.size());
        if (what.equals("attempt")) {
            // It fails at once and is given again; the answer that stops or reaps the first attempt comes late.
            a.exit(task, ExitCause.ERROR);
        }
        Heartbeat heartbeat = a.nextHeartbeat();
        SimulatedCluster.Answer answer =
                what.equals("report") || what.equals("lease") ? null : site.answerHeartbeat(heartbeat, 0);
        if (what.equals("lease")) {
            site.sendHeartbeat("a", 0);
        }
        boolean done = false;
        for (double now = 0.1; now < 40; now = Math.round(10 * now + 1) / 10.0) {
            if (change && now == 2) {
                site.startLeaderWithRecords(2);
            }
            if (what.equals("session") && now == 1) {
                a.newSession(now);
            }
            if (!done && now >= held) {
                done = true;
                a.expireLease(now);
                SimulatedCluster.Answer late = what.equals("report") ? site.answerHeartbeat(heartbeat, now) : answer;
                if (late != null && held <= SimulatedCluster.ANSWER_TIMEOUT_S) {
                    a.receive(late, 0, now);
                }
            } else if (done && Math.round(now * 10) % 20 == 0) {
                site.sendHeartbeat("a", now);
            }
            if (Math.round(now * 10) % 20 == 5) {
                site.sendHeartbeat("n", now);
            }
            site.core.expireLeases(atSeconds(now));
        }
        assertEquals(List.of(), site.violations);
        assertEquals(orders, site.startCommandCount(task));
        assertNotNull(site.workerRunning(task), "it runs");
    }

    /** Two exits of earlier attempts in one list, in any order, beside the attempt that runs. */
    @Test
    void earlierAttemptsEndNothing() {
        SchedulerFixture w = new SchedulerFixture();
        w.addSpotMachine("a", "east", 0);
        w.core.recordsLoaded();
        Job job = w.submit(spec(1, 1, 4, 500), 0);
        WorkerCommand first = w.heartbeat("a", 1).get(0);
        WorkerCommand second = null;
        for (WorkerCommand command : w.heartbeat("a", 2, SchedulerFixture.exitedStatus(first, ExitCause.STOPPED))) {
            second = command instanceof WorkerCommand.Start ? command : second;
        }
        for (ExitCause cause : ExitCause.values()) {
            if (cause != ExitCause.DONE) {
                List<WorkerCommand> orders = w.heartbeat(
                        "a",
                        3 + cause.ordinal(),
                        SchedulerFixture.runningStatus(second),
                        SchedulerFixture.exitedStatus(first, cause));
                assertEquals(List.of(new WorkerCommand.Reap(first.task(), first.attempt())), orders);
                assertEquals(second.attempt(), job.placements(0).attempt);
            }
        }
    }
}
