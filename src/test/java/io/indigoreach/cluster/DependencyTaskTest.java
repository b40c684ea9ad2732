package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.Settings;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.SchedulerListener;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
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

/** A leader's writes for chained jobs, and what the next leader makes of those that were cut short. */
@Timeout(30)
class DependencyTaskTest {
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private final List<Leader> leaders = new ArrayList<>();
    private StateStandIn state;
    private StateClient client;

    /** One leadership, as far as it serves jobs. */
    private final class Leader {
        final SchedulerCore core;
        final JobStore ledger;
        final DependencyTask chains;

        Leader(long token) throws Exception {
            Revision key = await(client.commit(
                            new StateClient.Txn().put(RecordCodec.LEADER, MessagePackFormat.map("t", token))))
                    .stamp();
            LeadershipTerm.Context context = new LeadershipTerm.Context(
                    vertx,
                    clock,
                    null,
                    client,
                    null,
                    null,
                    MachineStoreTest.config(),
                    Settings.standard(),
                    Span.seconds(10));
            core = new SchedulerCore(
                    new FencingToken(token),
                    MachineStoreTest.config().rules(),
                    Settings.standard().tuning(),
                    new ServiceLevelObjectives(List.of()),
                    List.of(new Team("t", 0, 0, 0, 0)),
                    new SchedulerListener() {
                        @Override
                        public void taskCompleted(Job job) {}

                        @Override
                        public void log(String line) {}
                    });
            RateLimiter limiter = new RateLimiter(200, clock.now());
            ledger = new JobStore(context, core, null, key, () -> {}, limiter, true, new CancellationHorizon());
            chains = new DependencyTask(context, core, ledger, key, () -> {}, limiter);
            leaders.add(this);
            Promise<Void> begun = Promise.promise();
            vertx.runOnContext(v -> ledger.load()
                    .onSuccess(revision -> {
                        core.recordsLoaded();
                        ledger.start();
                        chains.start();
                    })
                    .<Void>mapEmpty()
                    .onComplete(begun));
            await(begun.future());
        }

        void stop() {
            ledger.cancel();
            chains.cancel();
        }

        /** No task of any job waits for a machine. */
        boolean holdsAll() throws Exception {
            Promise<Boolean> answer = Promise.promise();
            vertx.runOnContext(v -> answer.complete(core.summary().contains(" waiting=0 ")));
            return await(answer.future());
        }
    }

    @BeforeEach
    void start() throws Exception {
        state = await(new StateStandIn().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 8), new ServiceClient(vertx, state.endpoint(), 1));
    }

    @AfterEach
    void stop() throws Exception {
        leaders.forEach(Leader::stop);
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static JobId id(int n) {
        return new JobId("run-" + n);
    }

    private static JobSpec spec(int id, int... needs) {
        return JobSpec.builder(id(id))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(1)
                .demand(new Demand(1, 0, 1))
                .image("img")
                .imageGb(0)
                .spotAllowed()
                .estimate(Span.seconds(10))
                .build()
                .with(JobDependencies.of(
                        IntStream.of(needs).mapToObj(DependencyTaskTest::id).toList()));
    }

    private void open(int id, int... needs) throws Exception {
        open(spec(id, needs), 0);
    }

    private void open(JobSpec spec, int done) throws Exception {
        BitSet bits = new BitSet();
        bits.set(0, done);
        await(client.commit(new StateClient.Txn()
                .put(RecordCodec.openKey(spec.id()), RecordCodec.writeJob(spec, 1, JobStatus.PENDING, bits, 0, 0))));
    }

    private void over(int id, JobStatus status) throws Exception {
        await(client.commit(new StateClient.Txn()
                .delete(RecordCodec.openKey(id(id)))
                .put(RecordCodec.finalKey(id(id)), RecordCodec.writeFinal(status, 0))));
    }

    /** A spinning loop takes no notice of the test's own limit: it is bounded here. */
    private void until(Callable<Boolean> reached) throws Exception {
        Moment end = clock.now().plus(Span.seconds(20));
        while (!reached.call()) {
            assertTrue(clock.now().isBefore(end), "not reached");
            Thread.onSpinWait();
        }
    }

    private void awaitCancelled(int... ids) throws Exception {
        for (int id : ids) {
            until(() -> state.has(RecordCodec.finalKey(id(id))));
            assertEquals("CANCELLED", state.value(RecordCodec.finalKey(id(id))).text("status"));
            assertFalse(state.has(RecordCodec.openKey(id(id))));
        }
    }

    /** Two changes each, also where the answer is lost; what waits for another job stays. */
    @Test
    void whatIsBelowACancelledJobIsEnded() throws Exception {
        over(1, JobStatus.CANCELLED);
        open(2, 1);
        open(3, 2);
        open(4, 3, 9);
        open(5, 9);
        open(9);
        Leader leader = new Leader(3);
        int before = state.changed;
        state.losingAnswers = 1;
        awaitCancelled(2, 3, 4);
        assertEquals(2 * 3, state.changed - before);
        assertEquals(List.of("j/run-5", "j/run-9"), state.keys("j/"));
        over(9, JobStatus.CANCELLED);
        vertx.runOnContext(v -> leader.ledger.onOpenRecordDeleted(id(9)));
        awaitCancelled(5);
    }

    /** The first leader gets one write through, and others that are executed when it leads no more. */
    @Test
    void theNextLeaderGoesOnWithACascade() throws Exception {
        over(1, JobStatus.CANCELLED);
        for (int n = 2; n < 8; n++) {
            open(n, n - 1);
        }
        int[] written = {0};
        state.holding = txn -> written[0]++ > 0;
        Leader first = new Leader(3);
        until(() -> state.held() > 0);
        Promise<Void> ended = Promise.promise();
        vertx.runOnContext(v -> {
            first.stop();
            ended.complete();
        });
        await(ended.future());
        state.holding = txn -> false;
        new Leader(4);
        assertTrue(state.executeLate().stream().allMatch(status -> status == 409));
        awaitCancelled(2, 3, 4, 5, 6, 7);
    }

    /** The leader knows that all tasks are done, and the write that says so has not arrived: the job after it waits. */
    @Test
    void aJobIsReleasedByAnEndThatIsWritten() throws Exception {
        state.holding =
                txn -> txn.children("writes").stream().anyMatch(w -> "j/run-1".equals(w.optionalText("delete")));
        open(spec(1), 1);
        open(2, 1);
        Leader leader = new Leader(3);
        until(() -> state.held() > 0);
        await(vertx.timer(500, TimeUnit.MILLISECONDS));
        assertTrue(leader.holdsAll());
        state.holding = txn -> false;
        state.executeLate();
        until(() -> !leader.holdsAll());
        assertEquals("DONE", state.value("f/run-1").text("status"));
    }

    /** Neither done nor cancelled may be said of it: as soon as its end is known again, the chain goes on. */
    @Test
    void aNeedThatIsInNoRecordHoldsWhatNeedsIt() throws Exception {
        open(2, 1);
        Leader leader = new Leader(3);
        int before = state.transactions;
        until(() -> state.transactions > before);
        assertTrue(leader.holdsAll());
        assertFalse(client.losses().isHolding());
        over(1, JobStatus.DONE);
        until(() -> !leader.holdsAll());
    }
}
