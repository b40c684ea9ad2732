package io.indigoreach.cli;

import io.indigoreach.api.JobCodec;
import io.indigoreach.cluster.Node;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.EventLoops;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.state.JobRecordCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs a node for a few seconds against a mock of the state service and the cloud on the loopback interface. The build uses this run
 * to record the classes that serving loads in the class-data sharing archive.
 */
final class Rehearsal {
    private static final String PLATFORM_CONFIG = """
            node = "a"
            domain = "z"
            serve_on = "127.0.0.1:0"
            cluster_listen = "127.0.0.1:0"
            [[peers]]
            node = "b"
            domain = "z"
            endpoint = "127.0.0.1:1"
            [endpoints]
            cloud = "127.0.0.1:%d"
            state = "127.0.0.1:%d"
            [settings]
            size = 1
            zones = ["z"]
            skew_ms = 100.0
            [[settings.teams]]
            name = "t"
            [settings.workers]
            report_s = 2.0
            lease_s = 12.0
            cancel_s = 32.0
            [settings.state]
            rps = 100.0
            write_rps = 100.0
            value_kb = 8.0
            txn_ops = 16
            [settings.cloud]
            rps = 4.0
            list_lag_s = 3.0
            """;
    private long revision = 1;

    private Rehearsal() {}

    /** Runs the node and returns the exit code: 0, or 1 if the run takes longer than 20 s. */
    static int run() {
        Vertx vertx = EventLoops.vertx();
        Rehearsal rehearsal = new Rehearsal();
        HttpServer mockServer = vertx.createHttpServer().requestHandler(rehearsal::handleRequest);
        CountDownLatch finished = new CountDownLatch(1);
        mockServer
                .listen(0, "127.0.0.1")
                .compose(listening -> rehearsal.runNode(vertx, listening.actualPort()))
                .onComplete(done -> finished.countDown());
        try {
            return finished.await(20, TimeUnit.SECONDS) ? 0 : 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    private Future<Void> runNode(Vertx vertx, int mockPort) {
        Span timeout = Span.seconds(3);
        try {
            PlatformConfig config =
                    PlatformConfig.parse("rehearsal", String.format(PLATFORM_CONFIG, mockPort, mockPort));
            return new Node(vertx, config, Settings.defaults())
                    .start()
                    .compose(nodePort -> {
                        ServiceClient userClient = new ServiceClient(vertx, new Endpoint("127.0.0.1", nodePort), 2);
                        return vertx.timer(700, TimeUnit.MILLISECONDS)
                                .compose(done -> userClient.get("/ready", timeout))
                                .compose(done -> userClient.post("/api/jobs", jobSubmission(), timeout))
                                .compose(done -> userClient.get("/api/jobs/run-1", timeout))
                                .compose(done -> vertx.timer(400, TimeUnit.MILLISECONDS))
                                // The first response contains the fencing token. The node ignores heartbeats with an
                                // older token, and starts no tasks for them.
                                .compose(done -> userClient.post("/checkin", heartbeat(1, 0), timeout))
                                .compose(response -> userClient.post(
                                        "/checkin", heartbeat(2, response.body().wholeNumber("baton")), timeout))
                                .compose(response -> userClient.post(
                                        "/checkin", heartbeat(3, response.body().wholeNumber("baton")), timeout))
                                .compose(done -> userClient.post("/api/jobs/run-1/cancel", Map.of(), timeout))
                                .compose(done -> vertx.timer(700, TimeUnit.MILLISECONDS));
                    })
                    .mapEmpty();
        } catch (ConfigException e) {
            return Future.failedFuture(e);
        }
    }

    private void handleRequest(HttpServerRequest request) {
        request.body().onSuccess(body -> respond(request));
    }

    private void respond(HttpServerRequest request) {
        String path = request.path();
        switch (path) {
            case "/store" ->
                reply(
                        request,
                        200,
                        MessagePackFormat.map("items", List.of(), "truncated", false, "ledger_rev", revision));
            case "/store/era" ->
                reply(request, 200, MessagePackFormat.map("path", "era", "data", Map.of("token", 1L), "stamp", 1L));
            case "/store/j/run-1" ->
                reply(request, 200, MessagePackFormat.map("path", "j/run-1", "data", jobRecord(), "stamp", 1L));
            case "/catalog" -> reply(request, 200, MessagePackFormat.map("boxkinds", List.of(machineType())));
            case "/machines" -> respondAsCloud(request);
            case "/grants" -> reply(request, 200, MessagePackFormat.map("permit", 1L));
            case "/changes" -> respondToWatch(request);
            default -> {
                if (path.startsWith("/store/")) {
                    reply(request, 404, MessagePackFormat.map("ledger_rev", revision));
                } else {
                    reply(request, 200, MessagePackFormat.map("ledger_rev", ++revision));
                }
            }
        }
    }

    private static void respondAsCloud(HttpServerRequest request) {
        boolean isListRequest = request.method().name().equals("GET");
        reply(
                request,
                200,
                isListRequest
                        ? MessagePackFormat.map("boxes", List.of(), "truncated", false)
                        : MessagePackFormat.map("boxes", List.of("vm-1")));
    }

    private void respondToWatch(HttpServerRequest request) {
        if (!request.getParam("starts").equals("j/")) {
            // These keys never change, so the watch request stays open.
            request.response().closeHandler(closed -> {});
            return;
        }
        Map<String, Object> event = MessagePackFormat.map("write", "j/run-1", "data", jobRecord(), "stamp", ++revision);
        reply(request, 200, MessagePackFormat.map("ledger_rev", revision, "events", List.of(event)));
    }

    private static Map<String, Object> machineType() {
        return MessagePackFormat.map(
                "label",
                "k",
                "cores",
                4,
                "gpus",
                0,
                "ram_gb",
                16,
                "cache_gb",
                40,
                "fetch_gb_per_s",
                0.3,
                "price",
                0.2,
                "low_price",
                0.05,
                "boot_s",
                20,
                "halls",
                List.of("z"));
    }

    private static void reply(HttpServerRequest request, int status, Map<String, Object> body) {
        request.response().setStatusCode(status).end(MessagePackFormat.write(body));
    }

    private static Map<String, Object> jobRecord() {
        return JobRecordCodec.writeJob(
                JobCodec.read(MessagePackFormat.readMap(MessagePackFormat.write(jobSubmission()))),
                1L,
                JobStatus.PENDING,
                new BitSet(),
                0,
                4);
    }

    private static Map<String, Object> jobSubmission() {
        return MessagePackFormat.map(
                "id",
                "run-1",
                "jobclass",
                "c",
                "owner",
                "t",
                "shape",
                "array",
                "urgency",
                "high",
                "pieces",
                4,
                "cores",
                1.0,
                "gpus",
                0.0,
                "ram_gb",
                1.0,
                "bundle",
                "i",
                "pull_gb",
                1.0,
                "one_zone",
                false,
                "spread",
                false,
                "loaners",
                true,
                "expected_s",
                10.0,
                "snapshot_every_s",
                0.0,
                "snapshot_s",
                0.0);
    }

    private static Map<String, Object> heartbeat(int serial, long token) {
        return MessagePackFormat.map(
                "box",
                "vm-1",
                "endpoint",
                "127.0.0.1:9",
                "boxkind",
                "k",
                "hall",
                "z",
                "loaners",
                true,
                "shift",
                1,
                "serial",
                serial,
                "baton",
                token,
                "warning_s",
                null,
                "pieces",
                List.of(MessagePackFormat.map("piece", "run-1/0", "try", 1, "status", "exited", "cause", "done")));
    }
}
