package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.state.Candidate;
import io.indigoreach.state.ElectionSettings;
import io.indigoreach.state.LeaderElection;
import io.indigoreach.state.LeaderKey;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateAccess;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests transactions of the leader election that get no response ({@link LateTransactionTestBase}). */
class LateElectionTransactionsTest extends LateTransactionTestBase {
    private LeaderElection newElection(String node, int peers) {
        LeaderElection[] election = new LeaderElection[1];
        election[0] = new LeaderElection(
                new ElectionSettings(
                        new StateAccess(vertx, client),
                        new StateAccess(vertx, client),
                        clock,
                        new Candidate(node, node + "1", peers),
                        Span.seconds(10),
                        new TokenGenerator(node.charAt(0) - 'a', clock.timeOfDay(), Span.seconds(0.1))),
                new LeaderElection.Listener() {
                    @Override
                    public void leadershipGained(FencingToken token, Revision leadershipRevision, boolean bounds) {
                        events.add(node + " gained");
                    }

                    @Override
                    public void leadershipLost(String reason) {
                        events.add(node + " lost");
                    }
                });
        election[0].setPeerQueries(() -> Future.succeededFuture(false), () -> Future.succeededFuture(true));
        return keepReachable(election[0]);
    }

    private void awaitGained(String node) throws Exception {
        assertEquals(node + " gained", events.poll(20, TimeUnit.SECONDS));
    }

    private void awaitLost(String node) throws Exception {
        assertEquals(node + " lost", events.poll(20, TimeUnit.SECONDS));
    }

    /** Stops a node's election and expires all leases of its campaigns. */
    private void stopAndExpireLeases(LeaderElection election) throws Exception {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        runOnEventLoop(() -> {
            election.stop();
            stopped.complete(null);
        });
        stopped.get(20, TimeUnit.SECONDS);
        service.endLeases();
    }

    private static final Map<String, Case<LateElectionTransactionsTest>> CASES = new LinkedHashMap<>();

    static {
        CASES.put("campaign, executed after the next campaign", test -> {
            LeaderElection electionA = test.newElection("a", 0);
            test.suppressNextResponse(RecordKeys.LEADER);
            test.runOnEventLoop(electionA::start);
            test.awaitGained("a");
            test.assertLateExecutionChangesNothing();
            assertTrue(electionA.isValid());
        });
        CASES.put("campaign, executed after its node has led and resigned", test -> {
            LeaderElection electionA = test.newElection("a", 0);
            test.suppressNextResponse(RecordKeys.LEADER);
            test.runOnEventLoop(electionA::start);
            test.awaitGained("a");
            test.runOnEventLoop(() -> electionA.resign("test"));
            test.awaitCondition(() -> !test.service.has(RecordKeys.LEADER));
            test.assertLateExecutionChangesNothing();
            assertFalse(test.service.has(RecordKeys.LEADER));
        });
        CASES.put("campaign, executed after another node has led and resigned", test -> {
            LeaderElection electionA = test.newElection("a", 0);
            test.suppressAllResponses(RecordKeys.LEADER);
            test.runOnEventLoop(electionA::start);
            test.awaitSuppressedResponse();
            test.runOnEventLoop(electionA::stop);
            test.restoreResponses();
            if (test.isExecutedAtOnce()) {
                // The campaign of node a has written the leadership key; the key is removed when its lease expires.
                test.stopAndExpireLeases(electionA);
            }
            LeaderElection electionB = test.newElection("b", 0);
            test.runOnEventLoop(electionB::start);
            test.awaitGained("b");
            test.runOnEventLoop(() -> electionB.resign("test"));
            test.awaitCondition(() -> !test.service.has(RecordKeys.LEADER));
            test.assertLateExecutionChangesNothing();
        });
        CASES.put("campaign, executed after its lease has expired", test -> {
            LeaderElection electionA = test.newElection("a", 0);
            test.suppressAllResponses(RecordKeys.LEADER);
            test.runOnEventLoop(electionA::start);
            test.awaitSuppressedResponse();
            test.stopAndExpireLeases(electionA);
            test.assertLateExecutionChangesNothing();
            assertFalse(test.service.has(RecordKeys.LEADER));
        });
        CASES.put("removal of a previous process's key, executed after its node has been elected", test -> {
            test.gainLeadership(1);
            await(test.client.commit(new StateClient.Txn()
                    .put(RecordKeys.LEADER, MessagePackFormat.map("node", "a", "process", "a0", "token", 1L))));
            LeaderElection electionA = test.newElection("a", 2);
            test.suppressNextResponse(RecordKeys.LEADER);
            await(electionA.clearPredecessorKey(node -> Future.succeededFuture(false)));
            test.runOnEventLoop(electionA::start);
            test.awaitGained("a");
            test.assertLateExecutionChangesNothing();
            assertTrue(test.service.has(RecordKeys.LEADER));
        });
        CASES.put("removal of a resigned leader's key, executed after another node has been elected", test -> {
            LeaderElection electionA = test.newElection("a", 0);
            test.runOnEventLoop(electionA::start);
            test.awaitGained("a");
            LeaderElection electionB = test.newElection("b", 0);
            Revision leadershipRevision = electionA.leadershipRevision();
            test.suppressNextResponse(RecordKeys.LEADER);
            assertTrue(electionB
                    .removeKey(leadershipRevision)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .handle((v, e) -> e != null)
                    .get(20, TimeUnit.SECONDS));
            test.runOnEventLoop(electionA::stop);
            test.runOnEventLoop(() -> electionA.resign("test"));
            test.awaitLost("a");
            test.runOnEventLoop(electionB::start);
            test.awaitGained("b");
            test.assertLateExecutionChangesNothing();
            assertTrue(test.service.has(RecordKeys.LEADER));
        });
        CASES.put("confirmation of start bounds, executed in the next leadership term", test -> {
            await(test.client.commit(
                    new StateClient.Txn().put(RecordKeys.COUNTER, MessagePackFormat.map("value", 7L))));
            LeaderElection electionA = test.newElection("a", 0);
            test.runOnEventLoop(electionA::start);
            test.awaitGained("a");
            test.suppressAllResponses(RecordKeys.COUNTER);
            test.runOnEventLoop(electionA::confirmStartBounds);
            test.awaitSuppressedResponse();
            test.restoreResponses();
            test.runOnEventLoop(electionA::onLeadershipConflict);
            test.awaitLost("a");
            test.awaitGained("a");
            test.assertLateExecutionChangesNothing();
            assertEquals(
                    test.isExecutedAtOnce(),
                    test.service.value(RecordKeys.COUNTER).flag("bounds", false),
                    "must be rejected if late, as a leader of an older version may have led since");
        });
    }

    /**
     * A campaign that got no response is executed late and writes the key. Its node must not lead under that key, and
     * must respect the pledge that it has given since.
     */
    @Test
    void lateCampaignAfterPledgeElectsNoLeader() throws Exception {
        LeaderElection election = newElection("a", 0);
        suppressAllResponses(RecordKeys.LEADER);
        runOnEventLoop(election::start);
        awaitSuppressedResponse();
        CompletableFuture<Moment> pledged = new CompletableFuture<>();
        vertx.setPeriodic(1, timer -> {
            if (!pledged.isDone() && election.pledge()) {
                pledged.complete(clock.now());
                service.holdFilter = txn -> false;
            }
        });
        Moment pledgedAt = pledged.get(20, TimeUnit.SECONDS);
        assertTrue(service.executeHeldTransactions().contains(200));
        long token = LeaderKey.tokenOf(service.value(RecordKeys.LEADER).map());
        assertTrue(service.has(RecordKeys.LEADER) && events.isEmpty() && !election.isLeading());
        awaitGained("a");
        assertTrue(
                clock.now().since(pledgedAt).compareTo(Span.seconds(2)) >= 0,
                "must not lead while its pledge is in force");
        assertTrue(LeaderKey.tokenOf(service.value(RecordKeys.LEADER).map()) > token);
    }

    static List<Object[]> cases() {
        return casesInBothModes(CASES);
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void unansweredTransactionHasNoLateEffect(
            ExecutionTime executionTime, String name, Case<LateElectionTransactionsTest> testCase) throws Exception {
        runCase(this, executionTime, testCase);
    }
}
