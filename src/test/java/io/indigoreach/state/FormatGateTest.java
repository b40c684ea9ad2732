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

/**
 * Tests when the data format is raised, and that no process of an older version leads afterwards. The tests wait for events, not for
 * fixed times.
 */
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
            assertTrue(System.nanoTime() < deadline, "the condition was not met within 20 s");
            Thread.sleep(5);
        }
    }

    private void put(String key, Object... value) throws Exception {
        MixedVersionCluster.await(
                cluster.client().commit(new StateClient.Txn().put(key, MessagePackFormat.map(value))));
    }

    /** Nodes that are down count if they have recorded a new enough format before; nodes without such a record do not. */
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

    /** A follower reads the raised format from the counter; a node that has seen it raised makes no further requests. */
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

    /** A process that has seen the format raised restores it after a loss of all records; a lost node record is rewritten. */
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

    /** Like a process of an older version in a raised deployment, it reads the counter and does not write anything. */
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

    /** The start bounds flag means the same in both formats, and a campaign preserves the format and the flag. */
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
     * A rolling update in a seeded order. Processes restart with the old version before their update and with the new one after
     * it. Processes of the old version campaign at any time, and their transactions are executed at once or several steps late.
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
        assertEquals(
                1,
                execute(campaign(olderNodes.get(0))),
                "an older process could not lead before the format was raised");
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
                assertFalse(cluster.isRaised(), "the format is raised although a node has never run the new version");
                for (MixedVersionCluster.CurrentNode node : updatedNodes) {
                    assertFalse(node != null && node.isOpen());
                }
            }
            boolean raised = cluster.isRaised();
            assertTrue(raised || !wasRaised, "the format was lowered");
            wasRaised = raised;
        }
        for (MixedVersionCluster.CurrentNode node : updatedNodes) {
            waitUntil(node::isOpen);
        }
        endLeases();
        assertNull(campaign(olderNodes.get(0)));
        for (StateClient.Txn campaign : delayedCampaigns) {
            assertEquals(0, execute(campaign), "a campaign that began before the format was raised was executed");
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

    /** The transaction of an older process's campaign; null if another node leads or the raised counter is unreadable to it. */
    private StateClient.Txn campaign(MixedVersionCluster.ProductionNode process) throws Exception {
        boolean wasRaised = cluster.isRaised();
        try {
            StateClient.Txn campaign = MixedVersionCluster.await(process.campaign());
            assertTrue(campaign == null || !wasRaised, "an older process campaigns in a raised deployment");
            return campaign;
        } catch (ExecutionException e) {
            assertTrue(
                    cluster.isRaised(),
                    "an older process cannot campaign before the format is raised: " + e.getCause());
            return null;
        }
    }

    private int execute(StateClient.Txn campaign) throws Exception {
        boolean wasRaised = cluster.isRaised();
        boolean executed =
                MixedVersionCluster.await(cluster.client().commit(campaign)).executed();
        assertFalse(executed && wasRaised, "an older process leads after the format was raised");
        return executed ? 1 : 0;
    }

    /** Restarts a node: with the new version if its update is due or if it has run the new version before. */
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

    /** Two leaderships raise the format; the transaction of the first is executed late and must fail on the leadership key. */
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

    /** The confirmation of start bounds gets no response and is executed after the format was raised: it must fail. */
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
