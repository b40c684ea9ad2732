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
    private VersionProcesses site;

    @BeforeEach
    void open() throws Exception {
        site = new VersionProcesses();
    }

    @AfterEach
    void close() throws Exception {
        site.close();
    }

    private static void until(Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!holds.call()) {
            assertTrue(System.nanoTime() < end, "the condition was not met within 20 s");
            Thread.sleep(5);
        }
    }

    private void put(String key, Object... value) throws Exception {
        VersionProcesses.await(site.client().commit(new StateClient.Txn().put(key, MessagePackFormat.map(value))));
    }

    /** Nodes that are down count if they have recorded a new enough format before; nodes without such a record do not. */
    @ParameterizedTest
    @CsvSource({"2, 2, true", "2, -, false", "2, 1, false", "2, 3, true"})
    void itIsRaisedWhenEveryNodeHasRecordedIt(String b, String c, boolean raised) throws Exception {
        for (String record : List.of("b" + b, "c" + c)) {
            if (!record.endsWith("-")) {
                put(FormatGate.NODES + record.charAt(0), "format", Long.parseLong(record.substring(1)));
            }
        }
        VersionProcesses.Newer a = site.newer("a");
        until(() -> site.service.has(FormatGate.NODES + "a") && a.leadership().isLeading());
        int reads = site.service.reads;
        until(() -> raised ? a.isOpen() : site.service.reads > reads + 2);
        assertEquals(raised, a.isOpen());
        assertEquals(raised, site.isRaised());
    }

    /** A follower reads the raised format from the counter; a node that has seen it raised makes no further requests. */
    @Test
    void everyNodeLearnsOfItOnce() throws Exception {
        VersionProcesses.Newer a = site.newer("a");
        VersionProcesses.Newer b = site.newer("b");
        assertFalse(a.isOpen() || b.isOpen());
        VersionProcesses.Newer c = site.newer("c");
        until(() -> a.isOpen() && b.isOpen() && c.isOpen());
        int reads = site.service.reads;
        site.service.refusing = true;
        assertTrue(a.isOpen() && b.isOpen() && c.isOpen());
        assertEquals(reads, site.service.reads);
    }

    /** A process that has seen the format raised restores it after a loss of all records; a lost node record is rewritten. */
    @Test
    void itIsNotLoweredByALossOfData() throws Exception {
        VersionProcesses.Newer a = site.newer("a");
        until(() -> site.service.has(FormatGate.NODES + "a"));
        VersionProcesses.await(site.client().commit(new StateClient.Txn().delete(FormatGate.NODES + "a")));
        until(() -> site.service.has(FormatGate.NODES + "a"));
        assertFalse(site.isRaised());
        put(FormatGate.NODES + "b", "format", 2L);
        put(FormatGate.NODES + "c", "format", 2L);
        until(a::isOpen);
        StateClient.Txn loss = new StateClient.Txn().delete(LEADER).delete(COUNTER);
        VersionProcesses.NODES.forEach(n -> loss.delete(FormatGate.NODES + n));
        VersionProcesses.await(site.client().commit(loss));
        until(() -> site.service.has(COUNTER));
        assertTrue(site.isRaised());
    }

    /** Like a process of an older version in a raised deployment, it reads the counter and does not write anything. */
    @Test
    void thisVersionDoesNotLeadInALaterOnesDeployment() throws Exception {
        put(COUNTER, "highest", 7L, "format", CounterRecord.KNOWN + 1L);
        VersionProcesses.Newer a = site.newer("a");
        int transactions = site.service.transactions;
        int reads = site.service.reads;
        until(() -> site.service.reads > reads + 8);
        assertFalse(a.leadership().isLeading() || a.isOpen());
        assertEquals(transactions, site.service.transactions);
    }

    /** The start bounds flag means the same in both formats, and a campaign preserves the format and the flag. */
    @ParameterizedTest
    @CsvSource({"1, false", "1, true", "2, false", "2, true"})
    void aCampaignKeepsDataFormatAndStartBounds(int format, boolean bounds) throws Exception {
        CounterRecord before = new CounterRecord(new FencingToken(7), bounds, format);
        VersionProcesses.await(site.client().commit(new StateClient.Txn().put(COUNTER, before.write())));
        VersionProcesses.Newer a = site.newer("a");
        until(a.leadership()::isLeading);
        CounterRecord after = CounterRecord.read(site.service.value(COUNTER));
        assertEquals(new CounterRecord(after.highest(), bounds, format), after);
        assertTrue(VersionProcesses.await(a.leadership().confirmStartBounds()));
        assertEquals(new CounterRecord(after.highest(), true, format), CounterRecord.read(site.service.value(COUNTER)));
    }

    /**
     * A rolling update in a seeded order. Processes restart with the old version before their update and with the new one after
     * it. Processes of the old version campaign at any time, and their transactions are executed at once or several steps late.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void noOlderProcessLeadsOnceAllNodesHaveTheNewVersion(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> toRoll = new ArrayList<>(VersionProcesses.NODES);
        VersionProcesses.Newer[] newer = new VersionProcesses.Newer[toRoll.size()];
        List<VersionProcesses.Older> older = new ArrayList<>();
        toRoll.forEach(n -> older.add(site.older(n)));
        List<StateClient.Txn> late = new ArrayList<>();
        assertEquals(1, carriedOut(stand(older.get(0))), "an older process could not lead before the format was raised");
        boolean wasRaised = false;
        for (int step = 0; step < 150 || !toRoll.isEmpty(); step++) {
            switch (random.nextInt(5)) {
                case 0 -> {
                    StateClient.Txn campaign = stand(older.get(random.nextInt(older.size())));
                    if (campaign != null) {
                        late.add(campaign);
                    }
                }
                case 1 -> {
                    if (!late.isEmpty()) {
                        carriedOut(late.remove(random.nextInt(late.size())));
                    }
                }
                case 2 -> endLeases();
                case 3 -> until(() -> late.size() < 3 || site.service.has(LEADER) || carriedOut(late.remove(0)) > 0);
                default -> roll(random, toRoll, newer);
            }
            if (!toRoll.isEmpty()) {
                assertFalse(site.isRaised(), "the format is raised although a node has never run the new version");
                for (VersionProcesses.Newer node : newer) {
                    assertFalse(node != null && node.isOpen());
                }
            }
            boolean raised = site.isRaised();
            assertTrue(raised || !wasRaised, "the format was lowered");
            wasRaised = raised;
        }
        for (VersionProcesses.Newer node : newer) {
            until(node::isOpen);
        }
        endLeases();
        assertNull(stand(older.get(0)));
        for (StateClient.Txn campaign : late) {
            assertEquals(0, carriedOut(campaign), "a campaign that began before the format was raised was executed");
        }
    }

    private void endLeases() throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        site.vertx.runOnContext(v -> {
            site.service.endLeases();
            ended.complete(null);
        });
        ended.get(20, TimeUnit.SECONDS);
    }

    /** The transaction of an older process's campaign; null if another node leads or the raised counter is unreadable to it. */
    private StateClient.Txn stand(VersionProcesses.Older process) throws Exception {
        boolean wasRaised = site.isRaised();
        try {
            StateClient.Txn campaign = VersionProcesses.await(process.stand());
            assertTrue(campaign == null || !wasRaised, "an older process campaigns in a raised deployment");
            return campaign;
        } catch (ExecutionException e) {
            assertTrue(site.isRaised(), "an older process cannot campaign before the format is raised: " + e.getCause());
            return null;
        }
    }

    private int carriedOut(StateClient.Txn campaign) throws Exception {
        boolean wasRaised = site.isRaised();
        boolean done = VersionProcesses.await(site.client().commit(campaign)).done();
        assertFalse(done && wasRaised, "an older process leads after the format was raised");
        return done ? 1 : 0;
    }

    /** Restarts a node: with the new version if its update is due or if it has run the new version before. */
    private void roll(SplittableRandom random, List<String> toRoll, VersionProcesses.Newer[] newer) {
        int n = random.nextInt(newer.length);
        String node = VersionProcesses.NODES.get(n);
        if (newer[n] == null && (random.nextInt(3) > 0 || !toRoll.remove(node))) {
            return;
        }
        if (newer[n] != null) {
            newer[n].end();
        }
        newer[n] = site.newer(node);
    }

    /** Two leaderships raise the format; the transaction of the first is executed late and must fail on the leadership key. */
    @Test
    void aRaiseOfAnEarlierLeadershipIsRefused() throws Exception {
        put(FormatGate.NODES + "b", "format", 2L);
        put(FormatGate.NODES + "c", "format", 2L);
        site.service.holding = txn -> txn.children("writes").size() == 1
                && COUNTER.equals(txn.children("writes").get(0).optionalText("write"));
        VersionProcesses.Newer a = site.newer("a");
        until(() -> site.service.held() > 0);
        Revision key = a.leadership().leadershipRevision();
        site.vertx.runOnContext(v -> a.leadership().deposed());
        until(() -> a.leadership().isLeading()
                && !a.leadership().leadershipRevision().equals(key));
        site.service.holding = txn -> false;
        assertEquals(409, site.service.executeLate().get(0));
        until(a::isOpen);
    }

    /** The confirmation of start bounds gets no response and is executed after the format was raised: it must fail. */
    @Test
    void aLateConfirmationOfStartBoundsDoesNotLowerTheFormat() throws Exception {
        VersionProcesses.Newer a = site.newer("a");
        until(a.leadership()::isLeading);
        site.service.holding =
                txn -> COUNTER.equals(txn.children("writes").get(0).optionalText("write"));
        site.vertx.runOnContext(v -> a.leadership().confirmStartBounds());
        until(() -> site.service.held() > 0);
        site.service.holding = txn -> false;
        put(FormatGate.NODES + "b", "format", 2L);
        put(FormatGate.NODES + "c", "format", 2L);
        until(site::isRaised);
        assertEquals(List.of(409), site.service.executeLate());
        assertTrue(site.isRaised());
    }
}
