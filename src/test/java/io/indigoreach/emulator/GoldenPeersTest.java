package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenHttp;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.state.Golden;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.indigoreach.worker.WorkerCodec;
import io.vertx.core.http.HttpServerRequest;
import java.net.ConnectException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What a node answers to the other controllers and asks them, byte for byte but for what is of the moment. */
class GoldenPeersTest {
    private static final Set<String> OF_THE_MOMENT =
            Set.of("quiet_ms", "covered_ms", "back_ms", "at", "stamp", "era", "bound", "baton");

    private static String get(Endpoint at, String path) throws Exception {
        return GoldenHttp.exchange(at, "GET", path, new byte[0], OF_THE_MOMENT);
    }

    private static String post(Endpoint at, String path, Map<String, Object> body) throws Exception {
        return GoldenHttp.exchange(
                at, "POST", path, MessagePackFormat.write(body).getBytes(), OF_THE_MOMENT);
    }

    @Test
    void whatANodeAnswersToOthers() throws Exception {
        GoldenFile golden = new GoldenFile("peers.txt");
        try (LocalCluster cluster = new LocalCluster(1, "")) {
            PlatformConfig config = cluster.emulator.nodes().get(0);
            Endpoint users = new Endpoint(config.listen().host(), cluster.start(config));
            Endpoint peers = config.peerListen();
            awaitLeading(config);
            golden.expectText("standing of a leader", get(peers, "/standing"))
                    .expectText("nothing known", get(peers, "/knows?id=run-1"))
                    .expectText("nothing recalled", get(peers, "/recall?id=run-1"))
                    .expectText("nothing remembered", get(peers, "/remains?part=0"));
            DepotCodec.Upload upload =
                    new DepotCodec.Upload(LocalCluster.job(1, 3, 60), new Depot.Conduct(Span.seconds(60), 0, false));
            LocalCluster.await(cluster.emulator.upload(upload));
            GoldenHttp.post(users, "/api/jobs", io.indigoreach.api.JobCodec.write(upload.spec()));
            golden.expectText("a job known", get(peers, "/knows?id=run-1"))
                    .expectText("a job recalled", get(peers, "/recall?id=run-1"))
                    .expectText("a job remembered", get(peers, "/remains?part=0"))
                    .expectText("no later part", get(peers, "/remains?part=1"))
                    .expectText(
                            "pledge of what is served",
                            post(peers, "/pledge", MessagePackFormat.map("back_ms", 7000L)));
            GoldenHttp.post(users, "/api/jobs/run-1/cancel", Map.of());
            golden.expectText(
                            "pledge with a told cancellation",
                            post(peers, "/pledge", MessagePackFormat.map("back_ms", 7000L)))
                    .expectText(
                            "malformed question for a pledge",
                            post(peers, "/pledge", MessagePackFormat.map("back_ms", "long")))
                    .expectText("told of a loss", post(peers, "/loss", MessagePackFormat.map("era", 0L)))
                    .expectText(
                            "asked to remove another key", post(peers, "/handover", MessagePackFormat.map("stamp", 1L)))
                    .expectText("asked for a job without an id", get(peers, "/knows?id=one"));
            // A leader sends workers away until it has read the records, however soon it says that it leads.
            await(
                    () -> !post(users, WorkerCodec.HEARTBEAT, Map.of()).startsWith("421 "),
                    "the leader answered no worker");
            golden.expectText("answer to a worker's first report", post(users, WorkerCodec.HEARTBEAT, report()))
                    .expectText("answer to a malformed report", post(users, WorkerCodec.HEARTBEAT, Map.of()))
                    .expectText("answer to a report by another method", get(users, WorkerCodec.HEARTBEAT));
        }
        golden.verify();
    }

    private static String hex(Map<String, Object> message) {
        return GoldenFile.encodeHex(message);
    }

    /** Plays the other controllers: what they were asked first of each kind, by its path; they say that they do not lead. */
    private static final class Others {
        private final Map<String, String> asked = new ConcurrentHashMap<>();
        private volatile boolean served;

        void listen(LocalCluster cluster, int node) throws Exception {
            Endpoint at = cluster.emulator.nodes().get(node).peerListen();
            LocalCluster.await(cluster.vertx
                    .createHttpServer()
                    .requestHandler(this::answer)
                    .listen(at.port(), at.host()));
        }

        private void answer(HttpServerRequest request) {
            request.body().onSuccess(body -> {
                String sent = body.length() == 0
                        ? ""
                        : Golden.hex(MessagePackFormat.write(GoldenHttp.maskVolatileValues(
                                MessagePackFormat.readMap(body).map(), OF_THE_MOMENT)));
                asked.putIfAbsent(request.path(), request.method() + " " + request.uri() + " " + sent);
                boolean isKnown = request.path().equals("/standing");
                request.response()
                        .setStatusCode(isKnown ? 200 : 404)
                        .end(MessagePackFormat.write(
                                isKnown ? MessagePackFormat.map("served", served, "leads", false) : Map.of()));
            });
        }

        void await(String path) throws Exception {
            GoldenPeersTest.await(() -> asked.containsKey(path), "nobody asked " + path);
        }
    }

    /** It leads, and listens to the others. */
    private static void awaitLeading(PlatformConfig node) throws Exception {
        String leads = hex(MessagePackFormat.map("served", true, "leads", true));
        await(
                () -> {
                    try {
                        return get(node.peerListen(), "/standing").endsWith(leads);
                    } catch (ConnectException e) {
                        return false;
                    }
                },
                node.node() + " does not lead");
    }

    private static void await(Callable<Boolean> condition, String otherwise) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LocalCluster.PATIENCE_S);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < until, otherwise);
            Thread.sleep(20);
        }
    }

    private static String awaitSentElsewhere(Endpoint users) throws Exception {
        String[] answer = new String[1];
        await(
                () -> {
                    answer[0] = post(users, WorkerCodec.HEARTBEAT, report());
                    return answer[0].startsWith("421 ");
                },
                "reports are answered as by a leader");
        return answer[0];
    }

    private static Map<String, Object> report() {
        return WorkerCodec.write(new Heartbeat(
                new MachineId("vm-000231"),
                "127.0.0.1:9",
                new MachinePool("quad", "a", false),
                new HeartbeatNumber(1, 1),
                new FencingToken(0),
                null,
                List.of()));
    }

    @Test
    void whatANodeAsksOthers() throws Exception {
        GoldenFile golden = new GoldenFile("peers-asked.txt");
        try (LocalCluster cluster = new LocalCluster(3, 32, "")) {
            Others others = new Others();
            others.listen(cluster, 1);
            others.listen(cluster, 2);
            StateStandIn state = LocalCluster.await(new StateStandIn().listen(cluster.vertx));
            PlatformConfig own = cluster.emulator.nodes().get(0);
            int port = cluster.start(LocalCluster.with(own, own.listen(), state.endpoint()));
            Endpoint users = new Endpoint(own.listen().host(), port);
            awaitLeading(own);
            GoldenHttp.get(users, "/api/jobs/run-000412");
            others.await("/knows");
            StateClient client = new StateClient(
                    new ServiceClient(cluster.vertx, state.endpoint(), 1),
                    new ServiceClient(cluster.vertx, state.endpoint(), 1));
            LocalCluster.await(client.commit(new StateClient.Txn()
                    .put(RecordKeys.openKey(new JobId("run-000413")), MessagePackFormat.map("spoilt", 1L))));
            GoldenHttp.get(users, "/api/jobs/run-000413");
            others.await("/recall");
            LocalCluster.await(
                    client.commit(new StateClient.Txn().delete(RecordKeys.openKey(new JobId("run-000413")))));
            others.served = true;
            state.refusing = true;
            others.await("/standing");
            others.await("/handover");
            golden.expectText("answer to a report where another node may lead", awaitSentElsewhere(users));
            others.served = false;
            state.serveAgain();
            awaitLeading(own);
            for (int tries = 0; tries < 5 && !others.asked.containsKey("/pledge"); tries++) {
                // Only while the lease lasts, which a busy machine may let pass.
                state.refusing = true;
                LocalCluster.await(cluster.vertx.timer(6, TimeUnit.SECONDS));
                state.serveAgain();
                awaitLeading(own);
            }
            others.await("/pledge");
            LocalCluster.await(client.commit(new StateClient.Txn().delete(RecordKeys.ERA)));
            others.await("/loss");
            others.await("/remains");
            new TreeMap<>(others.asked).forEach(golden::expectText);
        }
        golden.verify();
    }
}
