package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.JobCodec;
import io.indigoreach.api.JobService;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
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
    private static final Team TEAM = LeaderTestSupport.TEAM;
    private static final MachineType TYPE = LeaderTestSupport.quadCoreType();
    /** More ends than are written at once: then an end goes into the open job's record first. */
    private static final int CROWD = 8;

    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final SteadyClock clock = new SteadyClock();
    /** Vert.x closes a client that nothing refers to any more. */
    private final List<Object> kept = new ArrayList<>();

    private final StateStandIn service = new StateStandIn();
    private StateClient leader;
    private Catalogue catalogue;
    private SchedulerCore core;
    private JobStore jobStore;

    @BeforeEach
    void start() throws Exception {
        awaitOnLoop(() -> service.listen(vertx));
        leader = client("leader");
        catalogue = keep(
                new Catalogue(vertx, leader, new CloudClient(keep(new ServiceClient(vertx, service.endpoint(), 1)))));
        Revision leadershipRevision = awaitOnLoop(() -> leader.commit(new StateClient.Txn()
                        .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(List.of(TYPE)))
                        .put(RecordKeys.LEADER, MessagePackFormat.map("t", 1L))))
                .writtenRevision();
        awaitOnLoop(() -> {
            catalogue.start();
            return Future.succeededFuture();
        });
        until(catalogue::isKnown);
        NodeContext context = LeaderTestSupport.context(vertx, clock, leader)
                .catalogue(catalogue)
                .build();

        core = LeaderTestSupport.loadedCore(context, 3, TYPE);
        jobStore = new JobStore(
                LeaderTestSupport.writes(context, 3, leadershipRevision, 100),
                core,
                null,
                true,
                new CancellationHorizon());
    }

    @AfterEach
    void stop() throws Exception {
        awaitOnLoop(() -> {
            jobStore.cancel();
            return vertx.close();
        });
    }

    private <T> T keep(T object) {
        kept.add(object);
        return object;
    }

    private <T> Future<T> ask(Supplier<Future<T>> request) {
        Promise<T> answer = Promise.promise();
        loop.runOnContext(v -> request.get().onComplete(answer));
        return answer.future();
    }

    private <T> T awaitOnLoop(Supplier<Future<T>> request) throws Exception {
        return await(ask(request));
    }

    /** As seen on the loop. */
    private void until(BooleanSupplier holds) throws Exception {
        Moment end = clock.now().plus(Span.seconds(20));
        while (!awaitOnLoop(() -> Future.succeededFuture(holds.getAsBoolean()))) {
            assertTrue(clock.now().isBefore(end), "in vain");
        }
    }

    private StateClient client(String node) throws Exception {
        Endpoint endpoint = awaitOnLoop(() -> service.door(vertx, node));
        return keep(new StateClient(
                keep(new ServiceClient(vertx, endpoint, 4)), keep(new ServiceClient(vertx, endpoint, 1))));
    }

    private JobService jobService(String node) throws Exception {
        StateClient client = client(node);
        return new JobService(new JobService.Context(
                vertx, client, new JobRepairer(client, clock), catalogue, List.of(TEAM), clock, 8192, 100));
    }

    private static JobSpec spec(JobId id) {
        return LeaderTestSupport.spec(id, 1, "img");
    }

    /** A job whose one task has ended, as its leader has just seen. */
    private void addCompleted(JobId id) throws Exception {
        Revision stamp = awaitOnLoop(() -> leader.commit(new StateClient.Txn().put(RecordKeys.openKey(id), record(id))))
                .writtenRevision();
        BitSet done = new BitSet();
        done.set(0);
        Job job = new Job(spec(id), 1, clock.now(), stamp, done, 1, false);
        core.addJob(job);
        jobStore.markDirty(job);
    }

    private static Map<String, Object> record(JobId id) {
        return JobRecordCodec.writeJob(spec(id), 1, JobStatus.RUNNING, new BitSet(), 1, 1);
    }

    private boolean isFinished() {
        return service.has(RecordKeys.finalKey(JOB))
                || JobRecordCodec.readJob(JOB, service.value(RecordKeys.openKey(JOB)), Revision.ABSENT)
                                .status()
                        == JobStatus.DONE;
    }

    private static String statusOf(ApiResponse answer) {
        return answer.status() + " " + answer.body().get("status");
    }

    private Future<ApiResponse> submit(JobService jobService) {
        return ask(() -> jobService.submit(MessagePackFormat.write(JobCodec.write(spec(JOB)))));
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
    void allNodesReportTheSameOutcomeForever(String held, boolean crowded, String expected) throws Exception {
        JobService a = jobService("a");
        JobService b = jobService("b");
        addCompleted(JOB);
        for (int n = 2; crowded && n < CROWD; n++) {
            addCompleted(new JobId("run-" + n));
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
        loop.runOnContext(v -> jobStore.start());
        if (held.equals("the leader")) {
            until(() -> service.delayed() >= 3);
        } else {
            until(this::isFinished);
        }
        if (!held.equals("the user")) {
            cancellation = ask(() -> a.cancel(JOB.text()));
            await(cancellation);
        }
        loop.runOnContext(v -> {
            service.delaying = (door, path) -> false;
            service.letThrough();
        });
        assertEquals("200 " + expected, statusOf(await(cancellation)));
        assertEquals("200 " + expected, statusOf(await(question)));
        assertEquals("200 " + expected, statusOf(await(repeated)));
        until(() -> core.job(JOB) == null);
        for (JobService jobService : List.of(a, b, jobService("begun since"))) {
            assertEquals("200 " + expected, statusOf(awaitOnLoop(() -> jobService.query(JOB.text()))));
            assertEquals("200 " + expected, statusOf(await(submit(jobService))));
            assertEquals("200 " + expected, statusOf(awaitOnLoop(() -> jobService.cancel(JOB.text()))));
        }
        loop.runOnContext(v -> jobStore.onOpenRecordWritten(JOB, before, new Revision(11)));
        until(() -> !service.has(RecordKeys.openKey(JOB)));
        assertNull(core.job(JOB), "nothing of it can be started");
    }
}
