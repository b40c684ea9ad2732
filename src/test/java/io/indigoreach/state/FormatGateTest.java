package io.indigoreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Revision;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** When the data format is raised, and that no process of an older version leads from then on. Waits are for events, not times. */
class FormatGateTest {
    private static final String COUNTER = RecordKeys.COUNTER;
    private static final String LEADER = RecordKeys.LEADER;
    private MixedVersionCluster cluster;

    @BeforeEach
    void open() throws Exception {
        cluster = new MixedVersionCluster();
    }

    @AfterEach
    void close() throws Exception {
        cluster.close();
    }

    private static void waitUntil(Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < deadline, "in vain");
            Thread.sleep(5);
        }
    }

    private void put(String key, Object... value) throws Exception {
        MixedVersionCluster.await(
                cluster.client().commit(new StateClient.Txn().put(key, MessagePackFormat.map(value))));
    }

    /** Nodes that are down now and have recorded their format before count; those that have not, or another one, do not. */
    @ParameterizedTest
    @CsvSource({"2, 2, true", "2, -, false", "2, 1, false", "2, 3, true"})
    void formatIsRaisedOnlyWhenEveryNodeSupportsIt(String formatOfB, String formatOfC, boolean raised)
            throws Exception {
        for (String record : List.of("b" + formatOfB, "c" + formatOfC)) {
            if (!record.endsWith("-")) {
                put(FormatGate.NODE_PREFIX + record.charAt(0), "format", Long.parseLong(record.substring(1)));
            }
        }
        MixedVersionCluster.CurrentNode nodeA = cluster.startCurrentNode("a");
        waitUntil(() -> cluster.service.has(FormatGate.NODE_PREFIX + "a")
                && nodeA.election().isLeading());
        int reads = cluster.service.readCount;
        waitUntil(() -> raised ? nodeA.isOpen() : cluster.service.readCount > reads + 2);
        assertEquals(raised, nodeA.isOpen());
        assertEquals(raised, cluster.isRaised());
    }

    /** A node that does not lead learns it from the counter, and who has learnt it asks no more. */
    @Test
    void nodesStopReadingOnceTheFormatIsRaised() throws Exception {
        MixedVersionCluster.CurrentNode nodeA = cluster.startCurrentNode("a");
        MixedVersionCluster.CurrentNode nodeB = cluster.startCurrentNode("b");
        assertFalse(nodeA.isOpen() || nodeB.isOpen());
        MixedVersionCluster.CurrentNode nodeC = cluster.startCurrentNode("c");
        waitUntil(() -> nodeA.isOpen() && nodeB.isOpen() && nodeC.isOpen());
        int reads = cluster.service.readCount;
        cluster.service.unavailable = true;
        assertTrue(nodeA.isOpen() && nodeB.isOpen() && nodeC.isOpen());
        assertEquals(reads, cluster.service.readCount);
    }

    /** Lost with all records, by a process that has seen it raised; the records alone are written again. */
    @Test
    void lossOfDataDoesNotLowerTheFormat() throws Exception {
        MixedVersionCluster.CurrentNode nodeA = cluster.startCurrentNode("a");
        waitUntil(() -> cluster.service.has(FormatGate.NODE_PREFIX + "a"));
        MixedVersionCluster.await(cluster.client().commit(new StateClient.Txn().delete(FormatGate.NODE_PREFIX + "a")));
        waitUntil(() -> cluster.service.has(FormatGate.NODE_PREFIX + "a"));
        assertFalse(cluster.isRaised());
        put(FormatGate.NODE_PREFIX + "b", "format", 2L);
        put(FormatGate.NODE_PREFIX + "c", "format", 2L);
        waitUntil(nodeA::isOpen);
        StateClient.Txn loss = new StateClient.Txn().delete(LEADER).delete(COUNTER);
        MixedVersionCluster.NODES.forEach(n -> loss.delete(FormatGate.NODE_PREFIX + n));
        MixedVersionCluster.await(cluster.client().commit(loss));
        waitUntil(() -> cluster.service.has(COUNTER));
        assertTrue(cluster.isRaised());
    }

    /** As a process of production in a raised deployment: it reads the counter, and stands back before it writes anything. */
    @Test
    void doesNotLeadIfTheFormatIsNewerThanSupported() throws Exception {
        put(COUNTER, "highest", 7L, "format", CounterRecord.NEWEST_FORMAT + 1L);
        MixedVersionCluster.CurrentNode nodeA = cluster.startCurrentNode("a");
        int transactions = cluster.service.transactionCount;
        int reads = cluster.service.readCount;
        waitUntil(() -> cluster.service.readCount > reads + 8);
        assertFalse(nodeA.election().isLeading() || nodeA.isOpen());
        assertEquals(transactions, cluster.service.transactionCount);
    }

    /** The word for start bounds means the same in both forms, and a campaign keeps form and word. */
    @ParameterizedTest
    @CsvSource({"1, false", "1, true", "2, false", "2, true"})
    void campaignKeepsDataFormatAndStartBounds(int format, boolean startBounds) throws Exception {
        CounterRecord before = new CounterRecord(new FencingToken(7), startBounds, format);
        MixedVersionCluster.await(cluster.client().commit(new StateClient.Txn().put(COUNTER, before.write())));
        MixedVersionCluster.CurrentNode nodeA = cluster.startCurrentNode("a");
        waitUntil(nodeA.election()::isLeading);
        CounterRecord after = CounterRecord.read(cluster.service.value(COUNTER));
        assertEquals(new CounterRecord(after.highestToken(), startBounds, format), after);
        assertTrue(MixedVersionCluster.await(nodeA.election().confirmStartBounds()));
        assertEquals(
                new CounterRecord(after.highestToken(), true, format),
                CounterRecord.read(cluster.service.value(COUNTER)));
    }

    /**
     * A roll in a seeded order: processes end and come back old before their turn and new from then on, those of production stand
     * at any moment, and their campaigns are carried out at once or several steps late.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void noOlderProcessLeadsOnceAllNodesHaveTheNewVersion(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> nodesToUpdate = new ArrayList<>(MixedVersionCluster.NODES);
        MixedVersionCluster.CurrentNode[] updatedNodes = new MixedVersionCluster.CurrentNode[nodesToUpdate.size()];
        List<MixedVersionCluster.ProductionNode> olderNodes = new ArrayList<>();
        nodesToUpdate.forEach(n -> olderNodes.add(cluster.productionNode(n)));
        List<StateClient.Txn> delayedCampaigns = new ArrayList<>();
        assertEquals(1, execute(campaign(olderNodes.get(0))), "nobody is locked out before");
        boolean wasRaised = false;
        for (int step = 0; step < 150 || !nodesToUpdate.isEmpty(); step++) {
            switch (random.nextInt(5)) {
                case 0 -> {
                    StateClient.Txn campaign = campaign(olderNodes.get(random.nextInt(olderNodes.size())));
                    if (campaign != null) {
                        delayedCampaigns.add(campaign);
                    }
                }
                case 1 -> {
                    if (!delayedCampaigns.isEmpty()) {
                        execute(delayedCampaigns.remove(random.nextInt(delayedCampaigns.size())));
                    }
                }
                case 2 -> endLeases();
                case 3 ->
                    waitUntil(() -> delayedCampaigns.size() < 3
                            || cluster.service.has(LEADER)
                            || execute(delayedCampaigns.remove(0)) > 0);
                default -> restartNode(random, nodesToUpdate, updatedNodes);
            }
            if (!nodesToUpdate.isEmpty()) {
                assertFalse(cluster.isRaised(), "a node has never had the new version");
                for (MixedVersionCluster.CurrentNode node : updatedNodes) {
                    assertFalse(node != null && node.isOpen());
                }
            }
            boolean raised = cluster.isRaised();
            assertTrue(raised || !wasRaised, "lowered");
            wasRaised = raised;
        }
        for (MixedVersionCluster.CurrentNode node : updatedNodes) {
            waitUntil(node::isOpen);
        }
        endLeases();
        assertNull(campaign(olderNodes.get(0)));
        for (StateClient.Txn campaign : delayedCampaigns) {
            assertEquals(0, execute(campaign), "a campaign that began before");
        }
    }

    private void endLeases() throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        cluster.vertx.runOnContext(v -> {
            cluster.service.endLeases();
            ended.complete(null);
        });
        ended.get(20, TimeUnit.SECONDS);
    }

    /** What a process of production would write, null if another leads or it cannot read the counter, which is raised then. */
    private StateClient.Txn campaign(MixedVersionCluster.ProductionNode process) throws Exception {
        boolean wasRaised = cluster.isRaised();
        try {
            StateClient.Txn campaign = MixedVersionCluster.await(process.campaign());
            assertTrue(campaign == null || !wasRaised, "stands in a raised deployment");
            return campaign;
        } catch (ExecutionException e) {
            assertTrue(cluster.isRaised(), "locked out before: " + e.getCause());
            return null;
        }
    }

    private int execute(StateClient.Txn campaign) throws Exception {
        boolean wasRaised = cluster.isRaised();
        boolean executed =
                MixedVersionCluster.await(cluster.client().commit(campaign)).executed();
        assertFalse(executed && wasRaised, "an older process leads");
        return executed ? 1 : 0;
    }

    /** A node ends and comes back: with the new version if that is its turn, or if it has had it before. */
    private void restartNode(
            SplittableRandom random, List<String> nodesToUpdate, MixedVersionCluster.CurrentNode[] updatedNodes) {
        int index = random.nextInt(updatedNodes.length);
        String node = MixedVersionCluster.NODES.get(index);
        if (updatedNodes[index] == null && (random.nextInt(3) > 0 || !nodesToUpdate.remove(node))) {
            return;
        }
        if (updatedNodes[index] != null) {
            updatedNodes[index].stop();
        }
        updatedNodes[index] = cluster.startCurrentNode(node);
    }

    /** Two raise it at once, the first one's transaction comes late: the second finds another leader's key. */
    @Test
    void delayedRaiseOfAnEarlierLeadershipIsRejected() throws Exception {
        put(FormatGate.NODE_PREFIX + "b", "format", 2L);
        put(FormatGate.NODE_PREFIX + "c", "format", 2L);
        cluster.service.holdFilter = txn -> txn.children("writes").size() == 1
                && COUNTER.equals(txn.children("writes").get(0).optionalText("write"));
        MixedVersionCluster.CurrentNode nodeA = cluster.startCurrentNode("a");
        waitUntil(() -> cluster.service.held() > 0);
        Revision key = nodeA.election().leadershipRevision();
        cluster.vertx.runOnContext(v -> nodeA.election().onLeadershipConflict());
        waitUntil(() -> nodeA.election().isLeading()
                && !nodeA.election().leadershipRevision().equals(key));
        cluster.service.holdFilter = txn -> false;
        assertEquals(409, cluster.service.executeHeldTransactions().get(0));
        waitUntil(nodeA::isOpen);
    }

    /** The word for start bounds, without an answer and carried out after the raise: it was read from the form before. */
    @Test
    void lateStartBoundsConfirmationDoesNotLowerTheFormat() throws Exception {
        MixedVersionCluster.CurrentNode nodeA = cluster.startCurrentNode("a");
        waitUntil(nodeA.election()::isLeading);
        cluster.service.holdFilter =
                txn -> COUNTER.equals(txn.children("writes").get(0).optionalText("write"));
        cluster.vertx.runOnContext(v -> nodeA.election().confirmStartBounds());
        waitUntil(() -> cluster.service.held() > 0);
        cluster.service.holdFilter = txn -> false;
        put(FormatGate.NODE_PREFIX + "b", "format", 2L);
        put(FormatGate.NODE_PREFIX + "c", "format", 2L);
        waitUntil(cluster::isRaised);
        assertEquals(List.of(409), cluster.service.executeHeldTransactions());
        assertTrue(cluster.isRaised());
    }
}
