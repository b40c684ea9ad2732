package io.indigoreach.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.HttpApi;
import io.indigoreach.api.RequestRejectedException;
import io.indigoreach.api.SubmissionParticipant;
import io.indigoreach.cluster.PartRegistry;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.config.SettingsFile;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What an export's script sees of the registry, by verbs and by HTTP, and what jobs that name records are told. */
class RecordsVerbTest {
    @TempDir
    private Path dir;

    private final Vertx vertx = Vertx.vertx();
    private Parts parts;
    private ServiceClient http;
    private StateStandIn state;
    private String cluster;

    @BeforeEach
    void serve() throws Exception {
        state = await(new StateStandIn().listen(vertx));
        PlatformConfig config = new PlatformConfig(
                "a",
                "z",
                null,
                null,
                List.of(),
                null,
                null,
                List.of("z"),
                Span.ZERO,
                List.of(),
                List.of(),
                null,
                new PlatformConfig.StateLimits(1000, 1000, 8192, 12),
                null,
                100);
        Settings settings = SettingsFile.parse("test", "record_ownership: 1");
        parts = Parts.of(
                PartRegistry.enabled(settings),
                vertx,
                new StateClient(
                        new ServiceClient(vertx, state.endpoint(), 8), new ServiceClient(vertx, state.endpoint(), 1)),
                new SteadyClock(),
                null,
                config,
                settings);
        int port = await(new HttpApi(new HttpApi.Context(
                        vertx, new Endpoint("127.0.0.1", 0), null, null, () -> true, parts.resources()))
                .open());
        http = new ServiceClient(vertx, new Endpoint("127.0.0.1", port), 2);
        cluster = Files.writeString(
                        dir.resolve("cluster"), new ClusterFile(List.of("127.0.0.1:" + port), "", "", "").toText())
                .toString();
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private ToolTest.Told tell(String line) {
        return ToolTest.tell(("records " + line + " --cluster " + cluster).split(" "));
    }

    private ServiceResponse post(String what, Object... body) throws Exception {
        return await(http.post("/api/records/" + what, MessagePackFormat.map(body), Span.seconds(5)));
    }

    private void begin() throws Exception {
        assertEquals(200, post("begin", "by", "anna", "reason", "first day").status());
    }

    @Test
    void nothingIsFreeBeforeItHasBegun() throws Exception {
        ServiceResponse r = post("claim", "run", "e1", "ids", List.of("a/1"));
        assertEquals(503, r.status());
        assertTrue(r.body().text("error").contains("records begin"));
        begin();
        assertEquals(200, post("claim", "run", "e1", "ids", List.of("a/1")).status());
        assertEquals(409, post("begin", "by", "anna", "reason", "once more").status());
    }

    @ParameterizedTest
    @CsvSource({
        "claim, run, e 1, run",
        "claim, run, run-1, run",
        "claim, ids, x, run",
        "billing, ids, x, run",
        "billed, run, e1, fences",
        "resolve, as, gone, as",
        "begin, by, anna, reason",
        "release, job, x, run",
        "billing, job, x, job"
    })
    void whatIsMalformedIsToldByItsField(String what, String name, String value, String field) throws Exception {
        begin();
        ServiceResponse r = post(what, name, value);
        assertEquals(400, r.status());
        assertTrue(r.body().text("error").endsWith("field " + field), r.body().text("error"));
    }

    @Test
    void anExportsScript() throws Exception {
        assertEquals(0, tell("begin --by anna --reason first-day").code());
        Path ids = Files.write(
                dir.resolve("ids"),
                java.util.stream.IntStream.range(0, 700)
                        .mapToObj(n -> "KL-1/farm-" + n)
                        .toList());
        assertEquals(
                "e1 holds 700 records\n", tell("claim --run e1 --file " + ids).out());
        assertEquals(5, tell("claim --run e2 KL-1/farm-3 KL-1/other").code());
        assertTrue(tell("claim --run e2 KL-1/farm-3 KL-1/other").err().contains("KL-1/farm-3 is claimed by e1"));
        String fences = tell("billing --run e1 --file " + ids).out();
        assertEquals(fences, tell("billing --run e1 --file " + ids).out(), "a repeat");
        assertEquals(700, fences.lines().count());
        Path given = Files.writeString(dir.resolve("fences"), fences);
        assertEquals(5, tell("billing --run e2 KL-1/farm-3").code());
        assertEquals(0, tell("billed --run e1 --file " + given).code());
        assertEquals(0, tell("billed --run e1 --file " + given).code(), "a repeat");
        assertEquals(
                "KL-1/farm-3 billed\n", tell("billing --run e1 KL-1/farm-3").out());
        assertEquals("     700  e1 billed\n", tell("holders").out());
        assertEquals(0, tell("doubt").code());
        assertEquals(
                5, tell("resolve --as free --by anna --reason why KL-1/farm-3").code(), "billed is final");
        assertEquals(0, tell("release --run e1").code());
        assertTrue(tell("show KL-1/farm-3 KL-1/new").out().contains("free"));
        assertEquals(2, tell("billing --run e1").code());
        assertEquals(1, tell("billing --run e1 a//b").code());
    }

    @Test
    void whatIsInDoubtIsListedAndResolvedInTwoSteps() throws Exception {
        begin();
        tell("claim --run e1 a/1");
        tell("billing --run e1 a/1");
        assertEquals(5, tell("resolve --as free --by anna --reason gone a/1").code());
        assertEquals(0, tell("resolve --as doubt --by anna --reason gone a/1").code());
        ToolTest.Told doubt = tell("doubt --group a");
        assertEquals(5, doubt.code());
        assertTrue(doubt.out().contains("anna: gone"));
        assertEquals(
                0, tell("resolve --as billed --by anna --reason line-4711 a/1").code());
        assertTrue(tell("show a/1 --json").out().contains("\"state\":\"billed\""));
    }

    @Test
    void jobsThatNameRecords() throws Exception {
        begin();
        tell("claim --run e1 a/1 a/2");
        tell("billing --run e1 a/1");
        tell("billed --run e1 a/1=" + tell("billing --run e1 a/1").out().trim().split(" ")[1]);
        SubmissionParticipant field = parts.submissionParticipants().get(0);
        JobSpec plain = JobSpec.builder(new JobId("run-1"))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(2)
                .demand(new Demand(1, 0, 1))
                .image("i")
                .imageGb(0)
                .spotAllowed()
                .estimate(Span.seconds(5))
                .build();
        JobSpec never = plain.with(JobSpec.RECORDS, Map.of("ids", List.of("a/1", "a/3")));
        ExecutionException refused = assertThrows(ExecutionException.class, () -> await(field.accepting(never)));
        assertTrue(refused.getCause() instanceof RequestRejectedException r
                && r.status() == 422
                && r.getMessage().contains("billed by e1"));
        JobSpec waits = plain.with(JobSpec.RECORDS, Map.of("prefix", "a/", "from", 2L, "to", 3L));
        Transaction commit = await(field.accepting(waits));
        assertEquals(List.of("own/c/run-1"), List.copyOf(commit.writes().keySet()));
        assertThrows(
                WireException.class,
                () -> field.check(plain.with(JobSpec.RECORDS, Map.of("ids", List.of("a/1", "a/1")))));
        assertThrows(WireException.class, () -> field.check(plain.with(JobSpec.RECORDS, List.of("a/1"))));
    }

    @Test
    void whereItIsOffThereIsNothing() throws Exception {
        assertEquals(List.of(), PartRegistry.enabled(SettingsFile.parse("test", "")));
        assertEquals(0, state.reads + state.transactions);
    }
}
