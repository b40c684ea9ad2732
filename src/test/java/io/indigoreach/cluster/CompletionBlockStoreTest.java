package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.LegacyCompletionBlocks;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Completion bits of large jobs, while the state service lowers its limits and the leader changes between any two writes. */
class CompletionBlockStoreTest {
    static final String LOWER_LIMITS = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 20.0";
    private static final JobId ID = new JobId("run-1");
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private FakeStateService state;
    private StateClient client;
    private Revision leadershipRevision;

    @BeforeEach
    void start() throws Exception {
        state = await(new FakeStateService().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    static JobSpec spec(int tasks, int imageNameLength) {
        return LeaderTestSupport.spec(ID, tasks, "i".repeat(imageNameLength));
    }

    private CompletionBlockStore newBlockStore(String announcedLimits) throws Exception {
        leadershipRevision = LeaderTestSupport.gainLeadership(client, 1);
        NodeContext context = LeaderTestSupport.context(vertx, clock, client)
                .config(LeaderTestSupport.config(announcedLimits))
                .build();
        return new CompletionBlockStore(LeaderTestSupport.writes(context, 3, leadershipRevision, 1000));
    }

    /** Reads the completed tasks as a new leader does, and adds the blocks to {@code blockStore}. */
    private BitSet readCompletedTasks(CompletionBlockStore blockStore) throws Exception {
        BitSet done = new BitSet();
        for (String prefix : List.of(RecordKeys.COMPLETION_BLOCKS, CompletionBits.SMALL_BLOCKS)) {
            for (StateClient.Entry entry :
                    await(client.list(prefix, null, 1000)).entries()) {
                BitSet block = new BitSet();
                CompletionBits.readBlock(entry.key(), entry.value(), block);
                blockStore.addInheritedBlock(entry.key(), block);
                done.or(block);
            }
        }
        done.or(readOpenRecord().done());
        return done;
    }

    private JobRecord readOpenRecord() throws Exception {
        StateClient.Entry entry = await(client.get(RecordKeys.openKey(ID)));
        return JobRecordCodec.readJob(ID, entry.value(), entry.revision());
    }

    /** Writes the job and its blocks in the format of the previous version. */
    private void writeInPreviousFormat(JobSpec spec, BitSet done) throws Exception {
        StateClient.Txn txn = new StateClient.Txn()
                .put(
                        RecordKeys.openKey(ID),
                        JobRecordCodec.writeJob(spec, 1, JobStatus.RUNNING, done, 0, spec.taskCount()));
        for (int n = 0; n < LegacyCompletionBlocks.blockCount(spec.taskCount()); n++) {
            txn.put(RecordKeys.completionBlockKey(ID, n), LegacyCompletionBlocks.writeBlock(done, n));
        }
        assertTrue(await(client.commit(txn)).executed());
    }

    private static void completeRandomTasks(SplittableRandom random, BitSet done, int tasks) {
        for (int i = random.nextInt(3000); i > 0; i--) {
            done.set(random.nextInt(tasks));
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 100000, 10", "2, 100000, 900", "3, 8192, 900", "4, 8192, 10", "5, 9000, 10", "6, 1200, 10"})
    void recordedCompletionsSurviveLowerLimitsAndLeaderChanges(long seed, int tasks, int imageNameLength)
            throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        JobSpec spec = spec(tasks, imageNameLength);
        BitSet done = new BitSet();
        BitSet recorded = new BitSet();
        completeRandomTasks(random, done, tasks);
        writeInPreviousFormat(spec, done);
        recorded.or(done);
        for (int term = 0; term < 8; term++) {
            if (term == 4) {
                state.maxValueBytes = 2048;
                state.maxTxnOps = 4;
            }
            CompletionBlockStore blockStore = newBlockStore(term < 2 ? "" : LOWER_LIMITS);
            BitSet loadedCompletions = readCompletedTasks(blockStore);
            BitSet lostCompletions = (BitSet) recorded.clone();
            lostCompletions.andNot(loadedCompletions);
            assertTrue(
                    lostCompletions.isEmpty(),
                    "completions lost in term " + term + ": " + lostCompletions.cardinality());
            done = loadedCompletions;
            for (int remainingWrites = 1 + random.nextInt(6); remainingWrites > 0; remainingWrites--) {
                completeRandomTasks(random, done, tasks);
                Job job = new Job(spec, 1, clock.now(), readOpenRecord().revision(), done, tasks, true);
                StateClient.Txn txn = new StateClient.Txn()
                        .when(RecordKeys.LEADER, leadershipRevision)
                        .when(RecordKeys.openKey(ID), job.revision());
                blockStore.addProgress(txn, job, done);
                // The last write of this leader has no response and is executed after the next leader takes over.
                boolean held = remainingWrites == 1 && random.nextBoolean();
                state.holdFilter = t -> held;
                Future<StateClient.Outcome> outcome = client.commit(txn);
                while (held && state.held() == 0) {
                    Thread.onSpinWait();
                }
                if (!held) {
                    assertTrue(await(outcome).executed());
                    recorded.or(blockStore.onProgressWritten(job, done));
                }
            }
            state.holdFilter = t -> false;
            int heldTransactions = state.held();
            assertTrue(heldTransactions <= 1);
            newBlockStore(LOWER_LIMITS);
            assertEquals(heldTransactions == 0 ? List.of() : List.of(409), state.executeHeldTransactions());
        }
        assertEquals(0, state.oversizedTransactions);
        assertEquals(0, client.limits().rejections());
    }

    /** A completion takes two changes regardless of the job's size. The next leader deletes the blocks that remain. */
    @ParameterizedTest
    @CsvSource({"100000", "9000"})
    void blocksOfAFinishedJobAreDeletedAfterItsCompletion(int tasks) throws Exception {
        BitSet done = new BitSet();
        done.set(0, tasks - 1);
        writeInPreviousFormat(spec(tasks, 10), done);
        state.maxTxnOps = 4;
        CompletionBlockStore blockStore = newBlockStore(LOWER_LIMITS);
        Job job = new Job(spec(tasks, 10), 1, clock.now(), readOpenRecord().revision(), done, tasks, true);
        StateClient.Txn txn = new StateClient.Txn();
        blockStore.addProgress(txn, job, done);
        assertTrue(await(client.commit(txn)).executed() && txn.size() <= 4);
        await(client.commit(new StateClient.Txn()
                .delete(RecordKeys.openKey(ID))
                .put(RecordKeys.finalKey(ID), JobRecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        CompletionBlockStore next = newBlockStore(LOWER_LIMITS);
        for (String key : blockKeys()) {
            next.addInheritedBlock(key, new BitSet());
        }
        next.onOpenJobsLoaded(Set.of());
        vertx.runOnContext(v -> next.start());
        while (!blockKeys().isEmpty()) {
            Thread.onSpinWait();
        }
        assertTrue(state.has(RecordKeys.finalKey(ID)));
    }

    private List<String> blockKeys() {
        List<String> keys = new ArrayList<>(state.keys(RecordKeys.COMPLETION_BLOCKS));
        keys.addAll(state.keys(CompletionBits.SMALL_BLOCKS));
        return keys;
    }

    /** Without announced limits, the writes get smaller until the state service accepts one. */
    @ParameterizedTest
    @CsvSource({"2048, 4", "1500, 2"})
    void rejectedSizesLeadToSmallerWrites(int valueBytes, int txnOps) throws Exception {
        CompletionBlockStore blockStore = newBlockStore("");
        JobSpec spec = spec(100_000, 10);
        BitSet done = new BitSet();
        writeInPreviousFormat(spec, done);
        done.set(0, 90_000);
        state.maxValueBytes = valueBytes;
        state.maxTxnOps = txnOps;
        Job job = new Job(spec, 1, clock.now(), readOpenRecord().revision(), done, 100_000, true);
        int attempts = 0;
        while (blockStore.hasUnwrittenCompletions(job) && attempts < 60) {
            attempts++;
            StateClient.Txn txn = new StateClient.Txn();
            blockStore.addProgress(txn, job, done);
            boolean accepted = await(client.commit(txn).map(true).otherwise(false));
            if (accepted) {
                blockStore.onProgressWritten(job, done);
            }
        }
        assertTrue(!blockStore.hasUnwrittenCompletions(job), "tries: " + attempts);
        assertTrue(
                client.limits().rejections() <= 4,
                "refusals: " + client.limits().rejections());
        assertEquals(done, readCompletedTasks(newBlockStore("")));
    }
}
