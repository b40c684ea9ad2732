package io.indigoreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Taking, keeping and losing leadership, against a stand-in for the state service. Waits are for events, not times. */
class LeaderElectionTest {
    private final Vertx vertx = Vertx.vertx();
    private final BlockingQueue<String> events = new ArrayBlockingQueue<>(100);
    private final SteadyClock clock = new SteadyClock();
    private final AtomicLong highestToken = new AtomicLong();
    /** How many leaderships there were, each under a token above all before. */
    private final AtomicLong leadershipCount = new AtomicLong();

    private FakeStateService service;

    @BeforeEach
    void listen() throws Exception {
        service = new FakeStateService()
                .listen(vertx)
                .toCompletionStage()
                .toCompletableFuture()
                .get();
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    private LeaderElection startNode(String node, String process, int peers) {
        return startNode(node, process, peers, Span.seconds(10));
    }

    private LeaderElection startNode(String node, String process, int peers, Span leaseTime) {
        return startNode(node, process, peers, leaseTime, () -> Future.succeededFuture(false));
    }

    private LeaderElection startNode(
            String node, String process, int peers, Span leaseTime, Supplier<Future<Boolean>> leaderlessQuery) {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 4), new ServiceClient(vertx, service.endpoint(), 2));
        LeaderElection election = new LeaderElection(
                new ElectionSettings(
                        new StateAccess(vertx, client),
                        new StateAccess(vertx, client),
                        clock,
                        new Candidate(node, process, peers),
                        leaseTime,
                        new TokenGenerator(node.charAt(0) - 'a', clock.timeOfDay(), Span.seconds(0.1))),
                new LeaderElection.Listener() {
                    @Override
                    public void leadershipGained(FencingToken token, Revision key, boolean bounds) {
                        boolean above = token.value() > highestToken.getAndSet(token.value());
                        events.add(process + " took " + (above ? leadershipCount.incrementAndGet() : "an old token")
                                + (bounds ? "" : ", bounds in doubt"));
                    }

                    @Override
                    public void leadershipLost(String reason) {
                        events.add(process + " lost");
                    }
                });
        election.setPeerQueries(() -> Future.succeededFuture(false), leaderlessQuery);
        vertx.runOnContext(v -> election.start());
        return election;
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(20, TimeUnit.SECONDS);
    }

    @Test
    void nextLeaderHasHigherToken() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 0);
        assertEquals("a1 took 1", nextEvent());
        assertTrue(nodeA.isValid());
        vertx.runOnContext(v -> nodeA.stop());
        startNode("b", "b1", 0);
        service.endLeases();
        assertEquals("b1 took 2", nextEvent());
    }

    /** Whether a node that starts waits for a leader before it listens: nobody leads, in a deployment where somebody has. */
    @ParameterizedTest
    @CsvSource({
        "-, false, false, false",
        "-, true, false, true",
        "a, true, false, true",
        "b, true, true, false",
        "b, true, false, true"
    })
    void startingNodeDetectsLeaderlessDeployment(
            String leader, boolean counterExists, boolean peerLeads, boolean leaderless) throws Exception {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 4), new ServiceClient(vertx, service.endpoint(), 2));
        StateClient.Txn initialState = new StateClient.Txn();
        if (counterExists) {
            initialState.put(
                    RecordKeys.COUNTER,
                    new CounterRecord(new FencingToken(4), true, CounterRecord.ORIGINAL_FORMAT).write());
        }
        if (!leader.equals("-")) {
            initialState.put(RecordKeys.LEADER, LeaderKey.write(leader, "p", new FencingToken(4)));
        }
        client.commit(initialState).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        LeaderElection nodeA = new LeaderElection(
                new ElectionSettings(
                        new StateAccess(vertx, client),
                        new StateAccess(vertx, client),
                        clock,
                        new Candidate("a", "a2", 2),
                        Span.seconds(10),
                        new TokenGenerator(0, clock.timeOfDay(), Span.seconds(0.1))),
                null);
        assertEquals(
                leaderless,
                nodeA.clearPredecessorKey(node -> Future.succeededFuture(peerLeads && node.equals("b")))
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(20, TimeUnit.SECONDS));
    }

    /** Guards against waiting a whole lease for a process that surely has ended. */
    @Test
    void restartedNodeDoesNotWaitForItsOldLease() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 0);
        assertEquals("a1 took 1", nextEvent());
        vertx.runOnContext(v -> nodeA.stop());
        startNode("a", "a2", 0);
        assertEquals("a2 took 2", nextEvent());
    }

    @Test
    void restartedNodeLetsRunningNodeLeadFirst() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 2);
        assertEquals("a1 took 1", nextEvent());
        vertx.runOnContext(v -> nodeA.stop());
        startNode("b", "b1", 2);
        while (service.transactionCount < 1) {
            Thread.onSpinWait();
        }
        startNode("a", "a2", 2);
        assertTrue(nextEvent().endsWith("took 2"));
    }

    /** The key was written but the answer lost: this process may take it again, under a higher token. */
    @Test
    void lostCampaignResponseDoesNotBlockLeadership() throws Exception {
        service.responsesToLose = 1;
        startNode("a", "a1", 0);
        assertEquals("a1 took 1", nextEvent());
    }

    @Test
    void leaderReportsLossWhenItsLeaseEnds() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 0);
        assertEquals("a1 took 1", nextEvent());
        service.endLeases();
        assertEquals("a1 lost", nextEvent());
        assertEquals("a1 took 2", nextEvent());
        vertx.runOnContext(v -> nodeA.onLeadershipConflict());
        assertEquals("a1 lost", nextEvent());
        assertFalse(nodeA.isValid() && events.isEmpty());
    }

    /** A leader that alone is refused by the state service held its key for a whole lease (water kiosks, apart). */
    @Test
    void peerRemovesTheKeyOfAResignedLeader() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 2);
        assertEquals("a1 took 1", nextEvent());
        LeaderElection nodeB = startNode("b", "b1", 2);
        service.ignoreLeaseRevocation = true;
        CompletableFuture<Revision> key = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            key.complete(nodeA.handOver("refused alone"));
            nodeA.stop();
        });
        assertEquals("a1 lost", nextEvent());
        vertx.runOnContext(v -> {
            var unused = key.thenAccept(nodeB::removeKey);
        });
        assertEquals("b1 took 2", nextEvent());
        nodeB.removeKey(key.get()).toCompletionStage().toCompletableFuture().get();
        assertTrue(service.has(RecordKeys.LEADER), "a late request leaves a later leader's key alone");
    }

    /**
     * An older version of the program led in between: it orders tasks without raising their bounds, and its counter does not
     * say otherwise. Bounds are believed again once a leader has vouched for all that is open.
     */
    @Test
    void startBoundsAreUnreliableAfterAnOlderVersionHasLed() throws Exception {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 1), new ServiceClient(vertx, service.endpoint(), 1));
        client.commit(new StateClient.Txn().put(RecordKeys.COUNTER, MessagePackFormat.map("value", 7L)))
                .toCompletionStage()
                .toCompletableFuture()
                .get();
        LeaderElection nodeA = startNode("a", "a1", 0);
        assertEquals("a1 took 1, bounds in doubt", nextEvent());
        vertx.runOnContext(v -> nodeA.onLeadershipConflict());
        assertEquals("a1 lost", nextEvent());
        assertEquals("a1 took 2, bounds in doubt", nextEvent());
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        vertx.runOnContext(v -> nodeA.confirmStartBounds().onComplete(r -> confirmed.complete(null)));
        confirmed.get();
        vertx.runOnContext(v -> nodeA.onLeadershipConflict());
        assertEquals("a1 lost", nextEvent());
        assertEquals("a1 took 3", nextEvent());
    }

    /** Found on loopback: with the leader's key and the counter deleted, the next leader took the first token once more. */
    @ParameterizedTest
    @ValueSource(strings = {"leader", "counter", "leader counter"})
    void tokensAreNotReusedAfterKeysAreDeleted(String keys) throws Exception {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 1), new ServiceClient(vertx, service.endpoint(), 1));
        LeaderElection nodeA = startNode("a", "a1", 2);
        assertEquals("a1 took 1", nextEvent());
        for (int round = 2; round < 4; round++) {
            StateClient.Txn deletion = new StateClient.Txn();
            List.of(keys.split(" ")).forEach(deletion::delete);
            client.commit(deletion).toCompletionStage().toCompletableFuture().get();
            if (!keys.contains("leader")) {
                vertx.runOnContext(v -> nodeA.onLeadershipConflict());
            }
            assertEquals("a1 lost", nextEvent());
            assertEquals("a1 took " + round, nextEvent(), "it led until now, so it need not wait for its own lease");
        }
    }

    /**
     * In an outage of the state service a leader goes on by the others' pledges, and by nothing less: not by those of some,
     * and not by those that come when its own time was over, as another may have led in between.
     */
    @ParameterizedTest
    @CsvSource({"always, true", "never, false", "late, false"})
    void onlyPledgesOfAllPeersBridgeAnOutage(String pledged, boolean valid) throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 2, Span.seconds(3));
        AtomicBoolean pledging = new AtomicBoolean("always".equals(pledged));
        vertx.runOnContext(v -> nodeA.setPeerQueries(
                () -> Future.succeededFuture(pledging.get()), () -> Future.succeededFuture(false)));
        assertEquals("a1 took 1", nextEvent());
        service.unavailable = true;
        Moment endAt = clock.now().plus(Span.seconds(3.5));
        while (nodeA.isValid() && clock.now().isBefore(endAt)) {
            Thread.onSpinWait();
        }
        pledging.set(!"never".equals(pledged));
        CompletableFuture<Boolean> requested = new CompletableFuture<>();
        vertx.runOnContext(v -> nodeA.setPeerQueries(
                () -> {
                    vertx.setTimer(1, t -> requested.complete(true));
                    return Future.succeededFuture(pledging.get());
                },
                () -> Future.succeededFuture(false)));
        if (valid) {
            requested.get(20, TimeUnit.SECONDS);
        }
        assertEquals(valid, nodeA.isValid());
        service.unavailable = false;
        while (!nodeA.isValid()) {
            Thread.onSpinWait();
        }
        assertTrue(events.isEmpty(), "its lease has never ended");
    }

    /** Guards against two leaders: who has pledged, or may have in a former process, does not take a key that is free. */
    @Test
    void pledgeDefersCampaigning() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 2);
        assertEquals("a1 took 1", nextEvent());
        assertFalse(nodeA.pledge(), "a leader does not pledge");
        LeaderElection nodeB = startNode("b", "b1", 2);
        while (service.transactionCount < 2 && nodeB.leaderNode() == null) {
            Thread.onSpinWait();
        }
        CompletableFuture<Moment> pledgedAt = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            assertTrue(nodeB.pledge());
            pledgedAt.complete(clock.now());
            nodeA.stop();
            service.endLeases();
        });
        Moment pledgeTime = pledgedAt.get();
        assertEquals("b1 took 2", nextEvent());
        assertTrue(clock.now().since(pledgeTime).compareTo(GivenPledges.PLEDGE_TIME) >= 0);
        vertx.runOnContext(v -> nodeB.stop());
        Moment startedAt = clock.now();
        LeaderElection nodeC = startNode("c", "c1", 2);
        service.endLeases();
        assertEquals("c1 took 3", nextEvent());
        assertTrue(
                clock.now().since(startedAt).compareTo(GivenPledges.PLEDGE_TIME) >= 0,
                "a former process of it may have pledged");
        service.endLeases();
        assertEquals("c1 lost", nextEvent());
        vertx.runOnContext(v -> nodeC.stop());
        AtomicBoolean queried = new AtomicBoolean();
        LeaderElection nodeD = startNode(
                "d", "d1", 2, Span.seconds(10), () -> Future.succeededFuture(queried.compareAndSet(false, true)));
        service.endLeases();
        assertEquals("d1 took 4", nextEvent());
        assertTrue(queried.get() && nodeD.isValid(), "not so if nobody leads");
    }
}
