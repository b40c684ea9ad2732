package io.indigoreach.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
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
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the HTTP responses to malformed, infeasible and excess requests, and that rejected jobs are not stored. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class InvalidRequestsTest {
    private static final Span REQUEST_TIMEOUT = Span.seconds(10);
    private static final Set<String> NULLABLE = Set.of("boxkinds", "hall", "due_s");
    private static final Object ABSENT = new Object();

    private final Vertx vertx = Vertx.vertx();
    private FakeStateService stateService;
    private HttpClient http;
    private ServiceClient user;
    private Endpoint node;
    /** Strong references to all clients: Vert.x closes a client that is no longer reachable. */
    private final List<Object> retained = new ArrayList<>();

    @BeforeAll
    void startNode() throws Exception {
        stateService = await(new FakeStateService().listen(vertx));
        StateClient state = new StateClient(stateServiceClient(4), stateServiceClient(1));
        MachineType type =
                new MachineType("quad", new Resources(4, 1, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
        MachineType far = new MachineType("far", new Resources(8, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("b"));
        await(state.commit(new StateClient.Txn()
                .when(RecordKeys.CATALOGUE, Revision.ABSENT)
                .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(List.of(type, far)))));
        Catalogue catalogue = new Catalogue(vertx, state, new CloudClient(stateServiceClient(1)));
        SteadyClock clock = new SteadyClock();
        List<Team> teams =
                List.of(new Team("t", 0, 64, 0, 0), new Team("small", 0, 2, 0, 0), new Team("cpu", 0, 0, 0, 0.5));
        JobService jobs = new JobService(new JobService.Context(
                vertx, state, new JobRepairer(state, clock), catalogue, teams, clock, 8192, 1000));
        HttpApi api = new HttpApi(
                new HttpApi.Context(vertx, new Endpoint("127.0.0.1", 0), jobs, null, catalogue::isKnown, Map.of()));
        retained.addAll(List.of(state, catalogue, api));
        node = new Endpoint("127.0.0.1", await(api.open()));
        user = new ServiceClient(vertx, node, 300);
        http = vertx.createHttpClient();
        catalogue.start();
        while (await(user.get("/ready", REQUEST_TIMEOUT)).status() != 200) {
            Thread.onSpinWait();
        }
    }

    private ServiceClient stateServiceClient(int connections) {
        return new ServiceClient(vertx, stateService.endpoint(), connections);
    }

    @AfterEach
    void resumeResponses() {
        stateService.delayFilter = (endpoint, path) -> false;
    }

    @AfterAll
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get();
    }

    private ServiceResponse submit(Map<String, Object> job) throws Exception {
        return await(user.post("/api/jobs", job, REQUEST_TIMEOUT));
    }

    private static Map<String, Object> with(String id, String field, Object value) {
        Map<String, Object> job = JobCodecTest.job();
        job.put("id", id);
        if (value == ABSENT) {
            job.remove(field);
        } else {
            job.put(field, value);
        }
        return job;
    }

    private static void add(List<Object[]> rows, String field, Object... values) {
        Arrays.stream(values).forEach(v -> rows.add(new Object[] {field, v}));
    }

    static List<Object[]> malformed() {
        List<Object[]> rows = new ArrayList<>();
        for (String field : JobCodecTest.job().keySet()) {
            if (!NULLABLE.contains(field) && !field.equals("unheard_of")) {
                add(rows, field, ABSENT, null);
            }
        }
        for (String amount : List.of(
                "cores", "gpus", "ram_gb", "pull_gb", "expected_s", "snapshot_every_s", "snapshot_s", "due_s")) {
            add(rows, amount, Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -1.0, -1, -1e-9);
            add(
                    rows,
                    amount,
                    1.8e16,
                    Long.MAX_VALUE,
                    Long.MIN_VALUE,
                    Double.MAX_VALUE,
                    "1",
                    true,
                    List.of(1),
                    Map.of());
        }
        add(rows, "pieces", 0, 0.0, -1, 100_001, 1.5, Double.NaN, Double.POSITIVE_INFINITY, 1.8e16, Long.MAX_VALUE);
        add(rows, "pieces", "3", true, List.of(3), Map.of());
        for (String text : List.of("jobclass", "owner", "bundle")) {
            add(rows, text, "", "x".repeat(201), 1, 1.5, true, List.of("x"), Map.of());
        }
        add(rows, "hall", "", "x".repeat(201), 1, true, List.of("a"));
        add(rows, "shape", "", "ARRAY", "gang", "job", 1, List.of("array"));
        add(rows, "urgency", "", "HIGH", "normal", "best-effort", 1, Map.of());
        add(rows, "id", "", "run-", "run-1x", "run--1", "job-1", "run-1/2", "run-" + "1".repeat(19), 7, List.of());
        for (String flag : List.of("one_zone", "spread", "loaners")) {
            add(rows, flag, 0, 1, "true", 1.0, List.of(true));
        }
        add(rows, "boxkinds", "quad", 1, Map.of("quad", 1), List.of(1), List.of(""), List.of("x".repeat(201)));
        add(
                rows,
                "boxkinds",
                Arrays.asList("quad", null),
                List.of(List.of("quad")),
                java.util.Collections.nCopies(65, "q"));
        return rows;
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void malformedFieldIsRejectedAndNotStored(String field, Object value) throws Exception {
        ServiceResponse response = submit(with("run-1", field, value));
        assertEquals(400, response.status());
        assertTrue(
                response.body().text("error").endsWith(" field " + field),
                response.body().text("error"));
        assertEquals(List.of(), stateService.keys("j/run-1"));
    }

    /** A body with a repeated field is rejected, because a reader could use either value. */
    @ParameterizedTest
    @CsvSource({"id", "pieces", "unheard_of"})
    void repeatedFieldIsMalformed(String field) throws Exception {
        byte[] once = MessagePackFormat.write(with("run-1", field, 2)).getBytes();
        byte[] again = MessagePackFormat.write(Map.of(field, "run-2")).getBytes();
        Buffer twice = Buffer.buffer().appendBytes(once).appendBytes(again, 1, again.length - 1);
        // The third byte is the low byte of the map size (21 entries); it is increased by one for the appended field.
        twice.setByte(2, (byte) (once[2] + 1));
        Future<String> status = http.request(HttpMethod.POST, node.port(), node.host(), "/api/jobs")
                .compose(r -> r.send(twice))
                .map(r -> "" + r.statusCode());
        assertEquals("400", await(status));
        assertEquals(List.of(), stateService.keys("j/run-1"));
    }

    @ParameterizedTest
    @CsvSource({
        "cores, 8.5",
        "gpus, 1.5",
        "ram_gb, 16.5",
        "cores, 5",
        "boxkinds, none",
        "boxkinds, ''",
        "hall, nowhere",
        "hall, b",
        "owner, nobody",
        "owner, small",
        "shape, service",
        "owner, cpu"
    })
    void infeasibleJobIsRejectedAndNotStored(String field, String value) throws Exception {
        Object typed = field.equals("boxkinds")
                ? value.isEmpty() ? List.of() : List.of(value)
                : value.matches("[0-9.]+") ? (Object) Double.valueOf(value) : value;
        Map<String, Object> job = with("run-2", field, typed);
        if (value.equals("service")) {
            job.put("pieces", 17);
        } else if (value.equals("cpu")) {
            job.put("gpus", 1.0);
        }
        assertEquals(422, submit(job).status());
        assertEquals(List.of(), stateService.keys("j/run-2"));
    }

    static List<Object[]> valid() {
        List<Object[]> rows = new ArrayList<>();
        NULLABLE.forEach(field -> add(rows, field, ABSENT, null));
        for (String amount :
                List.of("gpus", "ram_gb", "pull_gb", "expected_s", "snapshot_every_s", "snapshot_s", "due_s")) {
            add(rows, amount, 0, 0.0, 0.25);
        }
        add(rows, "pieces", 1, 100_000);
        add(rows, "boxkinds", List.of("quad", "unknown"));
        add(rows, "unheard_of", 1, "x", List.of(1), Map.of("x", 1));
        return rows;
    }

    @ParameterizedTest
    @MethodSource("valid")
    void validJobIsAcceptedAndSubmissionIsIdempotent(String field, Object value) throws Exception {
        String id = "run-" + (70_000 + stateService.keys("j/").size());
        Map<String, Object> job = with(id, field, value);
        assertEquals(201, submit(job).status());
        ServiceResponse again = submit(job);
        assertEquals("200 pending", again.status() + " " + again.body().text("status"));
        // The job stays accepted, although this request on its own would be rejected.
        ServiceResponse other = submit(with(id, "hall", "nowhere"));
        assertEquals("200 pending", other.status() + " " + other.body().text("status"));
    }

    /**
     * While the state service does not respond, requests beyond the admission limit get 503 at once, and all others within the
     * timeout.
     */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void requestsBeyondTheAdmissionLimitAreRejectedAtOnce(boolean submissions) throws Exception {
        stateService.delayFilter = (endpoint, path) -> path.startsWith("/store") || path.equals("/txn");
        Map<Integer, Future<ServiceResponse>> responses = new LinkedHashMap<>();
        int[] rejected = {0};
        long startNanos = System.nanoTime();
        for (int n = 0; n < 250; n++) {
            String id = "run-" + (50_000 + n);
            responses.put(
                    n,
                    (submissions
                                    ? user.post("/api/jobs", with(id, "unheard_of", 1), REQUEST_TIMEOUT)
                                    : user.get("/api/jobs/" + id, REQUEST_TIMEOUT))
                            .onSuccess(r -> rejected[0] +=
                                    stateService.delayed() > 0 && System.nanoTime() - startNanos < 1.5e9 ? 1 : 0));
        }
        for (ServiceResponse response :
                await(Future.all(List.copyOf(responses.values()))).<ServiceResponse>list()) {
            assertEquals(503, response.status());
        }
        double elapsedS = (System.nanoTime() - startNanos) / 1e9;
        assertTrue(rejected[0] >= 150, rejected[0] + " were rejected at once");
        assertTrue(elapsedS < 6, "last response after " + elapsedS + " s");
    }

    @Test
    void unavailableResponseHasRetryAfter() throws Exception {
        stateService.delayFilter = (endpoint, path) -> path.startsWith("/store");
        Future<String> answer = http.request(HttpMethod.GET, node.port(), node.host(), "/api/jobs/run-60000")
                .compose(r -> r.send())
                .map(r -> r.statusCode() + " " + r.getHeader("Retry-After"));
        assertEquals("503 1", await(answer));
    }
}
