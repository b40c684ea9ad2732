package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.checker.Event;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.load.Users;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.worker.WorkerCodec;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;

/**
 * Three real controllers hand over and back, end and return; or the leader is cut from the state service and the others, and jobs
 * are cancelled on the other side. What holds is seen on the workers' side, not in a leader's memory. Alone in its time, as in
 * {@link CutOffTest}.
 */
@Isolated
@Tag("quiet-machine")
class HandoverDayTest extends AskedJobs {
    /** A leader of 4.5 s goes on for as long; it may have no news of cancellations for 8 s and more, so its lease decides. */
    private static final double CANCEL_S = 16;

    private static final double CUT_S = 12;
    /** Longer than a cancelled job's tasks may stay: they are not gone because the cut is over. */
    private static final double CUT_FOR_S = 20;

    /** Of each node, which of all the processes started is its last one. */
    private final int[] last = new int[3];

    private int started;

    private void open(String faults) throws Exception {
        cluster = new LocalCluster(3, CANCEL_S, faults.replace('\'', '"'));
        PlatformConfig any = cluster.emulator.nodes().get(2);
        state = new StateClient(
                new ServiceClient(cluster.vertx, any.state(), 1), new ServiceClient(cluster.vertx, any.state(), 1));
        callers();
        begin(0);
        // Alone so far, it leads.
        assertEquals(0, awaitLeader());
        begin(1);
        begin(2);
    }

    private void begin(int node) throws Exception {
        cluster.start(cluster.emulator.nodes().get(node));
        last[node] = started++;
    }

    private void end(int node) throws Exception {
        cluster.stop(last[node]);
    }

    private int awaitLeader() throws Exception {
        Moment since = cluster.clock.now();
        while (LocalCluster.await(state.get(RecordKeys.LEADER)) == null) {
            assertTrue(cluster.clock.now().since(since).compareTo(LONGEST) < 0, "nobody leads");
            LocalCluster.await(cluster.vertx.timer(20, TimeUnit.MILLISECONDS));
        }
        return leader();
    }

    private static boolean takesLeadership(Event e, String but) {
        return e instanceof Event.Committed c
                && !c.node().equals(but)
                && c.txn().writes().stream().anyMatch(w -> w.key().equals(RecordKeys.LEADER) && !w.isDelete());
    }

    /** Cancels a job of its user so many seconds after the start of all. */
    private Future<Users.Mine> cancelledAt(int job, int tasks, double s) {
        Span in = cluster.emulator.startedAt().plus(Span.seconds(s)).since(cluster.clock.now());
        return cluster.run(LocalCluster.job(job, tasks, 90), in.seconds());
    }

    /**
     * The leader is cut from the state service and the other controllers; workers and users still reach it. Its workers are
     * answered no longer than its lease lasts, cancelled jobs' tasks are gone in time, and its users get no older answer.
     */
    @Test
    void aLeaderThatIsCutOffWhileJobsAreCancelledOnTheOtherSide() throws Exception {
        StringBuilder faults = new StringBuilder(
                "fault { kind: refuse at_s: " + CUT_S + " for_s: " + CUT_FOR_S + " from: 'node-0' to: 'state' }\n");
        for (int other = 1; other < 3; other++) {
            for (String way :
                    List.of("from: 'node-0' to: 'node-" + other + "'", "from: 'node-" + other + "' to: 'node-0'")) {
                faults.append("fault { kind: hold at_s: " + CUT_S + " for_s: " + CUT_FOR_S + " " + way + " }\n");
            }
        }
        open(faults.toString());
        List<Future<Users.Mine>> cancelled = new ArrayList<>();
        for (int n = 1; n <= 5; n++) {
            cancelled.add(cancelledAt(n, 2, CUT_S + 0.5 * n));
        }
        Future<Users.Mine> stays = cluster.run(LocalCluster.job(6, 4, 9), 0);
        cluster.awaitEvents(e -> e instanceof Event.Running, 14);
        until(CUT_S - 0.5);
        assertEquals(0, leader(), "the leader is the one that is cut off");
        until(CUT_S);
        Moment cutOver = cluster.emulator.startedAt().plus(Span.seconds(CUT_S + CUT_FOR_S));
        int refused = 0;
        while (cluster.clock.now().isBefore(cutOver.minus(Span.seconds(2)))) {
            if (cluster.history.events().stream().anyMatch(e -> takesLeadership(e, "node-0"))) {
                // It is not even read where it may not be answered; else it is malformed.
                ServiceResponse report =
                        LocalCluster.await(nodes.get(0).post(WorkerCodec.HEARTBEAT_PATH, Map.of(), Span.seconds(2)));
                assertEquals(421, report.status(), "the old leader takes reports while the next one leads");
                refused++;
            }
            for (int n = 1; n <= 5; n++) {
                boolean known = cancelled.get(n - 1).isComplete();
                String told = told(ask(nodes.get(0), "run-" + n));
                assertTrue(
                        told == null || told.equals("cancelled") || !known,
                        "run-" + n + " is cancelled and is told to be " + told);
            }
            LocalCluster.await(cluster.vertx.timer(100, TimeUnit.MILLISECONDS));
        }
        for (Future<Users.Mine> job : cancelled) {
            assertEquals(JobStatus.CANCELLED, LocalCluster.await(job).status());
        }
        assertEquals(JobStatus.DONE, LocalCluster.await(stays).status());
        assertTrue(refused > 0, "nobody else led");
        until(CUT_S + 3 + CANCEL_S + 1);
        assertEquals(List.of(), cluster.breaches());
    }

    /**
     * The leader is refused alone and stands aside, and so does the one after it, back and forth; then the leader ends and is
     * back at once; another is begun anew in the election that follows; all end and one is back at once, the others later.
     */
    @Test
    void controllersHandOverAndBackAllEndAndOneReturns() throws Exception {
        open("""
                fault { kind: refuse at_s: 8 for_s: 7 from: 'node-0' to: 'state' }
                fault { kind: refuse at_s: 16 for_s: 7 from: 'node-1' to: 'state' }
                """);
        List<Future<Users.Mine>> done = new ArrayList<>();
        List<Future<Users.Mine>> cancelled = new ArrayList<>();
        done.add(cluster.run(LocalCluster.job(1, 6, 7), 0));
        for (int n = 2; n <= 4; n++) {
            cancelled.add(cancelledAt(n, 2, 9 + 4 * n));
        }
        until(8);
        assertEquals(0, leader());
        until(14.5);
        assertNotEquals(0, leader(), "node-0 stood aside");
        done.add(cluster.run(LocalCluster.job(5, 4, 6), 0));
        until(23.5);
        assertNotEquals(1, awaitLeader());
        int leads = awaitLeader();
        end(leads);
        begin(leads);
        int other = (leads + 1) % 3;
        end(other);
        begin(other);
        done.add(cluster.run(LocalCluster.job(6, 4, 5), 0));
        awaitLeader();
        cluster.awaitEvents(
                e -> e instanceof Event.Running r && r.task().job().text().equals("run-6"), 2);
        for (int n = 0; n < 3; n++) {
            end(n);
        }
        begin(other);
        awaitLeader();
        begin((other + 1) % 3);
        begin((other + 2) % 3);
        for (Future<Users.Mine> job : done) {
            assertEquals(JobStatus.DONE, LocalCluster.await(job).status());
        }
        for (Future<Users.Mine> job : cancelled) {
            assertEquals(JobStatus.CANCELLED, LocalCluster.await(job).status());
        }
        until(9 + 4 * 4 + CANCEL_S + 1);
        long taken = cluster.history.events().stream()
                .filter(e -> takesLeadership(e, ""))
                .count();
        assertTrue(taken >= 4, "leadership was taken " + taken + " times");
        assertEquals(List.of(), cluster.breaches());
    }
}
