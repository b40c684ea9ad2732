package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderHarness.await;
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
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.indigoreach.state.TestBlocks;
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
    static final String NEXT = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 20.0";
    private static final JobId ID = new JobId("run-1");
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private StateStandIn state;
    private StateClient client;
    private Revision leader;

    @BeforeEach
    void start() throws Exception {
        state = await(new StateStandIn().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    static JobSpec spec(int tasks, int imageName) {
        return LeaderHarness.spec(ID, tasks, "i".repeat(imageName));
    }

    private CompletionBlockStore newBlockStore(String announcedLimits) throws Exception {
        leader = LeaderHarness.lead(client, 1);
        NodeContext context = LeaderHarness.context(vertx, clock, client)
                .config(LeaderHarness.config(announcedLimits))
                .build();
        return new CompletionBlockStore(LeaderHarness.writes(context, 3, leader, 1000));
    }

    /** Reads the completed tasks as a new leader does, and adds the blocks to {@code blockStore}. */
    private BitSet read(CompletionBlockStore blockStore) throws Exception {
        BitSet done = new BitSet();
        for (String prefix : List.of(RecordKeys.COMPLETION_BLOCKS, CompletionBits.SMALL_BLOCKS)) {
            for (StateClient.Entry e : await(client.list(prefix, null, 1000)).items()) {
                BitSet block = new BitSet();
                CompletionBits.readBlock(e.key(), e.value(), block);
                blockStore.inherit(e.key(), block);
                done.or(block);
            }
        }
        done.or(open().done());
        return done;
    }

    private JobRecord open() throws Exception {
        StateClient.Entry e = await(client.get(RecordKeys.openKey(ID)));
        return JobRecordCodec.readJob(ID, e.value(), e.revision());
    }

    /** Writes the job and its blocks in the format of the previous version. */
    private void writeAsBefore(JobSpec spec, BitSet done) throws Exception {
        StateClient.Txn txn = new StateClient.Txn()
                .put(
                        RecordKeys.openKey(ID),
                        JobRecordCodec.writeJob(spec, 1, JobStatus.RUNNING, done, 0, spec.tasks()));
        for (int n = 0; n < TestBlocks.blocks(spec.tasks()); n++) {
            txn.put(RecordKeys.blockKey(ID, n), TestBlocks.writeBlock(done, n));
        }
        assertTrue(await(client.commit(txn)).done());
    }

    private static void complete(SplittableRandom random, BitSet done, int tasks) {
        for (int i = random.nextInt(3000); i > 0; i--) {
            done.set(random.nextInt(tasks));
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 100000, 10", "2, 100000, 900", "3, 8192, 900", "4, 8192, 10", "5, 9000, 10", "6, 1200, 10"})
    void recordedCompletionsSurviveLowerLimitsAndLeaderChanges(long seed, int tasks, int imageName) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        JobSpec spec = spec(tasks, imageName);
        BitSet done = new BitSet();
        BitSet recorded = new BitSet();
        complete(random, done, tasks);
        writeAsBefore(spec, done);
        recorded.or(done);
        for (int life = 0; life < 8; life++) {
            if (life == 4) {
                state.valueBytes = 2048;
                state.txnOps = 4;
            }
            CompletionBlockStore blockStore = newBlockStore(life < 2 ? "" : NEXT);
            BitSet heard = read(blockStore);
            BitSet lost = (BitSet) recorded.clone();
            lost.andNot(heard);
            assertTrue(lost.isEmpty(), "completions lost in term " + life + ": " + lost.cardinality());
            done = heard;
            for (int writes = 1 + random.nextInt(6); writes > 0; writes--) {
                complete(random, done, tasks);
                Job job = new Job(spec, 1, clock.now(), open().revision(), done, tasks, true);
                StateClient.Txn txn = new StateClient.Txn()
                        .when(RecordKeys.LEADER, leader)
                        .when(RecordKeys.openKey(ID), job.revision());
                blockStore.addProgress(txn, job, done);
                // The last write of this leader has no response and is executed after the next leader takes over.
                boolean held = writes == 1 && random.nextBoolean();
                state.holding = t -> held;
                Future<StateClient.Outcome> outcome = client.commit(txn);
                while (held && state.held() == 0) {
                    Thread.onSpinWait();
                }
                if (!held) {
                    assertTrue(await(outcome).done());
                    recorded.or(blockStore.written(job, done));
                }
            }
            state.holding = t -> false;
            int waited = state.held();
            assertTrue(waited <= 1);
            newBlockStore(NEXT);
            assertEquals(waited == 0 ? List.of() : List.of(409), state.executeLate());
        }
        assertEquals(0, state.tooLarge);
        assertEquals(0, client.limits().refusals());
    }

    /** A completion takes two changes regardless of the job's size. The next leader deletes the blocks that remain. */
    @ParameterizedTest
    @CsvSource({"100000", "9000"})
    void blocksOfAFinishedJobAreDeletedAfterItsCompletion(int tasks) throws Exception {
        BitSet done = new BitSet();
        done.set(0, tasks - 1);
        writeAsBefore(spec(tasks, 10), done);
        state.txnOps = 4;
        CompletionBlockStore blockStore = newBlockStore(NEXT);
        Job job = new Job(spec(tasks, 10), 1, clock.now(), open().revision(), done, tasks, true);
        StateClient.Txn txn = new StateClient.Txn();
        blockStore.addProgress(txn, job, done);
        assertTrue(await(client.commit(txn)).done() && txn.size() <= 4);
        await(client.commit(new StateClient.Txn()
                .delete(RecordKeys.openKey(ID))
                .put(RecordKeys.finalKey(ID), JobRecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        CompletionBlockStore next = newBlockStore(NEXT);
        for (String key : blocks()) {
            next.inherit(key, new BitSet());
        }
        next.loaded(Set.of());
        vertx.runOnContext(v -> next.start());
        while (!blocks().isEmpty()) {
            Thread.onSpinWait();
        }
        assertTrue(state.has(RecordKeys.finalKey(ID)));
    }

    private List<String> blocks() {
        List<String> keys = new ArrayList<>(state.keys(RecordKeys.COMPLETION_BLOCKS));
        keys.addAll(state.keys(CompletionBits.SMALL_BLOCKS));
        return keys;
    }

    /** Without announced limits, the writes get smaller until the state service accepts one. */
    @ParameterizedTest
    @CsvSource({"2048, 4", "1500, 2"})
    void aRejectionForSizeIsFollowedBySmallerWrites(int valueBytes, int txnOps) throws Exception {
        CompletionBlockStore blockStore = newBlockStore("");
        JobSpec spec = spec(100_000, 10);
        BitSet done = new BitSet();
        writeAsBefore(spec, done);
        done.set(0, 90_000);
        state.valueBytes = valueBytes;
        state.txnOps = txnOps;
        Job job = new Job(spec, 1, clock.now(), open().revision(), done, 100_000, true);
        int tries = 0;
        while (blockStore.isBehind(job) && tries < 60) {
            tries++;
            StateClient.Txn txn = new StateClient.Txn();
            blockStore.addProgress(txn, job, done);
            boolean taken = await(client.commit(txn).map(true).otherwise(false));
            if (taken) {
                blockStore.written(job, done);
            }
        }
        assertTrue(!blockStore.isBehind(job), "tries: " + tries);
        assertTrue(
                client.limits().refusals() <= 4, "refusals: " + client.limits().refusals());
        assertEquals(done, read(newBlockStore("")));
    }
}
