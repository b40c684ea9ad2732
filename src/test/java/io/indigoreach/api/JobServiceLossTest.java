package io.indigoreach.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.EraRecordCodec;
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the responses to users after the state service has lost data, at one node without a leader. */
class JobServiceLossTest {
    private final Vertx vertx = Vertx.vertx();
    private FakeStateService service;
    private StateClient state;
    private Catalogue catalogue;
    private JobRepairer repairer;
    private JobService jobs;

    @BeforeEach
    void startService() throws Exception {
        service = await(new FakeStateService().listen(vertx));
        state = client();
        MachineType type =
                new MachineType("quad", new Resources(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
        await(state.commit(
                new StateClient.Txn().put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(List.of(type)))));
        catalogue = new Catalogue(vertx, state, new CloudClient(new ServiceClient(vertx, service.endpoint(), 1)));
        repairer = new JobRepairer(state, new SteadyClock());
        jobs = new JobService(new JobService.Context(
                vertx, state, repairer, catalogue, List.of(new Team("t", 0, 0, 0, 0)), new SteadyClock(), 8192, 100));
        catalogue.start();
        while (!catalogue.isKnown()) {
            Thread.onSpinWait();
        }
        await(state.checkEra());
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private StateClient client() {
        return new StateClient(
                new ServiceClient(vertx, service.endpoint(), 4), new ServiceClient(vertx, service.endpoint(), 1));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** The HTTP API maps a failure to 503. */
    private static int status(Future<ApiResponse> response) throws Exception {
        return await(response.map(ApiResponse::status).otherwise(503));
    }

    private int submit(int id) throws Exception {
        return status(jobs.submit(job(id)));
    }

    private static Buffer job(int id) {
        return MessagePackFormat.write(MessagePackFormat.map(
                "id",
                "run-" + id,
                "jobclass",
                "c",
                "owner",
                "t",
                "shape",
                "array",
                "urgency",
                "standard",
                "pieces",
                2,
                "cores",
                1.0,
                "gpus",
                0.0,
                "ram_gb",
                1.0,
                "bundle",
                "i",
                "pull_gb",
                0.0,
                "one_zone",
                false,
                "spread",
                false,
                "loaners",
                true,
                "expected_s",
                5.0,
                "snapshot_every_s",
                0.0,
                "snapshot_s",
                0.0));
    }

    @Test
    void absentJobsAreUnavailableAfterADataLossUntilANewEraBegins() throws Exception {
        assertEquals(List.of(201, 201, 404), List.of(submit(1), submit(2), status(jobs.query("run-9"))));
        assertEquals(200, status(jobs.cancel("run-2")));
        StateClient.Txn deletion = new StateClient.Txn();
        service.keys("").forEach(deletion::delete);
        await(client().commit(deletion));
        assertEquals(
                503,
                status(jobs.query("run-9")),
                "a lost job may have had this id, and the first query already detects the loss");
        assertEquals(503, status(jobs.query("run-1")));
        assertEquals(503, submit(3), "a lost job with this id may have ended");
        assertEquals(200, status(jobs.query("run-2")), "a final status that was reported stays");
        assertEquals(200, submit(2));
        await(client().commit(
                        new StateClient.Txn().put(RecordKeys.ERA, EraRecordCodec.writeEra(new FencingToken(77)))));
        await(state.checkEra());
        assertEquals(List.of(404, 201), List.of(status(jobs.query("run-9")), submit(3)));
    }

    /** The record of one job is lost but the era is not, while this node or another controller remembers the job. */
    @Test
    void jobRememberedByAControllerIsNotReportedUnknown() throws Exception {
        assertEquals(201, submit(1));
        await(client().commit(new StateClient.Txn().delete("j/run-1")));
        assertEquals(503, status(jobs.query("run-1")));
        assertEquals(true, state.losses().isLossPending());
        await(client().commit(
                        new StateClient.Txn().put(RecordKeys.ERA, EraRecordCodec.writeEra(new FencingToken(77)))));
        await(state.checkEra());
        jobs.setPeerQuery(id -> Future.succeededFuture(id.text().equals("run-8")));
        assertEquals(List.of(503, 503), List.of(status(jobs.query("run-8")), status(jobs.query("run-9"))));
        assertEquals(Map.of(), Map.copyOf(jobs.rememberedState().finishedJobs()));
        assertEquals(1, jobs.rememberedState().openJobs().size());
    }

    /**
     * An unreadable record is repaired from this node's memory, from another node's memory, or from a repeated submission. A final
     * status that any node remembers is kept. Without the repair, every query of the job got 503.
     */
    @ParameterizedTest
    @CsvSource({
        "here, j/, 200 pending",
        "elsewhere, j/, 200 pending",
        "nowhere, j/, 503 null",
        "ended, j/, 200 done",
        "ended, f/, 200 done",
        "nowhere, f/, 503 null"
    })
    void unreadableRecordIsRepaired(String remembered, String prefix, String expected) throws Exception {
        JobService queried = remembered.equals("here") ? jobs : otherNodeJobs();
        assertEquals(201, submit(1));
        if (remembered.equals("elsewhere")) {
            repairer.setRememberedStateQuery(id -> Future.succeededFuture(jobs.rememberedState(id)));
        } else if (remembered.equals("ended")) {
            RememberedState ended = new RememberedState();
            ended.add(new JobId("run-1"), new RememberedState.FinishedJob(JobStatus.DONE, 2));
            repairer.setRememberedStateQuery(id -> Future.succeededFuture(ended));
        } else if (remembered.equals("here")) {
            repairer.setRememberedStateQuery(id -> Future.succeededFuture(jobs.rememberedState(id)));
        }
        StateClient.Txn txn = new StateClient.Txn();
        if (prefix.equals("f/")) {
            txn.delete("j/run-1");
        }
        await(client().commit(txn.put(prefix + "run-1", MessagePackFormat.map("status", "SPOILT", "class", 5L))));
        assertEquals(expected, response(queried.query("run-1")));
        assertEquals(
                prefix.equals("f/") && expected.startsWith("503")
                        ? "503 null"
                        : expected.startsWith("503") ? "200 pending" : expected,
                response(queried.submit(job(1))),
                "repeated submission");
        assertEquals(
                expected.endsWith("done") || prefix.equals("f/") ? List.of() : List.of("j/run-1"), service.keys("j/"));
        assertEquals(false, state.losses().isLossPending());
    }

    /** Creates the job service of another node, which has accepted no jobs and uses the same repairer. */
    private JobService otherNodeJobs() {
        return new JobService(new JobService.Context(
                vertx, state, repairer, catalogue, List.of(new Team("t", 0, 0, 0, 0)), new SteadyClock(), 8192, 100));
    }

    private static String response(Future<ApiResponse> responseFuture) throws Exception {
        ApiResponse response = await(responseFuture.otherwise(ApiResponse.retryLater("no")));
        return response.status() + " " + response.body().get("status");
    }
}
