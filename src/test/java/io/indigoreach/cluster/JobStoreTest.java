package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
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

/** A leader's access to job records: bursts of completions, deleted and unreadable records, and repeated loads. */
class JobStoreTest {
    private static final int COMPLETIONS = 40;
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private FakeStateService state;
    private StateClient client;
    private SchedulerCore core;
    private NodeContext context;
    private JobStore jobStore;
    private final CancellationHorizon horizon = new CancellationHorizon();

    @BeforeEach
    void start() throws Exception {
        state = await(new FakeStateService().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
        context = LeaderTestSupport.context(vertx, clock, client).build();
        Revision leadershipRevision = LeaderTestSupport.gainLeadership(client, 1);
        core = LeaderTestSupport.loadedCore(context, 3, LeaderTestSupport.quadCoreType());
        jobStore =
                new JobStore(LeaderTestSupport.writes(context, 3, leadershipRevision, 20), core, null, true, horizon);
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    private Job createOpenJob(int number, int tasks, int completedCount, int startBound) throws Exception {
        JobSpec spec = LeaderTestSupport.spec(new JobId("run-" + number), tasks, "img");
        Revision revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordKeys.openKey(spec.id()),
                                JobRecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, startBound))))
                .writtenRevision();
        BitSet completed = new BitSet();
        completed.set(0, completedCount);
        return new Job(spec, 1, clock.now(), revision, completed, startBound, false);
    }

    /** The records of all open jobs. */
    private Map<JobId, JobRecord> openRecords() throws Exception {
        return await(client.list(RecordKeys.OPEN_JOBS, null, 1000)).entries().stream()
                .map(e -> JobRecordCodec.readJob(RecordKeys.jobOfOpenKey(e.key()), e.value(), e.revision()))
                .collect(Collectors.toMap(JobRecord::id, record -> record));
    }

    private static long countUnfinished(Map<JobId, JobRecord> open) {
        return open.values().stream()
                .filter(record -> record.status() != JobStatus.DONE)
                .count();
    }

    @Test
    void completionBurstTakesOneChangeEachAndDelaysNoStart() throws Exception {
        for (int id = 0; id < COMPLETIONS; id++) {
            Job job = createOpenJob(id, 1, 1, 1);
            core.addJob(job);
            jobStore.scheduleWrite(job);
        }
        Job waiting = createOpenJob(COMPLETIONS, 40_000, 0, 0);
        core.addJob(waiting);
        core.onMachinesRented(
                new MachinePool("quad", "a", true), List.of(new MachineId("vm-1")), clock.now(), clock.now());
        int changesBefore = state.writtenKeys;
        vertx.runOnContext(v -> jobStore.start());
        Map<JobId, JobRecord> records = openRecords();
        while (records.get(waiting.id()).startBound() == 0) {
            records = openRecords();
        }
        assertTrue(countUnfinished(records) > 1, "the start bound was written only after all completions");
        while (countUnfinished(records) > 1) {
            records = openRecords();
        }
        assertTrue(
                state.writtenKeys - changesBefore < 2 * COMPLETIONS - 10,
                "changes: " + (state.writtenKeys - changesBefore));
        while (openRecords().size() > 1) {
            Thread.onSpinWait();
        }
        assertEquals(COMPLETIONS, await(client.list("f/", null, 1000)).entries().size(), "final records");
    }

    /**
     * Guards against tasks of a cancelled job that run on during an outage. The watch reported the deletion just before the
     * state service rejected this node's requests, so the reason for the deletion could not be read, and no peer reported a
     * later cancellation. If a peer confirms the cancellation of the job, the job is cancelled immediately.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aDeletedRecordHoldsTheHorizonUntilTheReasonIsRead(boolean confirmedByPeer) throws Exception {
        Job job = createOpenJob(1, 2, 0, 2);
        core.addJob(job);
        await(client.commit(new StateClient.Txn()
                .delete(RecordKeys.openKey(job.id()))
                .put(RecordKeys.finalKey(job.id()), JobRecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        Moment horizonBefore = clock.now();
        horizon.advanceTo(horizonBefore);
        state.unavailable = true;
        await(vertx.timer(20, TimeUnit.MILLISECONDS));
        onLoop(() -> jobStore.onOpenRecordDeleted(job.id()));
        int refusalsBefore = state.rejectedRequests;
        while (state.rejectedRequests < refusalsBefore + 2) {
            Thread.onSpinWait();
        }
        onLoop(() -> horizon.advanceTo(clock.now()));
        assertEquals(horizonBefore, horizon.completeUntil());
        assertFalse(job.isCancelled());
        if (confirmedByPeer) {
            onLoop(() -> jobStore.onCancelled(job.id()));
            assertTrue(job.isCancelled());
        }
        state.unavailable = confirmedByPeer;
        while (horizon.completeUntil().equals(horizonBefore)) {
            onLoop(() -> {});
        }
        assertTrue(job.isCancelled());
        onLoop(() -> jobStore.onOpenRecordWritten(job.id(), encodeOpenRecord(job, 2), new Revision(99)));
        assertNull(core.job(job.id()), "a delayed write must not open the job again");
    }

    /**
     * Guards against a job that was accepted and cancelled while the state service rejected this leader's requests. A peer
     * confirmed the cancellation before the watch reported the acceptance, which then opened the job. Its task could start, as
     * the final record could not be read.
     */
    @Test
    void aCancellationBeforeTheAcceptanceIsWatchedKeepsTheJobClosed() throws Exception {
        Job job = createOpenJob(1, 1, 0, 1);
        onLoop(() -> jobStore.onCancelled(job.id()));
        onLoop(() -> jobStore.onOpenRecordWritten(job.id(), encodeOpenRecord(job, 1), job.revision()));
        assertNull(core.job(job.id()), "the acceptance must not open a cancelled job");
    }

    /** Encodes the job's record as the watch reports it. */
    private static Fields encodeOpenRecord(Job job, int startBound) {
        return MessagePackFormat.readMap(MessagePackFormat.write(
                JobRecordCodec.writeJob(job.spec(), 1, JobStatus.PENDING, new BitSet(), 0, startBound)));
    }

    /** The records fill two listing pages. One job of each page is cancelled after the first page was read. */
    @Test
    void cancellationsBetweenTwoPagesAreApplied() throws Exception {
        JobSpec spec = createOpenJob(1, 1, 0, 1).spec();
        for (int first = 1000; first < 1600; first += 10) {
            StateClient.Txn jobs = new StateClient.Txn();
            for (int n = first; n < first + 10; n++) {
                jobs.put("j/run-" + n, JobRecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, 1));
            }
            assertTrue(await(client.commit(jobs)).executed());
        }
        AtomicInteger listings = new AtomicInteger();
        // Delays the fifth listing, which reads the second page of jobs (the listings before it: two kinds of
        // completion blocks, the machines, the first page of jobs).
        state.delayFilter = (door, path) -> path.equals("/store") && listings.incrementAndGet() == 5;
        Future<Long> loaded = jobStore.load();
        while (state.delayed() == 0) {
            Thread.onSpinWait();
        }
        for (String id : List.of("run-1000", "run-1599")) {
            await(client.commit(new StateClient.Txn()
                    .delete("j/" + id)
                    .put("f/" + id, JobRecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        }
        onLoop(state::executeDelayed);
        long revision = await(loaded);
        assertNotNull(core.job(new JobId("run-1000")), "the first page was read before the cancellation");
        assertNull(core.job(new JobId("run-1599")));
        JobWatch watch = new JobWatch(context, jobStore, horizon);
        onLoop(() -> watch.catchUp(revision).onSuccess(v -> watch.start()));
        Moment deadline = clock.now().plus(Span.seconds(10));
        while (core.job(new JobId("run-1000")) != null) {
            assertTrue(clock.now().isBefore(deadline), "the cancellation was not applied within 10 s");
            Thread.onSpinWait();
        }
        onLoop(watch::cancel);
        assertEquals(599, core.jobs().size());
    }

    /** No watch is started, so only the catch-up before the first command can apply the cancellation. */
    @Test
    void cancellationsAfterTheListingAreAppliedBeforeTheFirstCommand() throws Exception {
        JobId id = new JobId("run-1000");
        await(client.commit(new StateClient.Txn()
                .put(
                        "j/" + id,
                        JobRecordCodec.writeJob(
                                createOpenJob(1, 1, 0, 1).spec(), 1, JobStatus.PENDING, new BitSet(), 0, 1))));
        long revision = await(jobStore.load());
        await(client.commit(new StateClient.Txn()
                .delete("j/" + id)
                .put("f/" + id, JobRecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        Promise<Void> caughtUp = Promise.promise();
        onLoop(() -> new JobWatch(context, jobStore, horizon).catchUp(revision).onComplete(caughtUp));
        await(caughtUp.future());
        Moment deadline = clock.now().plus(Span.seconds(10));
        while (core.job(id) != null) {
            assertTrue(clock.now().isBefore(deadline), "the cancellation was not applied within 10 s");
            Thread.onSpinWait();
        }
    }

    private void onLoop(Runnable action) throws Exception {
        Promise<Void> done = Promise.promise();
        vertx.runOnContext(v -> {
            action.run();
            done.complete();
        });
        await(done.future());
    }

    /** A job that was accepted under higher limits is not written repeatedly, and other jobs need no additional changes. */
    @Test
    void aRecordAboveTheLimitDelaysNoOtherJob() throws Exception {
        context = LeaderTestSupport.context(vertx, clock, client)
                .config(LeaderTestSupport.config(CompletionBlockStoreTest.LOWER_LIMITS))
                .build();
        JobSpec spec = CompletionBlockStoreTest.spec(4, 3000);
        Revision revision = await(client.commit(new StateClient.Txn()
                        .put("j/run-1", JobRecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, 0))))
                .writtenRevision();
        Job tooLargeJob = new Job(spec, 1, clock.now(), revision, new BitSet(), 0, false);
        Revision leadershipRevision = await(client.get(RecordKeys.LEADER)).revision();
        jobStore =
                new JobStore(LeaderTestSupport.writes(context, 3, leadershipRevision, 20), core, null, true, horizon);
        state.maxValueBytes = 2048;
        state.maxTxnOps = 4;
        int changesBefore = state.writtenKeys;
        core.addJob(tooLargeJob);
        jobStore.scheduleWrite(tooLargeJob);
        Job largeJob = createOpenJob(2, 100_000, 100_000, 100_000);
        core.addJob(largeJob);
        jobStore.scheduleWrite(largeJob);
        vertx.runOnContext(v -> jobStore.start());
        while (!state.has("f/run-2")) {
            Thread.onSpinWait();
        }
        assertEquals(0, state.oversizedTransactions);
        assertEquals(
                3, state.writtenKeys - changesBefore, "one change for the submission of run-2, two for its completion");
        assertTrue(state.has("j/run-1"));
    }

    /**
     * The record of an open job becomes unreadable. The leader rewrites it immediately, without waiting for the next change.
     */
    @Test
    void anUnreadableRecordOfAKnownJobIsRewritten() throws Exception {
        Job job = createOpenJob(1, 4, 2, 4);
        core.addJob(job);
        Revision unreadable = await(
                        client.commit(new StateClient.Txn().put("j/run-1", MessagePackFormat.map("class", 5L))))
                .writtenRevision();
        jobStore.onOpenRecordWritten(job.id(), new Fields(MessagePackFormat.map("class", 5L)), unreadable);
        vertx.runOnContext(v -> jobStore.start());
        while (state.value("j/run-1").optionalText("team") == null) {
            Thread.onSpinWait();
        }
        assertEquals(2, openRecords().get(job.id()).doneCount());
    }

    /** A load fails after it has read the jobs. Before it is repeated, one job is cancelled and another makes progress. */
    @Test
    void aRepeatedLoadForgetsJobsThatWereCancelledSince() throws Exception {
        Job cancelled = createOpenJob(1, 2, 0, 2);
        createOpenJob(2, 2, 0, 1);
        await(jobStore.load());
        assertEquals(2, core.jobs().size());
        await(client.commit(new StateClient.Txn()
                .delete("j/run-1")
                .put("f/run-1", JobRecordCodec.writeFinal(JobStatus.CANCELLED, 0))));
        BitSet done = new BitSet();
        done.set(0);
        await(client.commit(new StateClient.Txn()
                .put(
                        "j/run-2",
                        JobRecordCodec.writeJob(
                                core.job(new JobId("run-2")).spec(), 1, JobStatus.RUNNING, done, 1, 2))));
        await(jobStore.load());
        assertEquals(
                null, core.job(cancelled.id()), "the watch would not report the cancellation, and tasks would run on");
        assertEquals(
                List.of(1, 2),
                List.of(
                        core.job(new JobId("run-2")).doneCount(),
                        core.job(new JobId("run-2")).startBoundToWrite()));
    }

    /**
     * An unreadable job record blocks only its own job. An unreadable machine page fails the load, so that no node may lead.
     */
    @Test
    void anUnreadableRecordBlocksOnlyItsOwnJob() throws Exception {
        createOpenJob(1, 1, 0, 0);
        await(client.commit(new StateClient.Txn()
                .put("j/run-2", MessagePackFormat.map("class", 5L))
                .put("j/what", MessagePackFormat.map())
                .put("j/run-5", MessagePackFormat.map("class", "c", "status", "NONE"))
                .put("p/run-1/x", MessagePackFormat.map("bits", "*"))));
        await(jobStore.load());
        assertEquals(
                List.of("run-1"),
                core.jobs().stream().map(job -> job.id().text()).toList());
        jobStore.onOpenRecordWritten(
                new JobId("run-3"), new Fields(MessagePackFormat.map("class", 5L)), new Revision(9));
        assertEquals(1, core.jobs().size(), "an unreadable record that the watch reports is skipped");
        Fields repaired = encodeOpenRecord(core.job(new JobId("run-1")), 1);
        jobStore.onOpenRecordWritten(new JobId("run-3"), repaired, new Revision(10));
        jobStore.onOpenRecordWritten(new JobId("run-4"), repaired, new Revision(11));
        assertEquals(
                List.of(true, false),
                List.of(
                        core.job(new JobId("run-3")).isInherited(),
                        core.job(new JobId("run-4")).isInherited()),
                "tasks of a repaired job may already run on machines, tasks of a new job cannot");
        await(client.commit(new StateClient.Txn().put("m/3-1", MessagePackFormat.map("machines", "many"))));
        Exception failed = assertThrows(Exception.class, () -> await(jobStore.load()));
        assertTrue(
                failed.getCause() instanceof UnreadableRecordException
                        && failed.getCause().getMessage().contains("m/3-1"),
                failed.getMessage());
    }
}
