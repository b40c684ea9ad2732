package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that cancellations cascade to dependent jobs, also across a change of leader. */
@Timeout(30)
class DependencyTaskTest {
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private final List<Leader> leaders = new ArrayList<>();
    private FakeStateService state;
    private StateClient client;

    /** The parts of a leadership term that handle jobs. */
    private final class Leader {
        final SchedulerCore core;
        final JobStore jobStore;
        final DependencyTask dependencyTask;

        Leader(long token) throws Exception {
            Revision leadershipRevision = LeaderTestSupport.gainLeadership(client, token);
            NodeContext context =
                    LeaderTestSupport.context(vertx, clock, client).build();

            core = LeaderTestSupport.core(context, token, List.of(LeaderTestSupport.TEAM));
            LeaderWriteContext writes = LeaderTestSupport.writes(context, token, leadershipRevision, 200);
            jobStore = new JobStore(writes, core, null, true, new CancellationHorizon());
            dependencyTask = new DependencyTask(writes, core, jobStore);
            leaders.add(this);
            Promise<Void> started = Promise.promise();
            vertx.runOnContext(v -> jobStore.load()
                    .onSuccess(revision -> {
                        core.onRecordsLoaded();
                        jobStore.start();
                        dependencyTask.start();
                    })
                    .<Void>mapEmpty()
                    .onComplete(started));
            await(started.future());
        }

        void stop() {
            jobStore.cancel();
            dependencyTask.cancel();
        }

        /** Returns true if no task of any job waits for a machine. */
        boolean hasNoWaitingTasks() throws Exception {
            Promise<Boolean> answer = Promise.promise();
            vertx.runOnContext(v -> answer.complete(core.summary(clock.now()).contains(" waiting=0 ")));
            return await(answer.future());
        }
    }

    @BeforeEach
    void start() throws Exception {
        state = await(new FakeStateService().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 8), new ServiceClient(vertx, state.endpoint(), 1));
    }

    @AfterEach
    void stop() throws Exception {
        leaders.forEach(Leader::stop);
        await(vertx.close());
    }

    private static JobId id(int n) {
        return new JobId("run-" + n);
    }

    private static JobSpec spec(int id, int... dependencies) {
        return LeaderTestSupport.spec(id(id), 1, "img")
                .with(JobDependencies.of(IntStream.of(dependencies)
                        .mapToObj(DependencyTaskTest::id)
                        .toList()));
    }

    private void writeOpenJob(int id, int... dependencies) throws Exception {
        writeOpenJob(spec(id, dependencies), 0);
    }

    private void writeOpenJob(JobSpec spec, int done) throws Exception {
        BitSet bits = new BitSet();
        bits.set(0, done);
        await(client.commit(new StateClient.Txn()
                .put(RecordKeys.openKey(spec.id()), JobRecordCodec.writeJob(spec, 1, JobStatus.PENDING, bits, 0, 0))));
    }

    private void finishJob(int id, JobStatus status) throws Exception {
        await(client.commit(new StateClient.Txn()
                .delete(RecordKeys.openKey(id(id)))
                .put(RecordKeys.finalKey(id(id)), JobRecordCodec.writeFinal(status, 0))));
    }

    /**
     * Spins until the condition holds. Has its own time limit, as the test's timeout does not interrupt a spinning
     * loop.
     */
    private void awaitCondition(Callable<Boolean> condition) throws Exception {
        Moment deadline = clock.now().plus(Span.seconds(20));
        while (!condition.call()) {
            assertTrue(clock.now().isBefore(deadline), "condition not met in time");
            Thread.onSpinWait();
        }
    }

    private void awaitCancelled(int... ids) throws Exception {
        for (int id : ids) {
            awaitCondition(() -> state.has(RecordKeys.finalKey(id(id))));
            assertEquals("CANCELLED", state.value(RecordKeys.finalKey(id(id))).text("status"));
            assertFalse(state.has(RecordKeys.openKey(id(id))));
        }
    }

    /** Each cancellation makes exactly two changes, also if a response is lost; dependents of open jobs stay open. */
    @Test
    void cancelsDependentsOfCancelledJob() throws Exception {
        finishJob(1, JobStatus.CANCELLED);
        writeOpenJob(2, 1);
        writeOpenJob(3, 2);
        writeOpenJob(4, 3, 9);
        writeOpenJob(5, 9);
        writeOpenJob(9);
        Leader leader = new Leader(3);
        int before = state.writtenKeys;
        state.responsesToLose = 1;
        awaitCancelled(2, 3, 4);
        assertEquals(2 * 3, state.writtenKeys - before);
        assertEquals(List.of("j/run-5", "j/run-9"), state.keys("j/"));
        finishJob(9, JobStatus.CANCELLED);
        vertx.runOnContext(v -> leader.jobStore.onOpenRecordDeleted(id(9)));
        awaitCancelled(5);
    }

    /** The first leader's other writes are executed only after it has lost the leadership, and must be rejected. */
    @Test
    void nextLeaderContinuesCascadedCancellation() throws Exception {
        finishJob(1, JobStatus.CANCELLED);
        for (int n = 2; n < 8; n++) {
            writeOpenJob(n, n - 1);
        }
        int[] written = {0};
        state.holdFilter = txn -> written[0]++ > 0;
        Leader first = new Leader(3);
        awaitCondition(() -> state.held() > 0);
        Promise<Void> stopped = Promise.promise();
        vertx.runOnContext(v -> {
            first.stop();
            stopped.complete();
        });
        await(stopped.future());
        state.holdFilter = txn -> false;
        new Leader(4);
        assertTrue(state.executeHeldTransactions().stream().allMatch(status -> status == 409));
        awaitCancelled(2, 3, 4, 5, 6, 7);
    }

    /** While the write of the completion is held back, the dependent must wait, although all tasks are completed. */
    @Test
    void dependentStartsOnlyAfterCompletionIsRecorded() throws Exception {
        state.holdFilter =
                txn -> txn.children("writes").stream().anyMatch(w -> "j/run-1".equals(w.optionalText("delete")));
        writeOpenJob(spec(1), 1);
        writeOpenJob(2, 1);
        Leader leader = new Leader(3);
        awaitCondition(() -> state.held() > 0);
        await(vertx.timer(500, TimeUnit.MILLISECONDS));
        assertTrue(leader.hasNoWaitingTasks());
        state.holdFilter = txn -> false;
        state.executeHeldTransactions();
        awaitCondition(() -> !leader.hasNoWaitingTasks());
        assertEquals("DONE", state.value("f/run-1").text("status"));
    }

    /**
     * A missing dependency is neither done nor cancelled; its dependents continue once its final record is restored.
     */
    @Test
    void missingDependencyBlocksDependents() throws Exception {
        writeOpenJob(2, 1);
        Leader leader = new Leader(3);
        int before = state.transactionCount;
        awaitCondition(() -> state.transactionCount > before);
        assertTrue(leader.hasNoWaitingTasks());
        assertFalse(client.losses().isLossPending());
        finishJob(1, JobStatus.DONE);
        awaitCondition(() -> !leader.hasNoWaitingTasks());
    }
}
