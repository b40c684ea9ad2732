package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.Settings;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Done tasks of large jobs, while the state service lowers its limits and leaders end between any two writes. */
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

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    static JobSpec spec(int tasks, int imageName) {
        return JobSpec.builder(ID)
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(tasks)
                .demand(new Demand(1, 0, 1))
                .image("i".repeat(imageName))
                .imageGb(0)
                .spotAllowed()
                .estimate(Span.seconds(10))
                .build();
    }

    private CompletionBlockStore book(String next) throws Exception {
        leader = await(client.commit(new StateClient.Txn().put(RecordCodec.LEADER, MessagePackFormat.map("t", 1L))))
                .stamp();
        LeadershipTerm.Context context = new LeadershipTerm.Context(
                vertx,
                clock,
                null,
                client,
                null,
                null,
                MachineStoreTest.config(next),
                Settings.standard(),
                Span.seconds(10));
        return new CompletionBlockStore(context, leader, () -> {}, new RateLimiter(1000, clock.now()));
    }

    /** What a leader that reads all of it takes to be done; {@code book} inherits the blocks. */
    private BitSet read(CompletionBlockStore book) throws Exception {
        BitSet done = new BitSet();
        for (String prefix : List.of(RecordCodec.BITS, CompletionBits.SMALL)) {
            for (StateClient.Entry e : await(client.list(prefix, null, 1000)).items()) {
                BitSet block = new BitSet();
                CompletionBits.readBlock(e.key(), e.value(), block);
                book.inherit(e.key(), block);
                done.or(block);
            }
        }
        done.or(open().done());
        return done;
    }

    private JobRecord open() throws Exception {
        StateClient.Entry e = await(client.get(RecordCodec.openKey(ID)));
        return RecordCodec.readJob(ID, e.value(), e.stamp());
    }

    /** As the version before wrote it. */
    private void writeAsBefore(JobSpec spec, BitSet done) throws Exception {
        StateClient.Txn txn = new StateClient.Txn()
                .put(RecordCodec.openKey(ID), RecordCodec.writeJob(spec, 1, JobStatus.RUNNING, done, 0, spec.tasks()));
        for (int n = 0; n < RecordCodec.blocks(spec.tasks()); n++) {
            txn.put(RecordCodec.blockKey(ID, n), RecordCodec.writeBlock(done, n));
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
    void nothingThatWasRecordedIsLostWhileLimitsShrinkAndLeadersEnd(long seed, int tasks, int imageName)
            throws Exception {
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
            CompletionBlockStore book = book(life < 2 ? "" : NEXT);
            BitSet heard = read(book);
            BitSet lost = (BitSet) recorded.clone();
            lost.andNot(heard);
            assertTrue(lost.isEmpty(), "lost in life " + life + ": " + lost.cardinality());
            done = heard;
            for (int writes = 1 + random.nextInt(6); writes > 0; writes--) {
                complete(random, done, tasks);
                Job job = new Job(spec, 1, clock.now(), open().stamp(), done, tasks, true);
                StateClient.Txn txn = new StateClient.Txn()
                        .when(RecordCodec.LEADER, leader)
                        .when(RecordCodec.openKey(ID), job.revision());
                book.addProgress(txn, job, done);
                // The last write of this leader has no answer, and is carried out after the next leader's first.
                boolean held = writes == 1 && random.nextBoolean();
                state.holding = t -> held;
                Future<StateClient.Outcome> outcome = client.commit(txn);
                while (held && state.held() == 0) {
                    Thread.onSpinWait();
                }
                if (!held) {
                    assertTrue(await(outcome).done());
                    recorded.or(book.written(job, done));
                }
            }
            state.holding = t -> false;
            int waited = state.held();
            assertTrue(waited <= 1);
            book(NEXT);
            assertEquals(waited == 0 ? List.of() : List.of(409), state.executeLate());
        }
        assertEquals(0, state.tooLarge);
        assertEquals(0, client.limits().refusals());
    }

    /** The end is two changes however large the job is; its blocks follow, also under the next leader. */
    @ParameterizedTest
    @CsvSource({"100000", "9000"})
    void blocksOfAJobThatIsOverAreRemovedBehindItsEnd(int tasks) throws Exception {
        BitSet done = new BitSet();
        done.set(0, tasks - 1);
        writeAsBefore(spec(tasks, 10), done);
        state.txnOps = 4;
        CompletionBlockStore book = book(NEXT);
        Job job = new Job(spec(tasks, 10), 1, clock.now(), open().stamp(), done, tasks, true);
        StateClient.Txn txn = new StateClient.Txn();
        book.addProgress(txn, job, done);
        assertTrue(await(client.commit(txn)).done() && txn.size() <= 4);
        await(client.commit(new StateClient.Txn()
                .delete(RecordCodec.openKey(ID))
                .put(RecordCodec.finalKey(ID), RecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        CompletionBlockStore next = book(NEXT);
        for (String key : blocks()) {
            next.inherit(key, new BitSet());
        }
        next.loaded(Set.of());
        vertx.runOnContext(v -> next.start());
        while (!blocks().isEmpty()) {
            Thread.onSpinWait();
        }
        assertTrue(state.has(RecordCodec.finalKey(ID)));
    }

    private List<String> blocks() {
        List<String> keys = new ArrayList<>(state.keys(RecordCodec.BITS));
        keys.addAll(state.keys(CompletionBits.SMALL));
        return keys;
    }

    /** Where the settings announce nothing: the next write is smaller, down to one that is taken. */
    @ParameterizedTest
    @CsvSource({"2048, 4", "1500, 2"})
    void aRefusalForSizeIsFollowedBySmallerWrites(int valueBytes, int txnOps) throws Exception {
        CompletionBlockStore book = book("");
        JobSpec spec = spec(100_000, 10);
        BitSet done = new BitSet();
        writeAsBefore(spec, done);
        done.set(0, 90_000);
        state.valueBytes = valueBytes;
        state.txnOps = txnOps;
        Job job = new Job(spec, 1, clock.now(), open().stamp(), done, 100_000, true);
        int tries = 0;
        while (book.isBehind(job) && tries < 60) {
            tries++;
            StateClient.Txn txn = new StateClient.Txn();
            book.addProgress(txn, job, done);
            boolean taken = await(client.commit(txn).map(true).otherwise(false));
            if (taken) {
                book.written(job, done);
            }
        }
        assertTrue(!book.isBehind(job), "tries: " + tries);
        assertTrue(
                client.limits().refusals() <= 4, "refusals: " + client.limits().refusals());
        assertEquals(done, read(book("")));
    }
}
