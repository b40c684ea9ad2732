package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.JobService;
import io.indigoreach.checker.History;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Gate;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.scenario.Fault;
import io.indigoreach.scenario.TextForm;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The state service over sockets, as its clients meet it: a hundred requests at once wait at most a second for a connection. */
@Tag("quiet-machine")
class StateServerTest {
    private static final int SILENT = 2000;
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();

    @TempDir
    private Path data;

    private StateServer server;
    private int port;

    @AfterEach
    void close() throws Exception {
        LocalCluster.await(server.close());
        LocalCluster.await(vertx.close());
    }

    private StateClient open(Path directory, int at, String... faults) throws Exception {
        Promise<Integer> listening = Promise.promise();
        vertx.runOnContext(v -> {
            try {
                server = new StateServer(
                        vertx,
                        clock,
                        new StateLimits(1e6, 1e6, 8192, 16),
                        gate(faults),
                        new SplittableRandom(1),
                        new History(),
                        directory,
                        e -> {});
                server.listen("node-0", "127.0.0.1", at).onComplete(listening);
            } catch (Exception e) {
                listening.fail(e);
            }
        });
        port = LocalCluster.await(listening.future());
        return client();
    }

    private Gate gate(String... faults) throws ConfigException {
        List<Fault> list = new ArrayList<>();
        for (String f : faults) {
            list.add(TextForm.parse("f", f, Fault.class));
        }
        return new Gate(list, new SplittableRandom(1), clock.now());
    }

    private StateClient client() {
        Endpoint e = new Endpoint("127.0.0.1", port);
        return new StateClient(new ServiceClient(vertx, e, 4), new ServiceClient(vertx, e, 2));
    }

    private static boolean fails(Future<?> future) throws Exception {
        return LocalCluster.await(future.map(v -> false).otherwise(true));
    }

    /** A client of another node, whom other faults meet. */
    private StateClient another() throws Exception {
        Promise<Integer> listening = Promise.promise();
        vertx.runOnContext(v -> server.listen("node-1", "127.0.0.1", 0).onComplete(listening));
        port = LocalCluster.await(listening.future());
        return client();
    }

    /** The protocol allows any data as a value; a client written from it alone met 400, and 200 for no transaction at all. */
    @Test
    void keepsAnyDataAndRefusesWhatIsNoTransaction() throws Exception {
        open(null, 0);
        ServiceClient client = new ServiceClient(vertx, new Endpoint("127.0.0.1", port), 1);
        List<Object> values =
                List.of("text", List.of(1L, "a"), 7L, Map.of("", 1L), Map.of("", List.of()), Map.of("a", 2L));
        for (int i = 0; i < values.size(); i++) {
            assertTrue(LocalCluster.await(client.post(
                            "/txn",
                            MessagePackFormat.map(
                                    "writes", List.of(MessagePackFormat.map("write", "k/" + i, "data", values.get(i)))),
                            Span.seconds(5)))
                    .isOk());
            assertEquals(
                    values.get(i),
                    LocalCluster.await(client.get("/store/k/" + i, Span.seconds(5)))
                            .body()
                            .map()
                            .get("data"));
        }
        assertEquals(
                400,
                LocalCluster.await(client.post("/txn", null, Span.seconds(5))).status());
    }

    private static StateClient.Txn put(String key, long n) {
        return new StateClient.Txn().put(key, MessagePackFormat.map("n", n));
    }

    /** Ended in the middle and started again on the same address, with clients connected: all that was answered is there. */
    @Test
    void isDurableWithClientsConnected() throws Exception {
        Path first = data.resolve("first");
        StateClient client = open(first, 0);
        long lease = LocalCluster.await(client.grant(Span.seconds(30)));
        List<Future<StateClient.Outcome>> writes = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            writes.add(client.commit(put("k/" + i, i)));
        }
        LocalCluster.await(Future.all(writes));
        LocalCluster.await(client.commit(new StateClient.Txn()
                .put("leased", MessagePackFormat.map("n", 1), lease)
                .delete("k/0")));
        Future<StateClient.Changes> watch = client.watch("k/", server.model().revision(), Span.seconds(30));
        // What is on the disk at this moment is what a process that is killed now leaves.
        Path copy = data.resolve("copy");
        Files.createDirectories(copy);
        try (var files = Files.list(first)) {
            for (Path p : files.toList()) {
                Files.copy(p, copy.resolve(p.getFileName()));
            }
        }
        LocalCluster.await(server.close());
        assertTrue(fails(watch));
        open(copy, port);
        assertEquals(
                149,
                LocalCluster.await(client.list("k/", null, 1000).recover(e -> client.list("k/", null, 1000)))
                        .items()
                        .size());
        assertTrue(LocalCluster.await(client.renew(lease, Span.seconds(2))));
        assertEquals(1, LocalCluster.await(client.get("leased")).value().wholeNumber("n"));
        assertEquals(152, LocalCluster.await(client.commit(put("k/0", 1))).revision());
    }

    /** A transaction that is executed late, after its client gave up and repeated it elsewhere, fails on its condition. */
    @Test
    void executesLate() throws Exception {
        StateClient late = open(null, 0, "kind: late at_s: 0 for_s: 600 from: \"node-0\" writes: true delay_s: 1.9");
        StateClient other = another();
        Future<StateClient.Outcome> first = late.commit(put("a", 1).when("a", Revision.ABSENT));
        assertTrue(LocalCluster.await(other.commit(put("a", 2).when("a", Revision.ABSENT)))
                .done());
        assertTrue(fails(first), "it got no answer");
        assertEquals(2, LocalCluster.await(other.get("a")).value().wholeNumber("n"));
        assertEquals(1, server.model().revision());
    }

    /** Connections are refused, also those of a client that was served before; then all is as it was. */
    @Test
    @Timeout(LocalCluster.PATIENCE_S)
    void refusesConnections() throws Exception {
        StateClient client = open(null, 0, "kind: closed at_s: 3 for_s: 1");
        assertTrue(LocalCluster.await(client.commit(put("a", 1))).done());
        boolean refused = false;
        for (boolean again = false; !again; ) {
            String why = LocalCluster.await(vertx.createNetClient()
                    .connect(port, "127.0.0.1")
                    .compose(NetSocket::close)
                    .map("open")
                    .otherwise(Throwable::getMessage));
            refused |= why.contains("refused");
            again = refused && why.equals("open");
        }
        assertEquals(1, LocalCluster.await(client.get("a")).value().wholeNumber("n"));
    }

    /** A lost answer: executed all the same, so that the repeated one finds its key written. */
    @Test
    void losesAnswers() throws Exception {
        StateClient deaf = open(null, 0, "kind: lose_answer at_s: 0 for_s: 600 from: \"node-0\" writes: true");
        StateClient other = another();
        assertTrue(fails(deaf.commit(put("a", 1).when("a", Revision.ABSENT))));
        StateClient.Outcome again = LocalCluster.await(other.commit(put("a", 2).when("a", Revision.ABSENT)));
        assertEquals(List.of("a"), again.failed());
    }

    /** Reads from the past: the client notices, confirms by comparing, and no user is told 404 or an older state. */
    @Test
    void isCaughtAnsweringWithThePast() throws Exception {
        StateClient client = open(null, 0, "kind: stale at_s: 0 for_s: 600 behind: 3");
        JobService desk = new JobService(new JobService.Context(
                vertx, client, new JobRepairer(client, clock), null, List.of(), clock, 8192, 100));
        JobId id = new JobId("run-1");
        assertTrue(LocalCluster.await(client.commit(new StateClient.Txn()
                        .when(RecordKeys.openKey(id), Revision.ABSENT)
                        .put(
                                RecordKeys.openKey(id),
                                JobRecordCodec.writeJob(
                                        LocalCluster.job(1, 1, 1), 1, JobStatus.PENDING, new BitSet(), 0, 0))))
                .done());
        assertNull(LocalCluster.await(client.get(RecordKeys.openKey(id))), "the read comes from before");
        assertTrue(client.areReadsSuspect());
        assertTrue(fails(desk.query(id.text())), "neither 404 nor anything else is known");
        for (int i = 0; i < 3; i++) {
            LocalCluster.await(client.commit(put("other", i)));
        }
        assertEquals(200, LocalCluster.await(desk.query(id.text())).status(), "three changes later the read is right");
        StateClient.Entry open = LocalCluster.await(client.get(RecordKeys.openKey(id)));
        assertTrue(LocalCluster.await(client.commit(new StateClient.Txn()
                        .when(RecordKeys.openKey(id), open.revision())
                        .delete(RecordKeys.openKey(id))
                        .put(RecordKeys.finalKey(id), JobRecordCodec.writeFinal(JobStatus.CANCELLED, 0))))
                .done());
        assertTrue(fails(desk.query(id.text())), "not told that it is open once it is cancelled");
        for (int i = 0; i < 3; i++) {
            LocalCluster.await(client.commit(put("other", i)));
        }
        ApiResponse over = LocalCluster.await(desk.query(id.text()));
        assertEquals("cancelled", over.body().get("status"));
        assertEquals(404, LocalCluster.await(desk.query("run-2")).status(), "confirmed to be nowhere");
    }

    /** A stale read between the failure of a compare-and-set and its retry: it fails again, and nothing is written over. */
    @Test
    void readsThePastBetweenAFailureAndItsRetry() throws Exception {
        StateClient client = open(null, 0, "kind: stale at_s: 0 for_s: 600 behind: 1");
        JobService desk = new JobService(new JobService.Context(
                vertx, client, new JobRepairer(client, clock), null, List.of(), clock, 8192, 100));
        JobId id = new JobId("run-1");
        BitSet done = new BitSet();
        for (int progress = 0; progress < 2; progress++) {
            LocalCluster.await(client.commit(new StateClient.Txn()
                    .put(
                            RecordKeys.openKey(id),
                            JobRecordCodec.writeJob(LocalCluster.job(1, 4, 1), 1, JobStatus.RUNNING, done, 1, 4))));
            done.set(progress);
        }
        assertEquals(503, status(desk.cancel(id.text())), "three times the version of before");
        assertEquals(2, server.model().revision());
        LocalCluster.await(client.commit(put("other", 1)));
        assertEquals(200, status(desk.cancel(id.text())));
        assertEquals(4, server.model().revision());
    }

    /** What the user is told; a failure is told as 503. */
    private static int status(Future<ApiResponse> answer) throws Exception {
        return LocalCluster.await(answer.map(ApiResponse::status).otherwise(503));
    }

    /** Silent connections by the thousand and bodies that are no messages leave others served. */
    @Test
    void standsSilenceAndNonsense() throws Exception {
        StateClient client = open(null, 0);
        List<Future<NetSocket>> silent = new ArrayList<>();
        // One client that is closed at the end: one that nobody refers to any more is closed with the next collection.
        NetClient connections = vertx.createNetClient();
        for (int i = 0; i < SILENT; i++) {
            silent.add(connections.connect(port, "127.0.0.1"));
            if (i % 100 == 99) {
                LocalCluster.await(Future.all(silent));
            }
        }
        ServiceClient caller = new ServiceClient(vertx, new Endpoint("127.0.0.1", port), 1);
        Buffer[] nonsense = {
            Buffer.buffer("hello"),
            Buffer.buffer(new byte[] {(byte) 0xdf, -1, -1, -1, -1}),
            Buffer.buffer(new byte[] {(byte) 0xc1}),
            Buffer.buffer(new byte[] {(byte) 0x91, (byte) 0xa1, 'x'}),
            MessagePackFormat.write(MessagePackFormat.map("writes", "no list")),
            MessagePackFormat.write(MessagePackFormat.map("writes", List.of(1L))),
            MessagePackFormat.write(MessagePackFormat.map("when", List.of(MessagePackFormat.map("path", "a"))))
        };
        for (Buffer body : nonsense) {
            ServiceResponse r = LocalCluster.await(vertx.createHttpClient()
                    .request(HttpMethod.POST, port, "127.0.0.1", "/txn")
                    .compose(q -> q.send(body))
                    .map(a -> new ServiceResponse(a.statusCode(), null)));
            assertEquals(400, r.status());
        }
        for (String path : List.of("/changes?starts=a&since=x", "/changes", "/store", "/grants/x/renew", "/nowhere")) {
            int status = LocalCluster.await(caller.get(path, Span.seconds(2))).status();
            assertTrue(status >= 400 && status < 500, path + " " + status);
        }
        assertTrue(LocalCluster.await(client.commit(put("a", 1))).done());
        assertTrue(silent.stream().allMatch(Future::succeeded));
        LocalCluster.await(connections.close());
    }
}
