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
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
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
 * A cancellation, a query and a repeated submission race with the completion of a job's last task, without other faults. The
 * job must end as either done or cancelled, and every node must report the same outcome from then on. Each controller has its
 * own connection to the state service, on which the test delays requests to produce each order; all run on one event loop.
 */
class CompletionRaceTest {
    private static final JobId JOB = new JobId("run-1");
    private static final Team TEAM = LeaderTestSupport.TEAM;
    private static final MachineType MACHINE_TYPE = LeaderTestSupport.quadCoreType();
    /**
     * Exclusive upper bound of the job numbers in a burst. The 7 completions exceed the maximum number of writes in
     * flight, so a completion is first written to the open job's record.
     */
    private static final int COMPLETION_BURST = 8;

    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final SteadyClock clock = new SteadyClock();
    /** Strong references, as Vert.x closes a client that is no longer referenced. */
    private final List<Object> strongReferences = new ArrayList<>();

    private final FakeStateService service = new FakeStateService();
    private StateClient leader;
    private Catalogue catalogue;
    private SchedulerCore core;
    private JobStore jobStore;

    @BeforeEach
    void start() throws Exception {
        awaitOnLoop(() -> service.listen(vertx));
        leader = newStateClient("leader");
        catalogue = keepReachable(new Catalogue(
                vertx, leader, new CloudClient(keepReachable(new ServiceClient(vertx, service.endpoint(), 1)))));
        Revision leadershipRevision = awaitOnLoop(() -> leader.commit(new StateClient.Txn()
                        .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(List.of(MACHINE_TYPE)))
                        .put(RecordKeys.LEADER, MessagePackFormat.map("t", 1L))))
                .writtenRevision();
        awaitOnLoop(() -> {
            catalogue.start();
            return Future.succeededFuture();
        });
        awaitCondition(catalogue::isKnown);
        NodeContext context = LeaderTestSupport.context(vertx, clock, leader)
                .catalogue(catalogue)
                .build();

        core = LeaderTestSupport.loadedCore(context, 3, MACHINE_TYPE);
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

    private <T> T keepReachable(T object) {
        strongReferences.add(object);
        return object;
    }

    private <T> Future<T> runOnLoop(Supplier<Future<T>> request) {
        Promise<T> response = Promise.promise();
        loop.runOnContext(v -> request.get().onComplete(response));
        return response.future();
    }

    private <T> T awaitOnLoop(Supplier<Future<T>> request) throws Exception {
        return await(runOnLoop(request));
    }

    /** Waits until the condition, evaluated on the event loop, is true. */
    private void awaitCondition(BooleanSupplier condition) throws Exception {
        Moment deadline = clock.now().plus(Span.seconds(20));
        while (!awaitOnLoop(() -> Future.succeededFuture(condition.getAsBoolean()))) {
            assertTrue(clock.now().isBefore(deadline), "the condition was not met within 20 s");
        }
    }

    private StateClient newStateClient(String node) throws Exception {
        Endpoint endpoint = awaitOnLoop(() -> service.addEndpoint(vertx, node));
        return keepReachable(new StateClient(
                keepReachable(new ServiceClient(vertx, endpoint, 4)),
                keepReachable(new ServiceClient(vertx, endpoint, 1))));
    }

    private JobService newJobService(String node) throws Exception {
        StateClient client = newStateClient(node);
        return new JobService(new JobService.Context(
                vertx, client, new JobRepairer(client, clock), catalogue, List.of(TEAM), clock, 8192, 100));
    }

    private static JobSpec spec(JobId id) {
        return LeaderTestSupport.spec(id, 1, "img");
    }

    /** Adds a job whose only task has completed, which the leader has not recorded yet. */
    private void addCompletedJob(JobId id) throws Exception {
        Revision revision = awaitOnLoop(
                        () -> leader.commit(new StateClient.Txn().put(RecordKeys.openKey(id), encodeOpenRecord(id))))
                .writtenRevision();
        BitSet done = new BitSet();
        done.set(0);
        Job job = new Job(spec(id), 1, clock.now(), revision, done, 1, false);
        core.addJob(job);
        jobStore.scheduleWrite(job);
    }

    private static Map<String, Object> encodeOpenRecord(JobId id) {
        return JobRecordCodec.writeJob(spec(id), 1, JobStatus.RUNNING, new BitSet(), 1, 1);
    }

    private boolean isFinished() {
        return service.has(RecordKeys.finalKey(JOB))
                || JobRecordCodec.readJob(JOB, service.value(RecordKeys.openKey(JOB)), Revision.ABSENT)
                                .status()
                        == JobStatus.DONE;
    }

    private static String statusOf(ApiResponse response) {
        return response.status() + " " + response.body().get("status");
    }

    private Future<ApiResponse> submit(JobService jobService) {
        return runOnLoop(() -> jobService.submit(MessagePackFormat.write(JobCodec.write(spec(JOB)))));
    }

    /**
     * @param delayedWriter the writer (user or leader) whose change is delayed: both read the job, then the other
     *     writer's change is executed first
     */
    @ParameterizedTest
    @CsvSource({
        "none, false, done",
        "none, true, done",
        "the user, false, done",
        "the user, true, done",
        "the leader, false, cancelled",
        "the leader, true, cancelled"
    })
    void allNodesReportTheSameOutcome(String delayedWriter, boolean completionBurst, String expected) throws Exception {
        JobService serviceA = newJobService("a");
        JobService serviceB = newJobService("b");
        addCompletedJob(JOB);
        for (int n = 2; completionBurst && n < COMPLETION_BURST; n++) {
            addCompletedJob(new JobId("run-" + n));
        }
        Fields openRecord = MessagePackFormat.readMap(MessagePackFormat.write(encodeOpenRecord(JOB)));
        // The query and the repeated submission arrive at node b now, and are executed after the job has finished.
        service.delayFilter = (door, path) -> door.equals("b")
                || (path.equals("/txn")
                        && (door.equals("a") ? delayedWriter.equals("the user") : delayedWriter.equals("the leader")));
        Future<ApiResponse> query = runOnLoop(() -> serviceB.query(JOB.text()));
        Future<ApiResponse> repeatedSubmission = submit(serviceB);
        awaitCondition(() -> service.delayed() == 2);
        Future<ApiResponse> cancellation = null;
        if (delayedWriter.equals("the user")) {
            cancellation = runOnLoop(() -> serviceA.cancel(JOB.text()));
            awaitCondition(() -> service.delayed() == 3);
        }
        loop.runOnContext(v -> jobStore.start());
        if (delayedWriter.equals("the leader")) {
            awaitCondition(() -> service.delayed() >= 3);
        } else {
            awaitCondition(this::isFinished);
        }
        if (!delayedWriter.equals("the user")) {
            cancellation = runOnLoop(() -> serviceA.cancel(JOB.text()));
            await(cancellation);
        }
        loop.runOnContext(v -> {
            service.delayFilter = (door, path) -> false;
            service.executeDelayed();
        });
        assertEquals("200 " + expected, statusOf(await(cancellation)));
        assertEquals("200 " + expected, statusOf(await(query)));
        assertEquals("200 " + expected, statusOf(await(repeatedSubmission)));
        awaitCondition(() -> core.job(JOB) == null);
        for (JobService jobService : List.of(serviceA, serviceB, newJobService("started-later"))) {
            assertEquals("200 " + expected, statusOf(awaitOnLoop(() -> jobService.query(JOB.text()))));
            assertEquals("200 " + expected, statusOf(await(submit(jobService))));
            assertEquals("200 " + expected, statusOf(awaitOnLoop(() -> jobService.cancel(JOB.text()))));
        }
        loop.runOnContext(v -> jobStore.onOpenRecordWritten(JOB, openRecord, new Revision(11)));
        awaitCondition(() -> !service.has(RecordKeys.openKey(JOB)));
        assertNull(core.job(JOB), "a delayed write must not open the job again");
    }
}
