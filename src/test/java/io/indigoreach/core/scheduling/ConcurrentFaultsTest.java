package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.RULES;
import static io.indigoreach.core.scheduling.SimulatedWorld.at;
import static io.indigoreach.core.scheduling.SimulatedWorld.spec;
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
    private final SimulatedCluster site = new SimulatedCluster();

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
    void tasksThatEndFarApart(int tasks, double cores, String point, int changes, boolean reached) {
        for (String name : List.of("a", "b", "c", "d")) {
            site.box(name, 0);
        }
        site.lead(0);
        site.submit(spec(1, tasks, cores, 50), 1);
        site.all(1.5);
        site.all(2.5);
        site.all(4);
        TaskId first = TaskId.parse("run-1/0");
        SimulatedCluster.Box ran = site.runs(first);
        if (!point.equals("running")) {
            ran.end(first, ExitCause.DONE);
        }
        if (point.equals("reported") || point.equals("recorded") || point.equals("reaped")) {
            site.report(ran.name, 5);
        }
        if (point.equals("recorded") || point.equals("reaped")) {
            site.record();
        }
        if (point.equals("reaped")) {
            site.report(ran.name, 6);
            assertFalse(ran.tasks.containsKey(first));
        }
        for (int i = 0; i < changes; i++) {
            site.lead(8 + i);
            site.report("d", 8.5 + i);
        }
        double again = -1;
        for (double now = 10; now < 90; now += 2) {
            if (point.equals("running") && now == 30) {
                ran.end(first, ExitCause.DONE);
            }
            for (int i = 1; i < tasks; i++) {
                TaskId other = TaskId.parse("run-1/" + i);
                if (now == 50 + 10 * i && site.runs(other) != null) {
                    site.runs(other).end(other, ExitCause.DONE);
                }
            }
            boolean cut = !reached && now < 40;
            for (SimulatedCluster.Box box : site.boxes()) {
                if (!cut || box != ran) {
                    site.report(box.name, now);
                }
            }
            again = again < 0 && site.starts(first) > 1 ? now : again;
            site.core.expireLeases(at(now));
            site.record();
            assertEquals(site.ended(new JobId("run-1")) == tasks, site.isClosed(new JobId("run-1")), "at " + now);
        }
        boolean lost = !reached && (point.equals("ended") || point.equals("reported"));
        assertEquals(
                lost ? 2 : 1,
                site.starts(first),
                "a task runs again only if its result was not recorded and its machine is lost");
        assertTrue(!lost || again >= 7 + changes + RULES.leaseBound().seconds(), "started again at " + again);
        assertTrue(site.isClosed(new JobId("run-1")));
        assertEquals(List.of(), site.broken);
    }

    /**
     * A leader ends while machines with a long task each are unreachable, or send heartbeats but receive no answers.
     * Another machine is idle. The inherited task starts there at the expected time, and never before the worker has
     * killed it.
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
    void aTakeOverWaitsForALeaseAndNoLonger(String trouble, int machines, double every, int changes, double started) {
        for (int i = 0; i < machines; i++) {
            site.box("m" + i, 0);
        }
        site.box("n", 0);
        site.lead(-10);
        site.submit(spec(1, machines, 4, 50), -10);
        for (int i = 0; i < machines; i++) {
            site.become("m" + i, -4);
            assertEquals(1, site.box("m" + i).tasks.size());
            site.box("m" + i).deaf = trouble.equals("answers lost");
        }
        // No leader has started any task of this job.
        site.submit(spec(2, 1, 4, 50), -0.4);
        site.lead(0);
        double inherited = -1;
        boolean second = changes == 1;
        for (double now = 0.5; now < 60; now += 0.5) {
            if (!second && now > 7) {
                site.lead(7);
                second = true;
            }
            for (int i = 0; i < machines; i++) {
                if (now % every == 0 && !trouble.equals("unreachable")) {
                    site.report("m" + i, now);
                }
            }
            site.core.expireLeases(at(now));
            if (now % 2 == 0) {
                int before = site.startsOf(new JobId("run-1"));
                site.report("n", now);
                inherited = inherited < 0 && site.startsOf(new JobId("run-1")) > before ? now : inherited;
                TaskId other = TaskId.parse("run-2/0");
                if (site.runs(other) != null) {
                    assertTrue(now <= 6, "a task that no leader has started may start at once");
                    site.runs(other).end(other, ExitCause.DONE);
                }
            }
        }
        assertEquals(started, inherited);
        assertEquals(List.of(), site.broken);
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
    void whatIsAnsweredWhileTheRecordsAreReadRenewsLeases(double heard, boolean taken, boolean copied, double started) {
        site.box("m", 0);
        site.box("n", 0);
        site.lead(-10);
        site.submit(spec(1, 1, 4, 50), -10);
        site.become("m", -4);
        assertEquals(1, site.box("m").tasks.size());
        site.begin(0);
        site.box("m").deaf = !taken;
        Heartbeat before = site.box("m").sent;
        site.report("m", heard);
        if (copied) {
            site.core.onHeartbeat(before, at(5));
            site.core.onHeartbeat(site.box("m").sent, at(5.5));
        }
        Heartbeat late = site.box("m").write();
        site.load();
        double inherited = -1;
        for (double now = 6; inherited < 0 && now < 40; now += 2) {
            site.core.expireLeases(at(now));
            site.report("n", now);
            inherited = site.startsOf(new JobId("run-1")) > 1 ? now : inherited;
        }
        assertEquals(started, inherited);
        site.core.onHeartbeat(late, at(40));
        assertEquals(1, site.core.job(new JobId("run-1")).placements().size());
        assertTrue(
                site.said.stream().noneMatch(line -> line.startsWith("duplicate task stopped")),
                "a heartbeat from before its lease expired");
        assertEquals(List.of(), site.broken);
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
    void copiesOfReportsChangeNothing(String what, double delay, boolean change) {
        List<String> without = copies(what, Double.MAX_VALUE, change);
        assertEquals(without, copies(what, delay, change));
        assertTrue(without.stream().anyMatch(line -> line.contains("Start")), "nothing happened");
    }

    private static List<String> copies(String what, double delay, boolean change) {
        SimulatedCluster s = new SimulatedCluster();
        s.box("a", 0);
        s.box("b", 0);
        s.lead(0);
        s.submit(spec(1, 3, 4, 50), 1);
        TaskId first = TaskId.parse("run-1/0");
        List<String> trace = new ArrayList<>();
        List<Heartbeat> sent = new ArrayList<>();
        List<Double> due = new ArrayList<>();
        for (double now = 2; now < 70; now += 1) {
            if (change && now == 21) {
                s.lead(now);
            }
            if (what.equals("new attempt") && now == 11 && s.runs(first) != null) {
                s.runs(first).end(first, ExitCause.ERROR);
            }
            if (what.equals("new incarnation") && now == 11) {
                s.box("a").newSession(now);
            }
            for (String name : List.of("a", "b")) {
                if (!(what.equals("silent") && name.equals("a") && now > 10)) {
                    trace.add(now + " " + name + " " + s.report(name, now));
                    sent.add(s.box(name).sent);
                    due.add(now + delay);
                }
            }
            for (int i = 0; i < sent.size(); i++) {
                // By then both machines have sent a heartbeat to the new leader.
                if (due.get(i) <= now && (now < 21 || now > 22)) {
                    s.core.onHeartbeat(sent.get(i), at(now + 0.5));
                    due.set(i, Double.MAX_VALUE);
                }
            }
            s.core.expireLeases(at(now + 0.6));
            trace.add(s.core.summary() + " expired " + s.core.isLeaseExpired(new MachineId("a")));
            s.record();
        }
        assertEquals(List.of(), s.broken);
        return trace;
    }

    /**
     * A machine in no record and no rental is answered before the leader has read the records. Copies of its heartbeats
     * must not make the leader adopt it; its next heartbeat, which shows the answer, does.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "1, true", "2, true"})
    void copiesRaiseNoMachineThatWasAnsweredTooEarly(int answered, boolean lives) {
        SimulatedWorld w = new SimulatedWorld();
        List<Heartbeat> sent = new ArrayList<>();
        for (int i = 0; i < answered; i++) {
            sent.add(w.report("x", "east", 1, i == 0 ? new FencingToken(4) : SimulatedWorld.TOKEN));
            w.core.onHeartbeat(sent.get(i), at(i));
        }
        w.core.recordsLoaded();
        for (int i = 0; i < 2 * answered; i++) {
            w.core.onHeartbeat(sent.get(i % answered), at(10 + i));
        }
        assertEquals(0, w.core.machineCount());
        if (lives) {
            w.core.onHeartbeat(w.report("x", "east", 1, SimulatedWorld.TOKEN), at(15));
            assertEquals(1, w.core.machineCount(), "its next heartbeat shows the answer");
        }
    }

    /**
     * Copies of a dead machine's heartbeats, with increasing numbers and an older token, keep arriving at the next
     * leader. They delay its failover by one lease at most.
     */
    @ParameterizedTest
    @ValueSource(doubles = {1, 3, 7})
    void copiesPutATakeOverOffByALeaseAtMost(double every) {
        site.box("a", 0);
        site.box("n", 0);
        site.lead(-40);
        site.submit(spec(1, 1, 4, 50), -40);
        List<Heartbeat> copies = new ArrayList<>();
        for (double now = -30; now < 0; now++) {
            site.report("a", now);
            copies.add(site.box("a").sent);
        }
        site.lead(0);
        double settled = -1;
        for (double now = 0; settled < 0; now += every) {
            assertEquals(
                    List.of(), site.core.onHeartbeat(copies.remove(0), at(now)).commands());
            site.core.expireLeases(at(now));
            site.report("n", now);
            settled = site.core.isFailoverComplete() ? now : -1;
            assertEquals(settled >= 0, site.startsOf(new JobId("run-1")) > 1);
        }
        assertTrue(
                settled > RULES.leaseBound().seconds()
                        && settled <= RULES.leaseBound().seconds() + every,
                "" + settled);
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
    void whatIsHeldUp(String what, double held, boolean change, int orders) {
        SimulatedCluster.Box a = site.box("a", 0);
        site.box("n", 0);
        site.lead(-10);
        site.submit(spec(1, 1, 4, 500), -10);
        TaskId task = TaskId.parse("run-1/0");
        boolean ordered = what.equals("answer") || what.equals("token") || what.equals("incarnation");
        if (ordered) {
            site.report("a", -4);
            site.report("a", -2);
        } else {
            site.become("a", -4);
        }
        assertEquals(ordered ? 0 : 1, a.tasks.size());
        if (what.equals("attempt")) {
            // The task fails at once and is started again; the answer that stops or reaps the first attempt is late.
            a.end(task, ExitCause.ERROR);
        }
        Heartbeat heartbeat = a.write();
        SimulatedCluster.Answer answer =
                what.equals("heartbeat") || what.equals("lease") ? null : site.answer(heartbeat, 0);
        if (what.equals("lease")) {
            site.report("a", 0);
        }
        boolean done = false;
        for (double now = 0.1; now < 40; now = Math.round(10 * now + 1) / 10.0) {
            if (change && now == 2) {
                site.lead(2);
            }
            if (what.equals("incarnation") && now == 1) {
                a.newSession(now);
            }
            if (!done && now >= held) {
                done = true;
                a.live(now);
                SimulatedCluster.Answer late = what.equals("heartbeat") ? site.answer(heartbeat, now) : answer;
                if (late != null && held <= SimulatedCluster.PATIENCE_S) {
                    a.take(late, 0, now);
                }
            } else if (done && Math.round(now * 10) % 20 == 0) {
                site.report("a", now);
            }
            if (Math.round(now * 10) % 20 == 5) {
                site.report("n", now);
            }
            site.core.expireLeases(at(now));
        }
        assertEquals(List.of(), site.broken);
        assertEquals(orders, site.ordered(task));
        assertNotNull(site.runs(task), "the task runs");
    }

    /** A task list contains the exit of an earlier attempt, of any cause but success, beside the running attempt. */
    @Test
    void earlierAttemptsEndNothing() {
        SimulatedWorld w = new SimulatedWorld();
        w.up("a", "east", 0);
        w.core.recordsLoaded();
        Job job = w.submit(spec(1, 1, 4, 500), 0);
        WorkerCommand first = w.hear("a", 1).get(0);
        WorkerCommand second = null;
        for (WorkerCommand command : w.hear("a", 2, SimulatedWorld.exited(first, ExitCause.STOPPED))) {
            second = command instanceof WorkerCommand.Start ? command : second;
        }
        for (ExitCause cause : ExitCause.values()) {
            if (cause != ExitCause.DONE) {
                List<WorkerCommand> orders = w.hear(
                        "a", 3 + cause.ordinal(), SimulatedWorld.running(second), SimulatedWorld.exited(first, cause));
                assertEquals(List.of(new WorkerCommand.Reap(first.task(), first.attempt())), orders);
                assertEquals(second.attempt(), job.placements(0).attempt);
            }
        }
    }
}
