package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.JobCodec;
import io.indigoreach.api.JobService;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.Settings;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.SchedulerListener;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A cancellation, a question and a repeated submission meet the end of a job's last task, with no other trouble: the job is done or
 * cancelled, one of them, for ever and at every node. Each controller has a way of its own to the state service, on which
 * requests are held to bring an order about; all run on one event loop.
 */
class LastTaskTest {
    private static final JobId JOB = new JobId("run-1");
    private static final Team TEAM = new Team("t", 0, 0, 0, 0);
    private static final MachineType TYPE =
            new MachineType("quad", new Demand(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
    /** More ends than are written at once: then an end goes into the open job's record first. */
    private static final int CROWD = 8;

    private static final SchedulerListener SILENT = new SchedulerListener() {
        @Override
        public void taskCompleted(Job job) {}

        @Override
        public void log(String line) {}
    };

    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final SteadyClock clock = new SteadyClock();
    /** Vert.x closes a client that nothing refers to any more. */
    private final List<Object> kept = new ArrayList<>();

    private final StateStandIn service = new StateStandIn();
    private StateClient leader;
    private Catalogue catalogue;
    private SchedulerCore core;
    private JobStore ledger;

    @BeforeEach
    void start() throws Exception {
        await(() -> service.listen(vertx));
        leader = client("leader");
        catalogue = keep(
                new Catalogue(vertx, leader, new CloudClient(keep(new ServiceClient(vertx, service.endpoint(), 1)))));
        Revision key = await(() -> leader.commit(new StateClient.Txn()
                        .put(RecordCodec.CATALOGUE, RecordCodec.writeCatalogue(List.of(TYPE)))
                        .put(RecordCodec.LEADER, MessagePackFormat.map("t", 1L))))
                .stamp();
        await(() -> {
            catalogue.start();
            return Future.succeededFuture();
        });
        until(catalogue::isKnown);
        LeadershipTerm.Context context = new LeadershipTerm.Context(
                vertx,
                clock,
                null,
                leader,
                null,
                catalogue,
                MachineStoreTest.config(),
                Settings.standard(),
                Span.seconds(10));
        core = new SchedulerCore(
                new FencingToken(3),
                context.config().rules(),
                context.settings().tuning(),
                new ServiceLevelObjectives(List.of()),
                List.of(TEAM),
                SILENT);
        core.setTypes(List.of(TYPE));
        core.recordsLoaded();
        ledger = new JobStore(
                context, core, null, key, () -> {}, new RateLimiter(100, clock.now()), true, new CancellationHorizon());
    }

    @AfterEach
    void stop() throws Exception {
        await(() -> {
            ledger.cancel();
            return vertx.close();
        });
    }

    private <T> T keep(T what) {
        kept.add(what);
        return what;
    }

    private <T> Future<T> ask(Supplier<Future<T>> what) {
        Promise<T> answer = Promise.promise();
        loop.runOnContext(v -> what.get().onComplete(answer));
        return answer.future();
    }

    private <T> T await(Supplier<Future<T>> what) throws Exception {
        return await(ask(what));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** As seen on the loop. */
    private void until(BooleanSupplier holds) throws Exception {
        Moment end = clock.now().plus(Span.seconds(20));
        while (!await(() -> Future.succeededFuture(holds.getAsBoolean()))) {
            assertTrue(clock.now().isBefore(end), "in vain");
        }
    }

    private StateClient client(String node) throws Exception {
        Endpoint door = await(() -> service.door(vertx, node));
        return keep(new StateClient(keep(new ServiceClient(vertx, door, 4)), keep(new ServiceClient(vertx, door, 1))));
    }

    private JobService desk(String node) throws Exception {
        StateClient client = client(node);
        return new JobService(
                vertx, client, new JobRepairer(client, clock), catalogue, List.of(TEAM), clock, 8192, 100);
    }

    private static JobSpec spec(JobId id) {
        return JobSpec.builder(id)
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
                .build();
    }

    /** A job whose one task has ended, as its leader has just seen. */
    private void ended(JobId id) throws Exception {
        Revision stamp = await(() -> leader.commit(new StateClient.Txn().put(RecordCodec.openKey(id), record(id))))
                .stamp();
        BitSet done = new BitSet();
        done.set(0);
        Job job = new Job(spec(id), 1, clock.now(), stamp, done, 1, false);
        core.addJob(job);
        ledger.markDirty(job);
    }

    private static Map<String, Object> record(JobId id) {
        return RecordCodec.writeJob(spec(id), 1, JobStatus.RUNNING, new BitSet(), 1, 1);
    }

    private boolean isEnded() {
        return service.has(RecordCodec.finalKey(JOB))
                || RecordCodec.readJob(JOB, service.value(RecordCodec.openKey(JOB)), Revision.ABSENT)
                                .status()
                        == JobStatus.DONE;
    }

    private static String word(ApiResponse answer) {
        return answer.status() + " " + answer.body().get("status");
    }

    private Future<ApiResponse> submit(JobService desk) {
        return ask(() -> desk.submit(MessagePackFormat.write(JobCodec.write(spec(JOB)))));
    }

    /** {@code held}: whose changes to the job wait while the other's is made, after both have read it. */
    @ParameterizedTest
    @CsvSource({
        "nobody, false, done",
        "nobody, true, done",
        "the user, false, done",
        "the user, true, done",
        "the leader, false, cancelled",
        "the leader, true, cancelled"
    })
    void oneWordForEver(String held, boolean crowded, String told) throws Exception {
        JobService a = desk("a");
        JobService b = desk("b");
        ended(JOB);
        for (int n = 2; crowded && n < CROWD; n++) {
            ended(new JobId("run-" + n));
        }
        Fields before = MessagePackFormat.readMap(MessagePackFormat.write(record(JOB)));
        // Those at the other node have come already, and are looked after when it is over.
        service.delaying = (door, path) -> door.equals("b")
                || (path.equals("/txn") && (door.equals("a") ? held.equals("the user") : held.equals("the leader")));
        Future<ApiResponse> question = ask(() -> b.query(JOB.text()));
        Future<ApiResponse> repeated = submit(b);
        until(() -> service.delayed() == 2);
        Future<ApiResponse> cancellation = null;
        if (held.equals("the user")) {
            cancellation = ask(() -> a.cancel(JOB.text()));
            until(() -> service.delayed() == 3);
        }
        loop.runOnContext(v -> ledger.start());
        if (held.equals("the leader")) {
            until(() -> service.delayed() >= 3);
        } else {
            until(this::isEnded);
        }
        if (!held.equals("the user")) {
            cancellation = ask(() -> a.cancel(JOB.text()));
            await(cancellation);
        }
        loop.runOnContext(v -> {
            service.delaying = (door, path) -> false;
            service.letThrough();
        });
        assertEquals("200 " + told, word(await(cancellation)));
        assertEquals("200 " + told, word(await(question)));
        assertEquals("200 " + told, word(await(repeated)));
        until(() -> core.job(JOB) == null);
        for (JobService desk : List.of(a, b, desk("begun since"))) {
            assertEquals("200 " + told, word(await(() -> desk.query(JOB.text()))));
            assertEquals("200 " + told, word(await(submit(desk))));
            assertEquals("200 " + told, word(await(() -> desk.cancel(JOB.text()))));
        }
        loop.runOnContext(v -> ledger.onOpenRecordWritten(JOB, before, new Revision(11)));
        until(() -> !service.has(RecordCodec.openKey(JOB)));
        assertNull(core.job(JOB), "nothing of it can be started");
    }
}
