package io.indigoreach.cli;

import io.indigoreach.cluster.Node;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.EventLoops;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs a node for a moment against a stand-in on loopback, so that the build can put the classes that serving loads
 * into the class-data archive.
 */
final class Rehearsal {
    private static final String PLATFORM = """
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

    static int run() {
        Vertx vertx = EventLoops.vertx();
        Rehearsal rehearsal = new Rehearsal();
        HttpServer standIn = vertx.createHttpServer().requestHandler(rehearsal::answer);
        CountDownLatch over = new CountDownLatch(1);
        standIn.listen(0, "127.0.0.1")
                .compose(s -> rehearsal.serve(vertx, s.actualPort()))
                .onComplete(r -> over.countDown());
        try {
            return over.await(20, TimeUnit.SECONDS) ? 0 : 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    private Future<Void> serve(Vertx vertx, int port) {
        Span wait = Span.seconds(3);
        try {
            PlatformConfig config = PlatformConfig.parse("rehearsal", String.format(PLATFORM, port, port));
            return new Node(vertx, config, Settings.standard())
                    .start()
                    .compose(own -> {
                        ServiceClient user = new ServiceClient(vertx, new Endpoint("127.0.0.1", own), 2);
                        return vertx.timer(700, TimeUnit.MILLISECONDS)
                                .compose(v -> user.get("/ready", wait))
                                .compose(v -> user.post("/api/jobs", job(), wait))
                                .compose(v -> user.get("/api/jobs/run-1", wait))
                                .compose(v -> vertx.timer(400, TimeUnit.MILLISECONDS))
                                // The first answer tells the token: a list under an older one is not taken, and nothing
                                // is started.
                                .compose(v -> user.post("/checkin", report(1, 0), wait))
                                .compose(r ->
                                        user.post("/checkin", report(2, r.body().whole("baton")), wait))
                                .compose(r ->
                                        user.post("/checkin", report(3, r.body().whole("baton")), wait))
                                .compose(v -> user.post("/api/jobs/run-1/cancel", Map.of(), wait))
                                .compose(v -> vertx.timer(700, TimeUnit.MILLISECONDS));
                    })
                    .mapEmpty();
        } catch (ConfigException e) {
            return Future.failedFuture(e);
        }
    }

    private void answer(HttpServerRequest request) {
        String path = request.path();
        request.body().onSuccess(body -> {
            if (path.equals("/store")) {
                reply(
                        request,
                        200,
                        MessagePackFormat.map("items", List.of(), "truncated", false, "ledger_rev", revision));
            } else if (path.equals("/store/era")) {
                reply(request, 200, MessagePackFormat.map("path", "era", "data", Map.of("token", 1L), "stamp", 1L));
            } else if (path.equals("/store/j/run-1")) {
                reply(request, 200, MessagePackFormat.map("path", "j/run-1", "data", record(), "stamp", 1L));
            } else if (path.startsWith("/store/")) {
                reply(request, 404, MessagePackFormat.map("ledger_rev", revision));
            } else if (path.equals("/catalog")) {
                reply(
                        request,
                        200,
                        MessagePackFormat.map(
                                "boxkinds",
                                List.of(MessagePackFormat.map(
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
                                        List.of("z")))));
            } else if (path.equals("/machines")) {
                reply(
                        request,
                        200,
                        request.method().name().equals("GET")
                                ? MessagePackFormat.map("boxes", List.of(), "truncated", false)
                                : MessagePackFormat.map("boxes", List.of("vm-1")));
            } else if (path.equals("/grants")) {
                reply(request, 200, MessagePackFormat.map("permit", 1L));
            } else if (path.equals("/changes") && !request.getParam("starts").equals("j/")) {
                // Nothing changes there: the watch stays open.
                request.response().closeHandler(v -> {});
            } else if (path.equals("/changes") && request.getParam("starts").equals("j/")) {
                Map<String, Object> event =
                        MessagePackFormat.map("write", "j/run-1", "data", record(), "stamp", ++revision);
                reply(request, 200, MessagePackFormat.map("ledger_rev", revision, "events", List.of(event)));
            } else {
                reply(request, 200, MessagePackFormat.map("ledger_rev", ++revision));
            }
        });
    }

    private static void reply(HttpServerRequest request, int status, Map<String, Object> body) {
        request.response().setStatusCode(status).end(MessagePackFormat.write(body));
    }

    private static Map<String, Object> record() {
        return io.indigoreach.state.JobRecordCodec.writeJob(
                io.indigoreach.api.JobCodec.read(MessagePackFormat.readMap(MessagePackFormat.write(job()))),
                1L,
                io.indigoreach.core.model.JobStatus.PENDING,
                new java.util.BitSet(),
                0,
                4);
    }

    private static Map<String, Object> job() {
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

    private static Map<String, Object> report(int serial, long token) {
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
