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

/** Tests gaining, keeping and losing leadership against a fake state service. The tests wait for events, not for fixed times. */
class LeaderElectionTest {
    private final Vertx vertx = Vertx.vertx();
    private final BlockingQueue<String> events = new ArrayBlockingQueue<>(100);
    private final SteadyClock clock = new SteadyClock();
    private final AtomicLong highestToken = new AtomicLong();
    /** The number of leaderships that had a higher token than all before. */
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
                        events.add(process + " gained " + (above ? leadershipCount.incrementAndGet() : "an old token")
                                + (bounds ? "" : ", start bounds unreliable"));
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
        assertEquals("a1 gained 1", nextEvent());
        assertTrue(nodeA.isValid());
        vertx.runOnContext(v -> nodeA.stop());
        startNode("b", "b1", 0);
        service.endLeases();
        assertEquals("b1 gained 2", nextEvent());
    }

    /**
     * If the deployment had a leader earlier and has none now, a starting node accepts no requests until a leader is
     * elected.
     */
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

    /** Guards against waiting a full lease time for the node's own previous process, which has ended. */
    @Test
    void restartedNodeDoesNotWaitForItsOldLease() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 0);
        assertEquals("a1 gained 1", nextEvent());
        vertx.runOnContext(v -> nodeA.stop());
        startNode("a", "a2", 0);
        assertEquals("a2 gained 2", nextEvent());
    }

    @Test
    void restartedNodeLetsRunningNodeLeadFirst() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 2);
        assertEquals("a1 gained 1", nextEvent());
        vertx.runOnContext(v -> nodeA.stop());
        startNode("b", "b1", 2);
        while (service.transactionCount < 1) {
            Thread.onSpinWait();
        }
        startNode("a", "a2", 2);
        assertTrue(nextEvent().endsWith("gained 2"));
    }

    /** The campaign was executed but its response lost: the process may campaign again with a higher token. */
    @Test
    void lostCampaignResponseDoesNotBlockLeadership() throws Exception {
        service.responsesToLose = 1;
        startNode("a", "a1", 0);
        assertEquals("a1 gained 1", nextEvent());
    }

    @Test
    void leaderReportsLossWhenItsLeaseEnds() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 0);
        assertEquals("a1 gained 1", nextEvent());
        service.endLeases();
        assertEquals("a1 lost", nextEvent());
        assertEquals("a1 gained 2", nextEvent());
        vertx.runOnContext(v -> nodeA.onLeadershipConflict());
        assertEquals("a1 lost", nextEvent());
        assertFalse(nodeA.isValid() && events.isEmpty());
    }

    /** Guards against a leader that the state service alone rejects and whose key stays for a full lease time. */
    @Test
    void peerRemovesTheKeyOfAResignedLeader() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 2);
        assertEquals("a1 gained 1", nextEvent());
        LeaderElection nodeB = startNode("b", "b1", 2);
        service.ignoreLeaseRevocation = true;
        CompletableFuture<Revision> key = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            key.complete(nodeA.handOver("state service unreachable"));
            nodeA.stop();
        });
        assertEquals("a1 lost", nextEvent());
        vertx.runOnContext(v -> {
            var unused = key.thenAccept(nodeB::removeKey);
        });
        assertEquals("b1 gained 2", nextEvent());
        nodeB.removeKey(key.get()).toCompletionStage().toCompletableFuture().get();
        assertTrue(service.has(RecordKeys.LEADER), "a late request removed a later leader's key");
    }

    /**
     * An older version of the program has led and started tasks without maintaining start bounds; its counter lacks the flag for
     * them. Start bounds are reliable again once a leader has confirmed them for all open jobs.
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
        assertEquals("a1 gained 1, start bounds unreliable", nextEvent());
        vertx.runOnContext(v -> nodeA.onLeadershipConflict());
        assertEquals("a1 lost", nextEvent());
        assertEquals("a1 gained 2, start bounds unreliable", nextEvent());
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        vertx.runOnContext(v -> nodeA.confirmStartBounds().onComplete(r -> confirmed.complete(null)));
        confirmed.get();
        vertx.runOnContext(v -> nodeA.onLeadershipConflict());
        assertEquals("a1 lost", nextEvent());
        assertEquals("a1 gained 3", nextEvent());
    }

    /** Guards against a reused token: after the leadership key and the counter were deleted, the next leader got token 1 again. */
    @ParameterizedTest
    @ValueSource(strings = {"leader", "counter", "leader counter"})
    void tokensAreNotReusedAfterKeysAreDeleted(String keys) throws Exception {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 1), new ServiceClient(vertx, service.endpoint(), 1));
        LeaderElection nodeA = startNode("a", "a1", 2);
        assertEquals("a1 gained 1", nextEvent());
        for (int round = 2; round < 4; round++) {
            StateClient.Txn deletion = new StateClient.Txn();
            List.of(keys.split(" ")).forEach(deletion::delete);
            client.commit(deletion).toCompletionStage().toCompletableFuture().get();
            if (!keys.contains("leader")) {
                vertx.runOnContext(v -> nodeA.onLeadershipConflict());
            }
            assertEquals("a1 lost", nextEvent());
            assertEquals("a1 gained " + round, nextEvent(), "the former leader waited for its own lease");
        }
    }

    /**
     * During an outage of the state service, a leader stays valid only by the pledges of all peers. Pledges of some peers are not
     * enough, nor are pledges that arrive after its validity has ended, as another node may have led in between.
     */
    @ParameterizedTest
    @CsvSource({"always, true", "never, false", "late, false"})
    void onlyPledgesOfAllPeersBridgeAnOutage(String pledged, boolean valid) throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 2, Span.seconds(3));
        AtomicBoolean pledging = new AtomicBoolean("always".equals(pledged));
        vertx.runOnContext(v -> nodeA.setPeerQueries(
                () -> Future.succeededFuture(pledging.get()), () -> Future.succeededFuture(false)));
        assertEquals("a1 gained 1", nextEvent());
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
        assertTrue(events.isEmpty(), "leadership changed although the lease never ended");
    }

    /**
     * Guards against two leaders: a node does not campaign while a pledge that it gave, possibly before a restart, may
     * still be valid.
     */
    @Test
    void pledgeDefersCampaigning() throws Exception {
        LeaderElection nodeA = startNode("a", "a1", 2);
        assertEquals("a1 gained 1", nextEvent());
        assertFalse(nodeA.pledge(), "a leader pledged");
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
        assertEquals("b1 gained 2", nextEvent());
        assertTrue(clock.now().since(pledgeTime).compareTo(GivenPledges.PLEDGE_DURATION) >= 0);
        vertx.runOnContext(v -> nodeB.stop());
        Moment startedAt = clock.now();
        LeaderElection nodeC = startNode("c", "c1", 2);
        service.endLeases();
        assertEquals("c1 gained 3", nextEvent());
        assertTrue(
                clock.now().since(startedAt).compareTo(GivenPledges.PLEDGE_DURATION) >= 0,
                "node c campaigned although its previous process may have pledged");
        service.endLeases();
        assertEquals("c1 lost", nextEvent());
        vertx.runOnContext(v -> nodeC.stop());
        AtomicBoolean queried = new AtomicBoolean();
        LeaderElection nodeD = startNode(
                "d", "d1", 2, Span.seconds(10), () -> Future.succeededFuture(queried.compareAndSet(false, true)));
        service.endLeases();
        assertEquals("d1 gained 4", nextEvent());
        assertTrue(
                queried.get() && nodeD.isValid(),
                "node d waited for a pledge of its previous process although no peer leads");
    }
}
