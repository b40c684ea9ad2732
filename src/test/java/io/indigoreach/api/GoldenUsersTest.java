package io.indigoreach.api;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenHttp;
import io.indigoreach.GoldenSamples;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What users send, and every kind of answer that they get. */
class GoldenUsersTest {
    private final Vertx vertx = Vertx.vertx();
    /** Vert.x closes a client that nothing refers to any more. */
    private final List<Object> kept = new ArrayList<>();

    private StateStandIn state;
    private Endpoint node;

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static Map<String, Object> with(String field, Object value) {
        Map<String, Object> job = GoldenSamples.submission();
        job.put(field, value);
        return job;
    }

    private static Map<String, Object> without(String field) {
        Map<String, Object> job = GoldenSamples.submission();
        job.remove(field);
        return job;
    }

    @Test
    void whatUsersAndNodesSay() {
        GoldenFile golden = new GoldenFile("users.txt");
        golden.expectText("path of jobs", JobCodec.JOBS)
                .expectText("end of the path to cancel", JobCodec.CANCEL)
                .expectText("path of readiness", JobCodec.READY);
        GoldenSamples.jobs()
                .forEach((name, spec) ->
                        golden.expectRoundTrip("submission " + name, spec, JobCodec::write, JobCodec::read));
        golden.expectDecoded(
                "submission in other words", GoldenSamples.submission(), f -> JobCodec.write(JobCodec.read(f)));
        for (String field : GoldenSamples.submission().keySet()) {
            if (!Set.of("boxkinds", "due_s", "some_new_field").contains(field)) {
                golden.expectRejected("submission without " + field, without(field), JobCodec::read);
            }
        }
        MessagePackFormat.map(
                        "id",
                        "412",
                        "jobclass",
                        "",
                        "owner",
                        "x".repeat(201),
                        "shape",
                        "circle",
                        "urgency",
                        "low",
                        "pieces",
                        0L,
                        "cores",
                        -1.0,
                        "gpus",
                        "two",
                        "ram_gb",
                        1e10,
                        "bundle",
                        7L,
                        "pull_gb",
                        Double.NaN,
                        "boxkinds",
                        List.of(1L),
                        "hall",
                        "",
                        "one_zone",
                        "yes",
                        "expected_s",
                        null,
                        "due_s",
                        -1L,
                        "waits_on",
                        List.of("run-000412"))
                .forEach((field, value) ->
                        golden.expectRejected("submission with another " + field, with(field, value), JobCodec::read));
        golden.expectRejected("submission of too many tasks", with("pieces", 100_001L), JobCodec::read)
                .expectRejected(
                        "submission that names a job twice",
                        with("waits_on", List.of("run-1", "run-1")),
                        JobCodec::read)
                .expectRejected("submission that names no job", with("waits_on", List.of("one")), JobCodec::read);
        for (JobStatus status : JobStatus.values()) {
            golden.expectEncoded(
                            "accepted, status " + status.ordinal(), JobCodec.accepted(GoldenSamples.JOB_ID, status))
                    .expectRoundTrip(
                            "progress, status " + status.ordinal(),
                            new JobCodec.Progress(GoldenSamples.JOB_ID, status, 7, 300),
                            p -> JobCodec.progress(p.id(), p.status(), p.done(), p.running()),
                            JobCodec::readProgress);
        }
        golden.expectDecoded("accepted, read", JobCodec.accepted(GoldenSamples.JOB_ID, JobStatus.PENDING), f -> {
            JobCodec.Progress p = JobCodec.readProgress(f);
            return JobCodec.progress(p.id(), p.status(), p.done(), p.running());
        });
        answer(golden, "done", ApiResponse.ok(MessagePackFormat.map("id", "x")));
        answer(golden, "error", ApiResponse.error(400, "why"));
        answer(golden, "later", ApiResponse.retryLater("why"));
        answer(golden, "refusal of a field", ErrorResponses.of(RequestRejectedException.of("field", "why")));
        answer(
                golden,
                "refusal by a conflict",
                ErrorResponses.of(RequestRejectedException.conflict("why", MessagePackFormat.map("version", 3L))));
        answer(golden, "refusal of what is not there", ErrorResponses.of(new NotFoundException("why")));
        golden.verify();
    }

    private static void answer(GoldenFile golden, String name, ApiResponse answer) {
        golden.expectText("status of " + name, answer.status() + " " + answer.retryAfterS())
                .expectEncoded("answer " + name, answer.body());
    }

    private StateClient client() {
        StateClient client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
        kept.add(client);
        return client;
    }

    private Catalogue serve() throws Exception {
        state = await(new StateStandIn().listen(vertx));
        MachineType type = new MachineType("quad", new Demand(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
        await(client().commit(new StateClient.Txn()
                .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(List.of(type)))
                .put("f/run-5", JobRecordCodec.writeFinal(JobStatus.DONE, 2))
                .put("f/run-6", JobRecordCodec.writeFinal(JobStatus.CANCELLED, 0))
                .put(
                        "j/run-7",
                        JobRecordCodec.writeJob(
                                JobCodec.read(MessagePackFormat.readMap(MessagePackFormat.write(with("id", "run-7")))),
                                1,
                                JobStatus.RUNNING,
                                BitSet.valueOf(new long[] {1}),
                                1,
                                2))));
        Catalogue catalogue =
                new Catalogue(vertx, client(), new CloudClient(new ServiceClient(vertx, state.endpoint(), 1)));
        StateClient own = client();
        JobService desk = new JobService(new JobService.Context(
                vertx,
                own,
                new JobRepairer(own, new SteadyClock()),
                catalogue,
                List.of(new Team("t", 0, 8, 0, 0)),
                new SteadyClock(),
                8192,
                100));
        HttpApi door = new HttpApi(
                new HttpApi.Context(vertx, new Endpoint("127.0.0.1", 0), desk, null, catalogue::isKnown, Map.of()));
        kept.add(door);
        node = new Endpoint("127.0.0.1", await(door.open()));
        return catalogue;
    }

    private String submit(Map<String, Object> job) throws IOException {
        return GoldenHttp.post(node, JobCodec.JOBS, job);
    }

    private String raw(String method, String path, String body) throws IOException {
        return GoldenHttp.exchange(node, method, path, body.getBytes(StandardCharsets.ISO_8859_1), Set.of());
    }

    @Test
    void whatANodeAnswersOverHttp() throws Exception {
        Catalogue catalogue = serve();
        GoldenFile golden = new GoldenFile("users-http.txt");
        golden.expectText("not ready", GoldenHttp.get(node, "/ready"))
                .expectText("submission before the types are known", submit(GoldenSamples.submission()));
        catalogue.start();
        while (!catalogue.isKnown()) {
            Thread.onSpinWait();
        }
        golden.expectText("ready", GoldenHttp.get(node, "/ready"))
                .expectText("poll of no job", GoldenHttp.get(node, "/api/jobs/run-000412"))
                .expectText("poll of a malformed id", GoldenHttp.get(node, "/api/jobs/412"))
                .expectText("cancel of no job", GoldenHttp.post(node, "/api/jobs/run-000412/cancel", Map.of()))
                .expectText("cancel of a malformed id", GoldenHttp.post(node, "/api/jobs/412/cancel", Map.of()))
                .expectText("accepted", submit(GoldenSamples.submission()))
                .expectText("accepted again", submit(GoldenSamples.submission()))
                .expectText("poll", GoldenHttp.get(node, "/api/jobs/run-000412"))
                .expectText("cancelled", GoldenHttp.post(node, "/api/jobs/run-000412/cancel", Map.of()))
                .expectText("cancelled again", GoldenHttp.post(node, "/api/jobs/run-000412/cancel", Map.of()))
                .expectText("poll of what is cancelled", GoldenHttp.get(node, "/api/jobs/run-000412"))
                .expectText("submission of what is cancelled", submit(GoldenSamples.submission()))
                .expectText("poll of what is done", GoldenHttp.get(node, "/api/jobs/run-5"))
                .expectText("cancel of what is done", GoldenHttp.post(node, "/api/jobs/run-5/cancel", Map.of()))
                .expectText("poll of what runs", GoldenHttp.get(node, "/api/jobs/run-7"));
        golden.expectText("a field is missing", submit(without("pieces")))
                .expectText("a field is invalid", submit(with("shape", "circle")))
                .expectText("a team is unknown", submit(other(with("owner", "nobody"))))
                .expectText("no type fits", submit(other(with("cores", 5.0))))
                .expectText("more than the team may use", submit(other(service(9))))
                .expectText("a part is off", submit(other(with("records", Map.of("ids", List.of("a/1"))))))
                .expectText(
                        "too long a description", submit(other(with("boxkinds", Collections.nCopies(60, long200())))))
                .expectText("after no job", submit(waiting("run-999")))
                .expectText("after a cancelled job", submit(waiting("run-6")))
                .expectText("poll after a cancelled job", GoldenHttp.get(node, "/api/jobs/run-61"));
        golden.expectText("no body", raw("POST", "/api/jobs", ""))
                .expectText("not a map", raw("POST", "/api/jobs", "\u0001"))
                .expectText("not MessagePack", raw("POST", "/api/jobs", "\u00c1"))
                .expectText("bytes behind", raw("POST", "/api/jobs", "\u0080\u0080"))
                .expectText("too long a body", GoldenHttp.sendWithoutBody(node, "/api/jobs", 70_000))
                .expectText("another method for jobs", GoldenHttp.get(node, "/api/jobs"))
                .expectText("another method for a poll", raw("POST", "/api/jobs/run-5", ""))
                .expectText("another method for a cancel", GoldenHttp.get(node, "/api/jobs/run-5/cancel"))
                .expectText("another method for readiness", raw("POST", "/ready", ""))
                .expectText("no path", GoldenHttp.get(node, "/nowhere"))
                .expectText("no path below jobs", GoldenHttp.get(node, "/api/jobs/run-5/tasks"))
                .expectText("a part's path where it is off", GoldenHttp.get(node, "/api/pools"));
        state.refusing = true;
        golden.expectText("submission in an outage", submit(with("id", "run-8")))
                .expectText("poll in an outage", GoldenHttp.get(node, "/api/jobs/run-8"))
                .expectText("cancel in an outage", GoldenHttp.post(node, "/api/jobs/run-8/cancel", Map.of()))
                .expectText("poll of what is over, in an outage", GoldenHttp.get(node, "/api/jobs/run-5"));
        golden.verify();
    }

    private static String long200() {
        return "k".repeat(200);
    }

    /** Of a job that is not there yet. */
    private static Map<String, Object> other(Map<String, Object> job) {
        job.put("id", "run-62");
        return job;
    }

    private static Map<String, Object> service(long tasks) {
        Map<String, Object> job = with("shape", "service");
        job.put("pieces", tasks);
        return job;
    }

    private static Map<String, Object> waiting(String on) {
        Map<String, Object> job = with("id", "run-61");
        job.put("waits_on", List.of(on));
        return job;
    }
}
