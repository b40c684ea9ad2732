package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.Settings;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.SchedulerListener;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A flood of single tasks, where the state service takes few changes: machines stood idle behind the writing of ends. */
class JobStoreTest {
    private static final int ENDS = 40;
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private StateStandIn state;
    private StateClient client;
    private SchedulerCore core;
    private LeadershipTerm.Context env;
    private JobStore ledger;
    private final CancellationHorizon horizon = new CancellationHorizon();

    @BeforeEach
    void start() throws Exception {
        state = await(new StateStandIn().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
        env = new LeadershipTerm.Context(
                vertx,
                clock,
                null,
                client,
                null,
                null,
                MachineStoreTest.config(),
                Settings.standard(),
                Span.seconds(10));
        StateClient.Outcome taken =
                await(client.commit(new StateClient.Txn().put(RecordCodec.LEADER, MessagePackFormat.map("t", 1L))));
        core = new SchedulerCore(
                new FencingToken(3),
                MachineStoreTest.config().rules(),
                Settings.standard().tuning(),
                new ServiceLevelObjectives(List.of()),
                List.of(new Team("t", 0, 0, 0, 0)),
                new SchedulerListener() {
                    @Override
                    public void taskCompleted(Job job) {}

                    @Override
                    public void log(String line) {}
                });
        core.setTypes(
                List.of(new MachineType("quad", new Demand(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"))));
        core.recordsLoaded();
        ledger =
                new JobStore(env, core, null, taken.stamp(), () -> {}, new RateLimiter(20, clock.now()), true, horizon);
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private Job job(int id, int tasks, int done, int bound) throws Exception {
        JobSpec spec = JobSpec.builder(new JobId("run-" + id))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(tasks)
                .demand(new Demand(1, 0, 1))
                .image("img")
                .imageGb(0)
                .spotAllowed()
                .estimate(Span.seconds(10))
                .build();
        Revision stamp = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordCodec.openKey(spec.id()),
                                RecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, bound))))
                .stamp();
        BitSet over = new BitSet();
        over.set(0, done);
        return new Job(spec, 1, clock.now(), stamp, over, bound, false);
    }

    /** What stands in the open jobs' records. */
    private Map<JobId, JobRecord> open() throws Exception {
        return await(client.list(RecordCodec.OPEN, null, 1000)).items().stream()
                .map(e -> RecordCodec.readJob(RecordCodec.jobOfOpenKey(e.key()), e.value(), e.stamp()))
                .collect(Collectors.toMap(JobRecord::id, record -> record));
    }

    private static long notOver(Map<JobId, JobRecord> open) {
        return open.values().stream()
                .filter(record -> record.status() != JobStatus.DONE)
                .count();
    }

    @Test
    void aFloodOfEndsCostsOneChangeEachAndHoldsUpNoStart() throws Exception {
        for (int id = 0; id < ENDS; id++) {
            Job job = job(id, 1, 1, 1);
            core.addJob(job);
            ledger.markDirty(job);
        }
        Job waiting = job(ENDS, 40_000, 0, 0);
        core.addJob(waiting);
        core.rented(new MachinePool("quad", "a", true), List.of(new MachineId("vm-1")), clock.now(), clock.now());
        int before = state.changed;
        vertx.runOnContext(v -> ledger.start());
        Map<JobId, JobRecord> now = open();
        while (now.get(waiting.id()).bound() == 0) {
            now = open();
        }
        assertTrue(notOver(now) > 1, "the start bound does not wait for all ends");
        while (notOver(now) > 1) {
            now = open();
        }
        assertTrue(state.changed - before < 2 * ENDS - 10, "changes: " + (state.changed - before));
        while (open().size() > 1) {
            Thread.onSpinWait();
        }
        assertEquals(ENDS, await(client.list("f/", null, 1000)).items().size(), "moved in the end");
    }

    /**
     * Guards against a cancellation that was heard of as the state service began to refuse this node: why the job was gone could not be
     * read any more, and with everybody's word that nothing was told since, its tasks ran on for the whole outage. Told by name,
     * it is over at once.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aJobThatIsGoneHoldsTheHorizonUntilItIsKnownWhy(boolean told) throws Exception {
        Job job = job(1, 2, 0, 2);
        core.addJob(job);
        await(client.commit(new StateClient.Txn()
                .delete(RecordCodec.openKey(job.id()))
                .put(RecordCodec.finalKey(job.id()), RecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        Moment before = clock.now();
        horizon.advanceTo(before);
        state.refusing = true;
        await(vertx.timer(20, TimeUnit.MILLISECONDS));
        onLoop(() -> ledger.onOpenRecordDeleted(job.id()));
        int refused = state.refusals;
        while (state.refusals < refused + 2) {
            Thread.onSpinWait();
        }
        onLoop(() -> horizon.advanceTo(clock.now()));
        assertEquals(before, horizon.completeUntil());
        assertFalse(job.isCancelled());
        if (told) {
            onLoop(() -> ledger.onCancelled(job.id()));
            assertTrue(job.isCancelled());
        }
        state.refusing = told;
        while (horizon.completeUntil().equals(before)) {
            onLoop(() -> {});
        }
        assertTrue(job.isCancelled());
        onLoop(() -> ledger.onOpenRecordWritten(job.id(), record(job, 2), new Revision(99)));
        assertNull(core.job(job.id()), "nothing opens it again");
    }

    /**
     * Guards against a job that was accepted and cancelled while this leader was refused: told by name before the watch caught up, its
     * acceptance opened it, and as its end could not be read its one task could be started.
     */
    @Test
    void aCancellationThatIsToldBeforeItsJobIsHeardOfKeepsItClosed() throws Exception {
        Job job = job(1, 1, 0, 1);
        onLoop(() -> ledger.onCancelled(job.id()));
        onLoop(() -> ledger.onOpenRecordWritten(job.id(), record(job, 1), job.revision()));
        assertNull(core.job(job.id()), "the acceptance comes after the word that the job is cancelled");
    }

    /** As a watch brings it. */
    private static Fields record(Job job, int bound) {
        return MessagePackFormat.readMap(MessagePackFormat.write(
                RecordCodec.writeJob(job.spec(), 1, JobStatus.PENDING, new BitSet(), 0, bound)));
    }

    /** The records fill two pages; when the first one was read and the second one not, a job of each is cancelled. */
    @Test
    void whatIsCancelledBetweenTwoPagesIsHeardOf() throws Exception {
        JobSpec spec = job(1, 1, 0, 1).spec();
        for (int first = 1000; first < 1600; first += 10) {
            StateClient.Txn jobs = new StateClient.Txn();
            for (int n = first; n < first + 10; n++) {
                jobs.put("j/run-" + n, RecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, 1));
            }
            assertTrue(await(client.commit(jobs)).done());
        }
        AtomicInteger listings = new AtomicInteger();
        // Two kinds of blocks of bits, machines, and the first page of the jobs come before it.
        state.delaying = (door, path) -> path.equals("/store") && listings.incrementAndGet() == 5;
        Future<Long> loaded = ledger.load();
        while (state.delayed() == 0) {
            Thread.onSpinWait();
        }
        for (String id : List.of("run-1000", "run-1599")) {
            await(client.commit(new StateClient.Txn()
                    .delete("j/" + id)
                    .put("f/" + id, RecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        }
        onLoop(state::letThrough);
        long revision = await(loaded);
        assertNotNull(core.job(new JobId("run-1000")), "its page had been read");
        assertNull(core.job(new JobId("run-1599")));
        JobWatch watch = new JobWatch(env, ledger, horizon);
        onLoop(() -> watch.catchUp(revision).onSuccess(v -> watch.start()));
        Moment until = clock.now().plus(Span.seconds(10));
        while (core.job(new JobId("run-1000")) != null) {
            assertTrue(clock.now().isBefore(until), "nothing tells of the cancellation");
            Thread.onSpinWait();
        }
        onLoop(watch::cancel);
        assertEquals(599, core.jobs().size());
    }

    /** Nothing but what is heard before the first order: no watch is begun. */
    @Test
    void whatIsCancelledAfterTheListingIsHeardOfBeforeTheFirstOrder() throws Exception {
        JobId id = new JobId("run-1000");
        await(client.commit(new StateClient.Txn()
                .put(
                        "j/" + id,
                        RecordCodec.writeJob(job(1, 1, 0, 1).spec(), 1, JobStatus.PENDING, new BitSet(), 0, 1))));
        long revision = await(ledger.load());
        await(client.commit(new StateClient.Txn()
                .delete("j/" + id)
                .put("f/" + id, RecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        Promise<Void> heard = Promise.promise();
        onLoop(() -> new JobWatch(env, ledger, horizon).catchUp(revision).onComplete(heard));
        await(heard.future());
        Moment until = clock.now().plus(Span.seconds(10));
        while (core.job(id) != null) {
            assertTrue(clock.now().isBefore(until), "nothing tells of the cancellation");
            Thread.onSpinWait();
        }
    }

    private void onLoop(Runnable what) throws Exception {
        Promise<Void> done = Promise.promise();
        vertx.runOnContext(v -> {
            what.run();
            done.complete();
        });
        await(done.future());
    }

    /** Accepted under wider limits: it is not refused again and again, and the jobs behind it go on, by few changes. */
    @Test
    void aRecordThatIsTooLongNowHoldsUpNobody() throws Exception {
        env = new LeadershipTerm.Context(
                vertx,
                clock,
                null,
                client,
                null,
                null,
                MachineStoreTest.config(CompletionBlockStoreTest.NEXT),
                Settings.standard(),
                Span.seconds(10));
        JobSpec spec = CompletionBlockStoreTest.spec(4, 3000);
        Revision stamp = await(client.commit(new StateClient.Txn()
                        .put("j/run-1", RecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, 0))))
                .stamp();
        Job tooLong = new Job(spec, 1, clock.now(), stamp, new BitSet(), 0, false);
        Revision leader = await(client.get(RecordCodec.LEADER)).stamp();
        ledger = new JobStore(env, core, null, leader, () -> {}, new RateLimiter(20, clock.now()), true, horizon);
        state.valueBytes = 2048;
        state.txnOps = 4;
        int before = state.changed;
        core.addJob(tooLong);
        ledger.markDirty(tooLong);
        Job large = job(2, 100_000, 100_000, 100_000);
        core.addJob(large);
        ledger.markDirty(large);
        vertx.runOnContext(v -> ledger.start());
        while (!state.has("f/run-2")) {
            Thread.onSpinWait();
        }
        assertEquals(0, state.tooLarge);
        assertEquals(3, state.changed - before, "one for the job, two for its end");
        assertTrue(state.has("j/run-1"));
    }

    /** Its record is spoilt under a leader that has it open: the next write is not left to the next change. */
    @Test
    void aKnownJobsRecordThatIsSpoiltIsWrittenAnew() throws Exception {
        Job job = job(1, 4, 2, 4);
        core.addJob(job);
        Revision spoilt = await(client.commit(new StateClient.Txn().put("j/run-1", MessagePackFormat.map("class", 5L))))
                .stamp();
        ledger.onOpenRecordWritten(job.id(), new Fields(MessagePackFormat.map("class", 5L)), spoilt);
        vertx.runOnContext(v -> ledger.start());
        while (state.value("j/run-1").optionalText("team") == null) {
            Thread.onSpinWait();
        }
        assertEquals(2, open().get(job.id()).doneCount());
    }

    /** What is read after the jobs fails, and all is read again: in between one job is cancelled and another goes on. */
    @Test
    void aReadingThatIsRepeatedForgetsWhatIsCancelledSince() throws Exception {
        Job cancelled = job(1, 2, 0, 2);
        job(2, 2, 0, 1);
        await(ledger.load());
        assertEquals(2, core.jobs().size());
        await(client.commit(new StateClient.Txn()
                .delete("j/run-1")
                .put("f/run-1", RecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        BitSet done = new BitSet();
        done.set(0);
        await(client.commit(new StateClient.Txn()
                .put(
                        "j/run-2",
                        RecordCodec.writeJob(core.job(new JobId("run-2")).spec(), 1, JobStatus.RUNNING, done, 1, 2))));
        await(ledger.load());
        assertEquals(null, core.job(cancelled.id()), "its tasks are to be stopped, and no watch will tell");
        assertEquals(
                List.of(1, 2),
                List.of(
                        core.job(new JobId("run-2")).doneCount(),
                        core.job(new JobId("run-2")).startBoundToWrite()));
    }

    /** Written by a newer version, or spoilt: one job stands still, the others are served; nobody guesses what machines hold. */
    @Test
    void aRecordThatCannotBeReadStopsItsOwnJobOnly() throws Exception {
        job(1, 1, 0, 0);
        await(client.commit(new StateClient.Txn()
                .put("j/run-2", MessagePackFormat.map("class", 5L))
                .put("j/what", MessagePackFormat.map())
                .put("j/run-5", MessagePackFormat.map("class", "c", "status", "NONE"))
                .put("p/run-1/x", MessagePackFormat.map("bits", "*"))));
        await(ledger.load());
        assertEquals(
                List.of("run-1"),
                core.jobs().stream().map(job -> job.id().text()).toList());
        ledger.onOpenRecordWritten(new JobId("run-3"), new Fields(MessagePackFormat.map("class", 5L)), new Revision(9));
        assertEquals(1, core.jobs().size(), "nor does it end the watch");
        Fields mended = record(core.job(new JobId("run-1")), 1);
        ledger.onOpenRecordWritten(new JobId("run-3"), mended, new Revision(10));
        ledger.onOpenRecordWritten(new JobId("run-4"), mended, new Revision(11));
        assertEquals(
                List.of(true, false),
                List.of(
                        core.job(new JobId("run-3")).isInherited(),
                        core.job(new JobId("run-4")).isInherited()),
                "what could not be read may be on machines, what is new cannot");
        await(client.commit(new StateClient.Txn().put("m/3-1", MessagePackFormat.map("machines", "many"))));
        Exception failed = assertThrows(Exception.class, () -> await(ledger.load()));
        assertTrue(
                failed.getCause() instanceof JobStore.UnreadableRecordException
                        && failed.getCause().getMessage().contains("m/3-1"),
                failed.getMessage());
    }
}
