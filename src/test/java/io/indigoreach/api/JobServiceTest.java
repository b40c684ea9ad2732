package io.indigoreach.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the users' interface over HTTP with two nodes that share a fake state service. */
class JobServiceTest {
    private static final Span REQUEST_TIMEOUT = Span.seconds(10);
    private final Vertx vertx = Vertx.vertx();
    /** Strong references to all clients: Vert.x closes a client that is no longer reachable, even during a request. */
    private final List<Object> retained = new ArrayList<>();

    private final List<JobService> services = new ArrayList<>();
    private FakeStateService stateService;
    private Endpoint first;
    private Endpoint second;

    @BeforeEach
    void startNodes() throws Exception {
        stateService = await(new FakeStateService().listen(vertx));
        MachineType type =
                new MachineType("quad", new Resources(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
        await(client().commit(new StateClient.Txn()
                .when(RecordKeys.CATALOGUE, Revision.ABSENT)
                .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(List.of(type)))));
        first = startNode();
        second = startNode();
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private StateClient client() {
        return retain(new StateClient(
                new ServiceClient(vertx, stateService.endpoint(), 4),
                new ServiceClient(vertx, stateService.endpoint(), 1)));
    }

    private <T> T retain(T client) {
        retained.add(client);
        return client;
    }

    private Endpoint startNode() throws Exception {
        return startNode(100);
    }

    private Endpoint startNode(double queriesPerSecond) throws Exception {
        Catalogue catalogue =
                new Catalogue(vertx, client(), new CloudClient(new ServiceClient(vertx, stateService.endpoint(), 1)));
        StateClient state = client();
        JobService jobs = new JobService(new JobService.Context(
                vertx,
                state,
                new JobRepairer(state, new SteadyClock()),
                catalogue,
                List.of(new Team("t", 0, 0, 0, 0)),
                new SteadyClock(),
                8192,
                queriesPerSecond));
        services.add(jobs);
        Endpoint anyPort = new Endpoint("127.0.0.1", 0);
        Endpoint endpoint = new Endpoint(
                "127.0.0.1",
                await(retain(new HttpApi(new HttpApi.Context(vertx, anyPort, jobs, null, catalogue::isKnown, Map.of())))
                        .open()));
        catalogue.start();
        while (call(endpoint, HttpMethod.GET, "/ready", null).status() != 200) {
            Thread.onSpinWait();
        }
        return endpoint;
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get();
    }

    private ServiceResponse call(Endpoint endpoint, HttpMethod method, String path, Map<String, Object> body)
            throws Exception {
        ServiceClient client = retain(new ServiceClient(vertx, endpoint, 1));
        return await(
                method.equals(HttpMethod.GET)
                        ? client.get(path, REQUEST_TIMEOUT)
                        : method.equals(HttpMethod.DELETE)
                                ? client.delete(path, REQUEST_TIMEOUT)
                                : client.post(path, body, REQUEST_TIMEOUT));
    }

    private String status(ServiceResponse response) {
        return response.status() + " " + response.body().optionalText("status");
    }

    /**
     * Optional fields are stored with the job. A node without a participant for a field rejects the job instead of ignoring the
     * field.
     */
    @Test
    void optionalFieldWithoutParticipantIsRejected() throws Exception {
        Map<String, Object> job = JobCodecTest.job();
        job.put("records", Map.of("group", "g"));
        ServiceResponse response = call(first, HttpMethod.POST, "/api/jobs", job);
        assertEquals(422, response.status());
        assertEquals("records: this is not switched on here", response.body().optionalText("error"));
        JobSpec spec = JobCodec.read(MessagePackFormat.readMap(MessagePackFormat.write(job)));
        assertEquals(Map.of("records", Map.of("group", "g")), spec.extensions());
        assertEquals(
                spec,
                JobRecordCodec.readJob(
                                spec.id(),
                                MessagePackFormat.readMap(MessagePackFormat.write(JobRecordCodec.writeJob(
                                        spec, 1, JobStatus.PENDING, new java.util.BitSet(), 0, 0))),
                                Revision.ABSENT)
                        .spec());
    }

    /**
     * The cancellation writes only the final record and deletes the open one; there may be more completion blocks than a
     * transaction can delete.
     */
    @Test
    void largeJobIsCancelledWithTwoWrites() throws Exception {
        Map<String, Object> job = JobCodecTest.job();
        job.put("pieces", 100_000L);
        assertEquals("201 pending", status(call(first, HttpMethod.POST, "/api/jobs", job)));
        stateService.maxTxnOps = 2;
        assertEquals("200 cancelled", status(call(second, HttpMethod.POST, "/api/jobs/run-000412/cancel", Map.of())));
        assertEquals("200 cancelled", status(call(first, HttpMethod.GET, "/api/jobs/run-000412", null)));
    }

    /**
     * A job whose record exceeds the limit in the settings or of the state service is rejected. A job accepted earlier stays
     * accepted.
     */
    @ParameterizedTest
    @CsvSource({"62, 8192, 422", "20, 8192, 201", "20, 2048, 422"})
    void specificationTooLargeForARecordIsRejected(int otherTypes, int valueBytes, int expected) throws Exception {
        Map<String, Object> job = JobCodecTest.job();
        List<Object> types = new ArrayList<>((List<?>) job.get("boxkinds"));
        types.addAll(java.util.Collections.nCopies(otherTypes, "k".repeat(100)));
        job.put("boxkinds", types);
        stateService.maxValueBytes = valueBytes;
        assertEquals(expected, call(first, HttpMethod.POST, "/api/jobs", job).status());
        stateService.maxValueBytes = 512;
        int again = call(second, HttpMethod.POST, "/api/jobs", job).status();
        assertEquals(expected == 201 ? 200 : 422, again);
    }

    @Test
    void jobHasTheSameStatusAtEveryNode() throws Exception {
        assertEquals("404 null", status(call(second, HttpMethod.GET, "/api/jobs/run-000412", null)));
        assertEquals("201 pending", status(call(first, HttpMethod.POST, "/api/jobs", JobCodecTest.job())));
        assertEquals("200 pending", status(call(second, HttpMethod.POST, "/api/jobs", JobCodecTest.job())));
        assertEquals("200 pending", status(call(second, HttpMethod.GET, "/api/jobs/run-000412", null)));
        assertEquals("200 cancelled", status(call(second, HttpMethod.POST, "/api/jobs/run-000412/cancel", Map.of())));
        assertEquals("200 cancelled", status(call(first, HttpMethod.GET, "/api/jobs/run-000412", null)));
        assertEquals("200 cancelled", status(call(first, HttpMethod.POST, "/api/jobs", JobCodecTest.job())));
    }

    private Map<String, Object> withDependencies(Object... ids) {
        Map<String, Object> job = JobCodecTest.job();
        job.put("waits_on", List.of(ids));
        return job;
    }

    private void createDependency(String state) throws Exception {
        Map<String, Object> job = JobCodecTest.job();
        job.put("id", "run-1");
        if (state.equals("service")) {
            job.put("shape", "service");
            job.put("pieces", 1);
        }
        if (!state.equals("absent")) {
            call(second, HttpMethod.POST, "/api/jobs", job);
        }
        if (state.equals("done") || state.equals("cancelled")) {
            await(client().commit(new StateClient.Txn()
                    .delete("j/run-1")
                    .put("f/run-1", JobRecordCodec.writeFinal(JobStatus.valueOf(state.toUpperCase(Locale.ROOT)), 0))));
        }
        stateService.unavailable = state.equals("refused");
    }

    /** Columns: the state of the dependency, the response to the submission, and the response to later queries. */
    @ParameterizedTest
    @CsvSource({
        "open, 201 pending, 200 pending",
        "done, 201 pending, 200 pending",
        "cancelled, 201 pending, 200 cancelled",
        "service, 422 null, 404 null",
        "absent, 422 null, 404 null",
        "refused, 503 null, 503 null"
    })
    void jobMayDependOnAnyAcceptedJob(String state, String submissionResponse, String queryResponse) throws Exception {
        createDependency(state);
        assertEquals(submissionResponse, status(call(first, HttpMethod.POST, "/api/jobs", withDependencies("run-1"))));
        assertEquals(queryResponse, status(call(first, HttpMethod.GET, "/api/jobs/run-000412", null)));
        assertEquals(queryResponse, status(call(second, HttpMethod.GET, "/api/jobs/run-000412", null)));
    }

    /**
     * A repeated submission does not change the dependencies. Jobs with dependencies are rejected until all nodes support them.
     */
    @Test
    void dependenciesAreThoseOfTheFirstSubmission() throws Exception {
        createDependency("open");
        services.get(0).setDependencySupportCheck(() -> Future.succeededFuture(false));
        assertEquals(
                503,
                call(first, HttpMethod.POST, "/api/jobs", withDependencies("run-1"))
                        .status());
        assertEquals("201 pending", status(call(second, HttpMethod.POST, "/api/jobs", withDependencies("run-1"))));
        for (Endpoint node : List.of(first, second)) {
            assertEquals("200 pending", status(call(node, HttpMethod.POST, "/api/jobs", withDependencies("run-404"))));
        }
        assertEquals(
                List.of(new JobId("run-1")),
                JobRecordCodec.readJob(new JobId("run-000412"), stateService.value("j/run-000412"), Revision.ABSENT)
                        .spec()
                        .dependencies()
                        .requiredJobs());
    }

    /**
     * A dependency was cancelled, but no leader has cascaded it. A node that cannot rely on the leader (here: it has
     * just started) checks direct and indirect dependencies itself; other nodes read only the job's own record.
     */
    @Test
    void staleNodeChecksDependenciesBeforeItResponds() throws Exception {
        createDependency("open");
        Map<String, Object> intermediate = withDependencies("run-1");
        intermediate.put("id", "run-2");
        call(second, HttpMethod.POST, "/api/jobs", intermediate);
        call(second, HttpMethod.POST, "/api/jobs", withDependencies("run-2"));
        createDependency("cancelled");
        int readsBefore = stateService.readCount;
        assertEquals("200 pending", status(call(first, HttpMethod.GET, "/api/jobs/run-000412", null)));
        assertEquals(1, stateService.readCount - readsBefore);
        services.get(0).setCascadeTime(Span.seconds(60), () -> "");
        assertEquals("200 cancelled", status(call(first, HttpMethod.GET, "/api/jobs/run-000412", null)));
        assertEquals("200 cancelled", status(call(second, HttpMethod.GET, "/api/jobs/run-000412", null)));
        assertEquals(List.of("j/run-2"), stateService.keys("j/"));
    }

    /**
     * Without batching, 600 jobs queried eight times as often as usual used up the state service's request limit, so lease
     * renewals failed.
     */
    @Test
    void queriesBeyondTheNodesShareAreBatched() throws Exception {
        Endpoint node = startNode(2);
        for (int n = 0; n < 30; n++) {
            Map<String, Object> job = JobCodecTest.job();
            job.put("id", "run-" + n);
            call(node, HttpMethod.POST, "/api/jobs", job);
        }
        int readsBefore = stateService.readCount;
        List<Future<ServiceResponse>> answers = new ArrayList<>();
        ServiceClient users = retain(new ServiceClient(vertx, node, 90));
        for (int n = 0; n < 90; n++) {
            answers.add(users.get("/api/jobs/run-" + n % 30, REQUEST_TIMEOUT));
        }
        for (ServiceResponse response : await(Future.all(answers)).<ServiceResponse>list()) {
            assertEquals("200 pending", status(response));
        }
        assertTrue(stateService.readCount - readsBefore < 30, "reads: " + (stateService.readCount - readsBefore));
    }

    /**
     * When many jobs end at once, the final status is first written to the open record and moved later. It is final from the
     * first write.
     */
    @Test
    void finalStatusInTheOpenRecordIsFinal() throws Exception {
        call(first, HttpMethod.POST, "/api/jobs", JobCodecTest.job());
        JobSpec spec = JobRecordCodec.readJob(
                        new JobId("run-000412"), stateService.value("j/run-000412"), Revision.ABSENT)
                .spec();
        BitSet all = new BitSet();
        all.set(0, spec.taskCount());
        await(client().commit(new StateClient.Txn()
                .put("j/run-000412", JobRecordCodec.writeJob(spec, 1, JobStatus.DONE, all, 0, spec.taskCount()))));
        assertEquals("200 done", status(call(first, HttpMethod.POST, "/api/jobs/run-000412/cancel", Map.of())));
        assertEquals("200 done", status(call(second, HttpMethod.GET, "/api/jobs/run-000412", null)));
        assertEquals("200 done", status(call(second, HttpMethod.POST, "/api/jobs", JobCodecTest.job())));
        assertEquals(List.of("j/run-000412"), stateService.keys("j/"), "the open record is unchanged");
    }

    @Test
    void submissionIsIdempotentAfterALostResponse() throws Exception {
        stateService.loseResponseFilter = txn -> txn.children("writes").stream()
                .anyMatch(w -> w.has("write") && w.text("write").equals("j/run-000412"));
        assertEquals(
                503,
                call(first, HttpMethod.POST, "/api/jobs", JobCodecTest.job()).status());
        assertEquals(1, stateService.lostResponses, "the transaction was executed, and its response was lost");
        assertEquals("200 pending", status(call(first, HttpMethod.POST, "/api/jobs", JobCodecTest.job())));
    }

    /**
     * Without the condition on the era, a delayed transaction could be executed after a rebuild that has lost the job's final
     * record.
     */
    @Test
    void acceptanceIsConditionalOnTheEraBeforeItWasRead() throws Exception {
        List<List<String>> conditions = new ArrayList<>();
        stateService.holdFilter = txn -> {
            List<String> keys =
                    txn.children("when").stream().map(w -> w.text("path")).toList();
            if (keys.contains("j/run-000412")) {
                conditions.add(keys);
            }
            return false;
        };
        assertEquals("201 pending", status(call(first, HttpMethod.POST, "/api/jobs", JobCodecTest.job())));
        assertEquals(List.of(List.of(RecordKeys.ERA, "j/run-000412", "f/run-000412")), conditions);
    }

    @Test
    void onlyFinalStatusIsServedDuringAnOutageOfTheStateService() throws Exception {
        call(first, HttpMethod.POST, "/api/jobs", JobCodecTest.job());
        Map<String, Object> other = JobCodecTest.job();
        other.put("id", "run-5");
        call(first, HttpMethod.POST, "/api/jobs", other);
        call(first, HttpMethod.POST, "/api/jobs/run-5/cancel", Map.of());
        stateService.unavailable = true;
        assertEquals(
                503, call(first, HttpMethod.GET, "/api/jobs/run-000412", null).status());
        assertEquals(503, call(second, HttpMethod.GET, "/api/jobs/run-5", null).status());
        assertEquals(
                503,
                call(first, HttpMethod.GET, "/api/jobs/run-404", null).status(),
                "404 requires a confirmation by the state service");
        assertEquals("200 cancelled", status(call(first, HttpMethod.GET, "/api/jobs/run-5", null)));
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /nowhere, 404",
        "GET, /api/jobs, 405",
        "DELETE, /api/jobs/run-1, 405",
        "POST, /ready, 405",
        "GET, /api/jobs/run-1/cancel, 405",
        "GET, /api/jobs/strange, 404",
        "GET, /api/jobs/a/b, 404",
        "POST, /api/jobs, 400"
    })
    void wrongPathsAndMethodsAreRejected(String method, String path, int status) throws Exception {
        assertEquals(
                status, call(first, HttpMethod.valueOf(method), path, Map.of()).status());
    }

    /** A body over the limit is rejected, with or without Content-Length, and other requests are still served. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void bodyOverTheLimitIsRejected(boolean withContentLength) throws Exception {
        Promise<Integer> status = Promise.promise();
        vertx.createHttpClient()
                .request(HttpMethod.POST, first.port(), first.host(), "/api/jobs")
                .onSuccess(request -> {
                    request.response()
                            .onSuccess(r -> status.tryComplete(r.statusCode()))
                            .onFailure(status::tryFail);
                    if (withContentLength) {
                        request.putHeader("Content-Length", "70000");
                        request.write(Buffer.buffer(new byte[10]));
                    } else {
                        request.setChunked(true);
                        request.write(Buffer.buffer(new byte[70_000]));
                    }
                });
        assertEquals(413, await(status.future()));
        assertTrue(call(first, HttpMethod.GET, "/ready", null).isOk());
    }
}
