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
    private final AtomicLong highest = new AtomicLong();
    /** How many leaderships there were, each under a token above all before. */
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
                        events.add(process + " took " + (above ? taken.incrementAndGet() : "an old token")
                                + (bounds ? "" : ", bounds in doubt"));
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
        assertEquals("a1 took 1", next());
        assertTrue(a.isValid());
        vertx.runOnContext(v -> a.stop());
        node("b", "b1", 0);
        service.endLeases();
        assertEquals("b1 took 2", next());
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

    /** Guards against waiting a whole lease for a process that surely has ended. */
    @Test
    void aRestartedNodeTakesItsPredecessorsPlace() throws Exception {
        LeaderElection a = node("a", "a1", 0);
        assertEquals("a1 took 1", next());
        vertx.runOnContext(v -> a.stop());
        node("a", "a2", 0);
        assertEquals("a2 took 2", next());
    }

    @Test
    void aRestartedNodeLetsANodeThatIsUpLeadFirst() throws Exception {
        LeaderElection a = node("a", "a1", 2);
        assertEquals("a1 took 1", next());
        vertx.runOnContext(v -> a.stop());
        node("b", "b1", 2);
        while (service.transactions < 1) {
            Thread.onSpinWait();
        }
        node("a", "a2", 2);
        assertTrue(next().endsWith("took 2"));
    }

    /** The key was written but the answer lost: this process may take it again, under a higher token. */
    @Test
    void aLostAnswerToTheCampaignDoesNotBlockLeadership() throws Exception {
        service.losingAnswers = 1;
        node("a", "a1", 0);
        assertEquals("a1 took 1", next());
    }

    @Test
    void aLeaderWhoseLeaseHasEndedSaysSo() throws Exception {
        LeaderElection a = node("a", "a1", 0);
        assertEquals("a1 took 1", next());
        service.endLeases();
        assertEquals("a1 lost", next());
        assertEquals("a1 took 2", next());
        vertx.runOnContext(v -> a.deposed());
        assertEquals("a1 lost", next());
        assertFalse(a.isValid() && events.isEmpty());
    }

    /** A leader that alone is refused by the state service held its key for a whole lease (water kiosks, apart). */
    @Test
    void aPeerRemovesTheKeyOfALeaderThatSteppedAside() throws Exception {
        LeaderElection a = node("a", "a1", 2);
        assertEquals("a1 took 1", next());
        LeaderElection b = node("b", "b1", 2);
        service.keepingLeases = true;
        CompletableFuture<Revision> key = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            key.complete(a.stepAside("refused alone"));
            a.stop();
        });
        assertEquals("a1 lost", next());
        vertx.runOnContext(v -> {
            var unused = key.thenAccept(b::removeKey);
        });
        assertEquals("b1 took 2", next());
        b.removeKey(key.get()).toCompletionStage().toCompletableFuture().get();
        assertTrue(service.has(RecordKeys.LEADER), "a late request leaves a later leader's key alone");
    }

    /**
     * An older version of the program led in between: it orders tasks without raising their bounds, and its counter does not
     * say otherwise. Bounds are believed again once a leader has vouched for all that is open.
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
        assertEquals("a1 took 1, bounds in doubt", next());
        vertx.runOnContext(v -> a.deposed());
        assertEquals("a1 lost", next());
        assertEquals("a1 took 2, bounds in doubt", next());
        CompletableFuture<Void> vouched = new CompletableFuture<>();
        vertx.runOnContext(v -> a.confirmStartBounds().onComplete(r -> vouched.complete(null)));
        vouched.get();
        vertx.runOnContext(v -> a.deposed());
        assertEquals("a1 lost", next());
        assertEquals("a1 took 3", next());
    }

    /** Found on loopback: with the leader's key and the counter deleted, the next leader took the first token once more. */
    @ParameterizedTest
    @ValueSource(strings = {"leader", "counter", "leader counter"})
    void noTokenIsTakenTwiceWhateverIsDeleted(String keys) throws Exception {
        StateClient client = new StateClient(
                new ServiceClient(vertx, service.endpoint(), 1), new ServiceClient(vertx, service.endpoint(), 1));
        LeaderElection a = node("a", "a1", 2);
        assertEquals("a1 took 1", next());
        for (int round = 2; round < 4; round++) {
            StateClient.Txn loss = new StateClient.Txn();
            List.of(keys.split(" ")).forEach(loss::delete);
            client.commit(loss).toCompletionStage().toCompletableFuture().get();
            if (!keys.contains("leader")) {
                vertx.runOnContext(v -> a.deposed());
            }
            assertEquals("a1 lost", next());
            assertEquals("a1 took " + round, next(), "it led until now, so it need not wait for its own lease");
        }
    }

    /**
     * In an outage of the state service a leader goes on by the others' pledges, and by nothing less: not by those of some,
     * and not by those that come when its own time was over, as another may have led in between.
     */
    @ParameterizedTest
    @CsvSource({"always, true", "never, false", "late, false"})
    void pledgesBridgeAnOutageAndNothingElseDoes(String pledged, boolean valid) throws Exception {
        LeaderElection a = node("a", "a1", 2, Span.seconds(3));
        AtomicBoolean pledging = new AtomicBoolean("always".equals(pledged));
        vertx.runOnContext(
                v -> a.askPeersBy(() -> Future.succeededFuture(pledging.get()), () -> Future.succeededFuture(false)));
        assertEquals("a1 took 1", next());
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
        assertTrue(events.isEmpty(), "its lease has never ended");
    }

    /** Guards against two leaders: who has pledged, or may have in a former process, does not take a key that is free. */
    @Test
    void aPledgeDefersCampaigning() throws Exception {
        LeaderElection a = node("a", "a1", 2);
        assertEquals("a1 took 1", next());
        assertFalse(a.pledge(), "a leader does not pledge");
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
        assertEquals("b1 took 2", next());
        assertTrue(clock.now().since(given).compareTo(GivenPledges.PLEDGE_TIME) >= 0);
        vertx.runOnContext(v -> b.stop());
        Moment began = clock.now();
        LeaderElection c = node("c", "c1", 2);
        service.endLeases();
        assertEquals("c1 took 3", next());
        assertTrue(
                clock.now().since(began).compareTo(GivenPledges.PLEDGE_TIME) >= 0,
                "a former process of it may have pledged");
        service.endLeases();
        assertEquals("c1 lost", next());
        vertx.runOnContext(v -> c.stop());
        AtomicBoolean asked = new AtomicBoolean();
        LeaderElection d =
                node("d", "d1", 2, Span.seconds(10), () -> Future.succeededFuture(asked.compareAndSet(false, true)));
        service.endLeases();
        assertEquals("d1 took 4", next());
        assertTrue(asked.get() && d.isValid(), "not so if nobody leads");
    }
}
