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
    private final AtomicLong highest = new AtomicLong();
    /** The number of leaderships that had a higher token than all before. */
    private final AtomicLong taken = new AtomicLong();

    private StateStandIn service;

    @BeforeEach
    void listen() throws Exception {
        service = new StateStandIn()
                .listen(vertx)
                .toCompletionStage()
                .toCompletableFuture()
                .get();
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }

    private LeaderElection node(String node, String process, int peers) {
        return node(node, process, peers, Span.seconds(10));
    }

    private LeaderElection node(String node, String process, int peers, Span life) {
        return node(node, process, peers, life, () -> Future.succeededFuture(false));
    }

    private LeaderElection node(String node, String process, int peers, Span life, Supplier<Future<Boolean>> unled) {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 4), new ServiceClient(vertx, service.endpoint(), 2));
        LeaderElection election = new LeaderElection(
                new ElectionSettings(
                        new StateAccess(vertx, client),
                        new StateAccess(vertx, client),
                        clock,
                        new Candidate(node, process, peers),
                        life,
                        new TokenGenerator(node.charAt(0) - 'a', clock.timeOfDay(), Span.seconds(0.1))),
                new LeaderElection.Listener() {
                    @Override
                    public void leadershipGained(FencingToken token, Revision key, boolean bounds) {
                        boolean above = token.value() > highest.getAndSet(token.value());
                        events.add(process + " gained " + (above ? taken.incrementAndGet() : "an old token")
                                + (bounds ? "" : ", start bounds unreliable"));
                    }

                    @Override
                    public void leadershipLost(String reason) {
                        events.add(process + " lost");
                    }
                });
        election.askPeersBy(() -> Future.succeededFuture(false), unled);
        vertx.runOnContext(v -> election.start());
        return election;
    }

    private String next() throws InterruptedException {
        return events.poll(20, TimeUnit.SECONDS);
    }

    @Test
    void theNextLeadersTokenIsHigherAndTheFirstIsNotValidAnyMore() throws Exception {
        LeaderElection a = node("a", "a1", 0);
        assertEquals("a1 gained 1", next());
        assertTrue(a.isValid());
        vertx.runOnContext(v -> a.stop());
        node("b", "b1", 0);
        service.endLeases();
        assertEquals("b1 gained 2", next());
    }

    /** A starting node waits for a leader before it accepts requests if the deployment has had a leader and has none now. */
    @ParameterizedTest
    @CsvSource({
        "-, false, false, false",
        "-, true, false, true",
        "a, true, false, true",
        "b, true, true, false",
        "b, true, false, true"
    })
    void aNodeThatStartsKnowsWhetherAnybodyLeads(String leader, boolean counter, boolean answers, boolean leaderless)
            throws Exception {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 4), new ServiceClient(vertx, service.endpoint(), 2));
        StateClient.Txn there = new StateClient.Txn();
        if (counter) {
            there.put(RecordKeys.COUNTER, new CounterRecord(new FencingToken(4), true, CounterRecord.FIRST).write());
        }
        if (!leader.equals("-")) {
            there.put(RecordKeys.LEADER, LeaderKey.write(leader, "p", new FencingToken(4)));
        }
        client.commit(there).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        LeaderElection a = new LeaderElection(
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
                a.clearPredecessor(node -> Future.succeededFuture(answers && node.equals("b")))
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(20, TimeUnit.SECONDS));
    }

    /** Guards against waiting a full lease time for the node's own previous process, which has ended. */
    @Test
    void aRestartedNodeTakesItsPredecessorsPlace() throws Exception {
        LeaderElection a = node("a", "a1", 0);
        assertEquals("a1 gained 1", next());
        vertx.runOnContext(v -> a.stop());
        node("a", "a2", 0);
        assertEquals("a2 gained 2", next());
    }

    @Test
    void aRestartedNodeLetsANodeThatIsUpLeadFirst() throws Exception {
        LeaderElection a = node("a", "a1", 2);
        assertEquals("a1 gained 1", next());
        vertx.runOnContext(v -> a.stop());
        node("b", "b1", 2);
        while (service.transactions < 1) {
            Thread.onSpinWait();
        }
        node("a", "a2", 2);
        assertTrue(next().endsWith("took 2"));
    }

    /** The campaign was executed but its response lost: the process may campaign again with a higher token. */
    @Test
    void aLostAnswerToTheCampaignDoesNotBlockLeadership() throws Exception {
        service.losingAnswers = 1;
        node("a", "a1", 0);
        assertEquals("a1 gained 1", next());
    }

    @Test
    void aLeaderWhoseLeaseHasEndedSaysSo() throws Exception {
        LeaderElection a = node("a", "a1", 0);
        assertEquals("a1 gained 1", next());
        service.endLeases();
        assertEquals("a1 lost", next());
        assertEquals("a1 gained 2", next());
        vertx.runOnContext(v -> a.deposed());
        assertEquals("a1 lost", next());
        assertFalse(a.isValid() && events.isEmpty());
    }

    /** Guards against a leader that the state service alone rejects and whose key stays for a full lease time. */
    @Test
    void aPeerRemovesTheKeyOfALeaderThatSteppedAside() throws Exception {
        LeaderElection a = node("a", "a1", 2);
        assertEquals("a1 gained 1", next());
        LeaderElection b = node("b", "b1", 2);
        service.keepingLeases = true;
        CompletableFuture<Revision> key = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            key.complete(a.stepAside("state service unreachable"));
            a.stop();
        });
        assertEquals("a1 lost", next());
        vertx.runOnContext(v -> {
            var unused = key.thenAccept(b::removeKey);
        });
        assertEquals("b1 gained 2", next());
        b.removeKey(key.get()).toCompletionStage().toCompletableFuture().get();
        assertTrue(service.has(RecordKeys.LEADER), "a late request removed a later leader's key");
    }

    /**
     * An older version of the program has led and started tasks without maintaining start bounds; its counter lacks the flag for
     * them. Start bounds are reliable again once a leader has confirmed them for all open jobs.
     */
    @Test
    void boundsAreNotBelievedAfterAnOlderVersionHasLed() throws Exception {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 1), new ServiceClient(vertx, service.endpoint(), 1));
        client.commit(new StateClient.Txn().put(RecordKeys.COUNTER, MessagePackFormat.map("value", 7L)))
                .toCompletionStage()
                .toCompletableFuture()
                .get();
        LeaderElection a = node("a", "a1", 0);
        assertEquals("a1 gained 1, start bounds unreliable", next());
        vertx.runOnContext(v -> a.deposed());
        assertEquals("a1 lost", next());
        assertEquals("a1 gained 2, start bounds unreliable", next());
        CompletableFuture<Void> vouched = new CompletableFuture<>();
        vertx.runOnContext(v -> a.confirmStartBounds().onComplete(r -> vouched.complete(null)));
        vouched.get();
        vertx.runOnContext(v -> a.deposed());
        assertEquals("a1 lost", next());
        assertEquals("a1 gained 3", next());
    }

    /** Guards against a reused token: after the leadership key and the counter were deleted, the next leader got token 1 again. */
    @ParameterizedTest
    @ValueSource(strings = {"leader", "counter", "leader counter"})
    void noTokenIsTakenTwiceWhateverIsDeleted(String keys) throws Exception {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 1), new ServiceClient(vertx, service.endpoint(), 1));
        LeaderElection a = node("a", "a1", 2);
        assertEquals("a1 gained 1", next());
        for (int round = 2; round < 4; round++) {
            StateClient.Txn loss = new StateClient.Txn();
            List.of(keys.split(" ")).forEach(loss::delete);
            client.commit(loss).toCompletionStage().toCompletableFuture().get();
            if (!keys.contains("leader")) {
                vertx.runOnContext(v -> a.deposed());
            }
            assertEquals("a1 lost", next());
            assertEquals("a1 gained " + round, next(), "the former leader waited for its own lease");
        }
    }

    /**
     * During an outage of the state service, a leader stays valid only by the pledges of all peers. Pledges of some peers are not
     * enough, nor are pledges that arrive after its validity has ended, as another node may have led in between.
     */
    @ParameterizedTest
    @CsvSource({"always, true", "never, false", "late, false"})
    void pledgesBridgeAnOutageAndNothingElseDoes(String pledged, boolean valid) throws Exception {
        LeaderElection a = node("a", "a1", 2, Span.seconds(3));
        AtomicBoolean pledging = new AtomicBoolean("always".equals(pledged));
        vertx.runOnContext(
                v -> a.askPeersBy(() -> Future.succeededFuture(pledging.get()), () -> Future.succeededFuture(false)));
        assertEquals("a1 gained 1", next());
        service.refusing = true;
        Moment over = clock.now().plus(Span.seconds(3.5));
        while (a.isValid() && clock.now().isBefore(over)) {
            Thread.onSpinWait();
        }
        pledging.set(!"never".equals(pledged));
        CompletableFuture<Boolean> asked = new CompletableFuture<>();
        vertx.runOnContext(v -> a.askPeersBy(
                () -> {
                    vertx.setTimer(1, t -> asked.complete(true));
                    return Future.succeededFuture(pledging.get());
                },
                () -> Future.succeededFuture(false)));
        if (valid) {
            asked.get(20, TimeUnit.SECONDS);
        }
        assertEquals(valid, a.isValid());
        service.refusing = false;
        while (!a.isValid()) {
            Thread.onSpinWait();
        }
        assertTrue(events.isEmpty(), "leadership changed although the lease never ended");
    }

    /** Guards against two leaders: a node whose pledge, or whose previous process's pledge, may be in force does not campaign. */
    @Test
    void aPledgeDefersCampaigning() throws Exception {
        LeaderElection a = node("a", "a1", 2);
        assertEquals("a1 gained 1", next());
        assertFalse(a.pledge(), "a leader pledged");
        LeaderElection b = node("b", "b1", 2);
        while (service.transactions < 2 && b.leader() == null) {
            Thread.onSpinWait();
        }
        CompletableFuture<Moment> pledge = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            assertTrue(b.pledge());
            pledge.complete(clock.now());
            a.stop();
            service.endLeases();
        });
        Moment given = pledge.get();
        assertEquals("b1 gained 2", next());
        assertTrue(clock.now().since(given).compareTo(GivenPledges.PLEDGE_TIME) >= 0);
        vertx.runOnContext(v -> b.stop());
        Moment began = clock.now();
        LeaderElection c = node("c", "c1", 2);
        service.endLeases();
        assertEquals("c1 gained 3", next());
        assertTrue(
                clock.now().since(began).compareTo(GivenPledges.PLEDGE_TIME) >= 0,
                "node c campaigned although its previous process may have pledged");
        service.endLeases();
        assertEquals("c1 lost", next());
        vertx.runOnContext(v -> c.stop());
        AtomicBoolean asked = new AtomicBoolean();
        LeaderElection d =
                node("d", "d1", 2, Span.seconds(10), () -> Future.succeededFuture(asked.compareAndSet(false, true)));
        service.endLeases();
        assertEquals("d1 gained 4", next());
        assertTrue(asked.get() && d.isValid(), "node d waited for a pledge of its previous process although no peer leads");
    }
}
