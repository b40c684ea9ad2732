package io.indigoreach.emulator.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.cloud.CloudCodec;
import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.ExitCause;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.TaskStatus;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.scenario.Deployment;
import io.indigoreach.scenario.TextForm;
import io.indigoreach.worker.WorkerCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One worker: orders, tokens, its lease and its sessions. Tasks run 10 s, images take a second or so, the lease is 6 s. */
class WorkerModelTest {
    private static final Moment T = new Moment(0);
    private final Depot depot = new Depot(1);
    private final List<String> seen = new ArrayList<>();
    private WorkerModel worker;
    private Moment now = T;

    private static TaskId task(int job, int index) {
        return new TaskId(new JobId("run-" + job), index);
    }

    private static JobSpec job(int n, double cores, double saveEvery) {
        return JobSpec.builder(new JobId("run-" + n))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(4)
                .demand(new Demand(cores, 0, 1))
                .image("image-" + n)
                .imageGb(1)
                .spotAllowed()
                .estimate(Span.seconds(10))
                .checkpointEvery(Span.seconds(saveEvery))
                .checkpointTime(Span.seconds(1))
                .build();
    }

    @BeforeEach
    void boot() throws ConfigException {
        CloudModel cloud = new CloudModel(TextForm.parse("d", """
                zones: "z"
                cloud { boot_never: 0 boot_late: 0 }
                machine_type { name: "m" cores: 4 ram_gb: 16 price: 1 boot_s: 0 fetch_gb_per_s: 1 cache_gb: 2 }
                capacity { type: "m" zone: "z" count: 1 }
                team { name: "t" }
                """, Deployment.class), new SplittableRandom(1), T, 0);
        cloud.rent(T, new CloudCodec.RentalRequest("r", new MachinePool("m", "z", false), 1));
        for (int n = 1; n <= 5; n++) {
            depot.upload(job(n, n == 5 ? 3 : 1, n == 4 ? 2 : 0), new Depot.Conduct(Span.seconds(10), 0, n == 3));
        }
        worker = new WorkerModel(
                cloud.machines().get(0),
                depot,
                Span.seconds(6),
                Span.seconds(2),
                new SplittableRandom(2),
                new WorkerModel.Listener() {
                    @Override
                    public void started(
                            Moment at, MachineId machine, TaskId task, Attempt attempt, FencingToken token) {}

                    @Override
                    public void running(Moment at, MachineId machine, TaskId task, Attempt attempt) {
                        seen.add("on " + task);
                    }

                    @Override
                    public void off(Moment at, MachineId machine, TaskId task, Attempt attempt, String why) {
                        seen.add("off " + task + " " + why);
                    }

                    @Override
                    public void forgotten(Moment at, MachineId machine, TaskId task, Attempt attempt) {
                        seen.add("forgotten " + task);
                    }
                },
                T);
    }

    private static WorkerCommand start(int job, int index, long attempt) {
        return new WorkerCommand.Start(task(job, index), new Attempt(attempt));
    }

    private static WorkerCommand stop(int job, int index, long attempt, double grace) {
        return new WorkerCommand.Stop(task(job, index), new Attempt(attempt), Span.seconds(grace));
    }

    private static WorkerCommand reap(int job, int index, long attempt) {
        return new WorkerCommand.Reap(task(job, index), new Attempt(attempt));
    }

    /** Time goes on by small steps, every report being answered under a token, the first of them with orders. */
    private void go(double s, long token, WorkerCommand... orders) {
        List<WorkerCommand> rest = new ArrayList<>(List.of(orders));
        Moment end = now.plus(Span.seconds(s));
        for (; now.isBefore(end); now = now.plus(new Span(50))) {
            Heartbeat heartbeat = worker.report(now);
            if (heartbeat != null) {
                worker.answered(
                        now,
                        heartbeat.number(),
                        now,
                        new WorkerCodec.HeartbeatResponse(new FencingToken(token), List.copyOf(rest)));
                rest.clear();
            }
        }
    }

    /** Until the next report is answered with these orders, and no longer. */
    private void deliver(long token, WorkerCommand... orders) {
        for (Heartbeat heartbeat = null; heartbeat == null; now = now.plus(new Span(50))) {
            heartbeat = worker.report(now);
            if (heartbeat != null) {
                worker.answered(
                        now,
                        heartbeat.number(),
                        now,
                        new WorkerCodec.HeartbeatResponse(new FencingToken(token), List.of(orders)));
            }
        }
    }

    private String states() {
        return worker.state(now).tasks().stream()
                .map(status -> status.task() + "/" + status.attempt() + " "
                        + (status.state() == TaskState.EXITED
                                ? status.cause() + (status.saved() ? " saved" : "")
                                : status.state()))
                .reduce((a, b) -> a + ", " + b)
                .orElse("");
    }

    @Test
    void runsATaskOnceItHasItsImage() {
        deliver(1, start(1, 0, 7));
        assertEquals("run-1/0/7 FETCHING", states());
        go(4, 1, start(1, 1, 8));
        assertEquals("run-1/0/7 RUNNING, run-1/1/8 RUNNING", states());
        go(13, 1);
        assertEquals("run-1/0/7 DONE, run-1/1/8 DONE", states());
        go(3, 1, reap(1, 0, 7));
        assertEquals("run-1/1/8 DONE", states());
        assertTrue(seen.containsAll(List.of("on run-1/0", "off run-1/0 done", "forgotten run-1/0")));
    }

    /** A repeated start does nothing while the attempt is known, exited included; after reap it starts once more. */
    @Test
    void repeatsAStartOnlyAfterReap() {
        go(3, 1, start(3, 0, 7), start(3, 0, 7));
        assertEquals("run-3/0/7 ERROR", states());
        go(3, 1, start(3, 0, 7));
        assertEquals("run-3/0/7 ERROR", states());
        go(4, 1, reap(3, 0, 7), start(3, 0, 7));
        assertEquals(2, seen.stream().filter(s -> s.equals("on run-3/0")).count());
    }

    /** The result is kept: the task exits as done as soon as it has its image. */
    @Test
    void keepsResults() {
        go(16, 1, start(1, 0, 7));
        go(3, 1, reap(1, 0, 7));
        go(1, 1, start(1, 0, 8));
        assertEquals("run-1/0/8 DONE", states());
    }

    @Test
    void refusesStarts() {
        go(3, 1, start(1, 0, 7), start(1, 0, 8), start(9, 0, 1), start(1, 4, 2), start(5, 0, 3), start(5, 1, 4));
        assertEquals(
                "run-1/0/7 RUNNING, run-1/0/8 IN_USE, run-9/0/1 UNKNOWN, run-1/4/2 UNKNOWN, run-5/0/3 RUNNING, "
                        + "run-5/1/4 FULL",
                states());
    }

    /** With time enough a task saves and goes on from there; a second stop without time ends the saving. */
    @Test
    void savesWhenStopped() {
        go(3, 1, start(4, 0, 7), start(4, 1, 8), start(1, 0, 9));
        go(2.5, 1, stop(4, 0, 7, 5), stop(4, 1, 8, 0.5), stop(1, 0, 9, 5));
        go(1, 1);
        assertEquals("run-4/0/7 STOPPED saved, run-4/1/8 STOPPED, run-1/0/9 STOPPED", states());
        Span saved = depot.saved(task(4, 0));
        assertTrue(saved.seconds() > 1 && saved.seconds() < 5, saved.toString());
        assertEquals(0, depot.saved(task(4, 1)).ms() % 2000);
        go(3, 1, reap(4, 0, 7), start(4, 0, 10));
        go(2.5, 1, stop(4, 0, 10, 5), stop(4, 0, 10, 0));
        assertTrue(states().contains("run-4/0/10 STOPPED") && !states().contains("10 STOPPED saved"), states());
    }

    /** Without an answer for its lease the worker kills and forgets all, and goes on with the next session. */
    @Test
    void losesItsTasksWithItsLease() {
        go(3, 1, start(1, 0, 7));
        Heartbeat lost = null;
        for (Moment end = now.plus(Span.seconds(5)); now.isBefore(end); now = now.plus(new Span(50))) {
            lost = lost == null ? worker.report(now) : lost;
        }
        assertEquals("run-1/0/7 RUNNING", states());
        now = now.plus(Span.seconds(3));
        worker.advance(now);
        assertEquals("", states());
        assertTrue(seen.contains("off run-1/0 lease"));
        Heartbeat next = worker.report(now);
        assertEquals(2, next.number().incarnation());
        // An answer to a report of the session before is dropped.
        worker.answered(
                now,
                lost.number(),
                now,
                new WorkerCodec.HeartbeatResponse(new FencingToken(9), List.of(start(1, 1, 9))));
        assertEquals("", states());
        assertEquals(1, worker.state(now).token().value());
    }

    /** An answer counts from when its report was sent: taking long for it makes the lease end sooner. */
    @Test
    void countsItsLeaseFromSending() {
        go(3, 1, start(1, 0, 7));
        Heartbeat heartbeat = null;
        while (heartbeat == null) {
            now = now.plus(new Span(50));
            heartbeat = worker.report(now);
        }
        Moment sent = now;
        now = now.plus(Span.seconds(3.5));
        worker.answered(
                now, heartbeat.number(), sent, new WorkerCodec.HeartbeatResponse(new FencingToken(1), List.of()));
        worker.advance(sent.plus(Span.seconds(5.9)));
        assertEquals(1, worker.state(now).number().incarnation());
        worker.advance(sent.plus(Span.seconds(6)));
        assertEquals(2, worker.state(now).number().incarnation());
    }

    /** A lower token, or none, is dropped, and renews nothing. */
    @Test
    void dropsLowerTokens() {
        go(3, 5, start(1, 0, 7));
        go(3, 4, stop(1, 0, 7, 0));
        assertEquals("run-1/0/7 RUNNING", states());
        go(4, -1, start(1, 1, 8));
        assertEquals("", states());
        assertEquals(2, worker.state(now).number().incarnation());
        assertEquals(5, worker.state(now).token().value());
    }

    /** Direct orders need a token not below the highest seen and the session, and renew nothing. */
    @Test
    void takesDirectOrders() {
        go(3, 5);
        assertFalse(worker.direct(now, new WorkerCodec.Direct(new FencingToken(4), 1L, List.of(start(1, 0, 7)))));
        assertFalse(worker.direct(now, new WorkerCodec.Direct(new FencingToken(5), 2L, List.of(start(1, 0, 7)))));
        assertTrue(worker.direct(now, new WorkerCodec.Direct(new FencingToken(6), 1L, List.of(start(1, 0, 7)))));
        assertEquals("run-1/0/7 FETCHING", states());
        assertFalse(worker.direct(now, new WorkerCodec.Direct(new FencingToken(5), 1L, List.of(stop(1, 0, 7, 0)))));
        now = now.plus(Span.seconds(7));
        assertFalse(
                worker.direct(now, new WorkerCodec.Direct(new FencingToken(6), 1L, List.of())), "the session is over");
    }

    /** A machine that hangs within its lease goes on where it was; beyond it, nothing is left. */
    @Test
    void hangs() {
        go(4, 1, start(1, 0, 7));
        worker.hang(now, now.plus(Span.seconds(3)));
        assertNull(worker.report(now.plus(Span.seconds(2.9))));
        now = now.plus(Span.seconds(3));
        assertNotNull(worker.report(now));
        worker.unanswered(now, worker.state(now).number(), Span.ZERO);
        go(5, 1);
        assertEquals("run-1/0/7 RUNNING", states(), "the time it hung is not progress");
        worker.hang(now, now.plus(Span.seconds(20)));
        now = now.plus(Span.seconds(21));
        worker.advance(now);
        assertEquals("", states());
        assertEquals("off run-1/0 lease", seen.get(seen.size() - 1));
    }

    /** Reports come every two seconds give or take a quarter, sooner on a change, one at a time. */
    @Test
    void reportsInTime() {
        List<Double> gaps = new ArrayList<>();
        Moment sent = null;
        for (; now.isBefore(T.plus(Span.seconds(60))); now = now.plus(new Span(10))) {
            Heartbeat heartbeat = worker.report(now);
            if (heartbeat != null) {
                if (sent != null) {
                    gaps.add(now.since(sent).seconds());
                }
                sent = now;
                assertNull(worker.report(now.plus(new Span(5))));
                worker.answered(
                        now,
                        heartbeat.number(),
                        now,
                        new WorkerCodec.HeartbeatResponse(new FencingToken(1), List.of()));
            }
        }
        assertTrue(gaps.remove(0) < 0.6, "the new token is a change");
        assertTrue(gaps.stream().allMatch(g -> g >= 1.5 && g <= 2.55), gaps.toString());
    }

    /** The cache holds the images used last, up to its size; one fetch serves all tasks that wait for it. */
    @Test
    void cachesImages() {
        go(4, 1, start(3, 0, 1), start(3, 1, 2), start(3, 2, 3));
        assertEquals(3, seen.stream().filter(s -> s.startsWith("on run-3")).count());
        go(3, 1, start(1, 0, 4));
        go(3, 1, start(2, 0, 5));
        deliver(1, start(1, 1, 6), start(3, 3, 7));
        assertTrue(states().contains("run-1/1/6 RUNNING"), states());
        assertTrue(states().contains("run-3/3/7 FETCHING"), states());
    }

    @Test
    void failsOnASpoiltMachine() {
        worker.spoil();
        go(5, 1, start(1, 0, 7));
        TaskStatus status = worker.state(now).tasks().get(0);
        assertEquals(ExitCause.ERROR, status.cause());
    }
}
