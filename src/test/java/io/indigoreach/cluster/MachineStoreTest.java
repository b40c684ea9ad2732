package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.Settings;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Records of machines. Hundreds of machines that boot together must be recorded in few writes. Guards against slow
 * recording: 300 machines were once idle for up to 25 s, because each waited for its own write at a limit of 12
 * writes per second.
 */
class MachineStoreTest {
    private static final int MAX_VALUE_BYTES = 8 * 1024;
    private static final MachinePool POOL = new MachinePool("quad", "a-zone-of-usual-length", true);
    private static final Revision NO_LEADER = Revision.ABSENT;
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private FakeStateService state;
    private StateClient client;
    private SchedulerCore core;
    private MachineStore machineStore;
    private NodeContext context;

    @BeforeEach
    void start() throws Exception {
        state = await(new FakeStateService().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
        CloudClient cloud = new CloudClient(new ServiceClient(vertx, state.endpoint(), 1));
        context = LeaderTestSupport.context(vertx, clock, client)
                .cloud(cloud)
                .catalogue(new Catalogue(vertx, client, cloud))
                .build();
        core = LeaderTestSupport.core(context, 3, context.config().teams());
        core.addMachineTypes(List.of(machineType(POOL.zone())));
        core.onRecordsLoaded();
        machineStore = new MachineStore(LeaderTestSupport.writes(context, 3, NO_LEADER, 12), core);
        onLoop(() -> {
            machineStore.start();
            return Future.succeededFuture();
        });
    }

    private static MachineType machineType(String zone) {
        return new MachineType("quad", new Resources(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of(zone));
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    private <T> T onLoop(Supplier<Future<T>> work) throws Exception {
        return await(vertx.getOrCreateContext().executeBlocking(() -> null).compose(v -> work.get()));
    }

    private Future<Boolean> recordMachine(int number) {
        MachineId id = new MachineId(String.format("vm-%06d", number));
        Moment now = clock.now();
        core.onMachinesRented(POOL, List.of(id), now, now);
        core.onHeartbeat(
                new Heartbeat(id, "10.0.0.1:1", POOL, new HeartbeatNumber(1, 1), new FencingToken(3), null, List.of()),
                now);
        return machineStore.recordMachine(core.machineToRecord(id).orElseThrow());
    }

    private List<MachineRecord> readRecordedMachines() {
        List<MachineRecord> all = new ArrayList<>();
        for (String key : state.keys(RecordKeys.MACHINE_PAGES)) {
            all.addAll(MachineRecordCodec.readMachines(state.value(key)));
        }
        return all;
    }

    @Test
    void hundredsOfMachinesAreRecordedInFewWrites() throws Exception {
        List<Boolean> done = onLoop(() -> {
            List<Future<Boolean>> all = new ArrayList<>();
            for (int n = 0; n < 300; n++) {
                all.add(recordMachine(n));
            }
            return Future.all(all).map(c -> c.<Boolean>list());
        });
        assertFalse(done.contains(false));
        assertEquals(300, readRecordedMachines().size());
        assertTrue(state.transactionCount <= 4, state.transactionCount + " transactions");
        for (String key : state.keys(RecordKeys.MACHINE_PAGES)) {
            assertTrue(JsonSize.of(state.value(key).map()) <= MAX_VALUE_BYTES);
        }
    }

    /** After a write without a response, the store reads the revision of the page before it writes the page again. */
    @Test
    void aLostResponseLosesNoMachine() throws Exception {
        state.responsesToLose = 1;
        Future<Boolean> first = onLoop(() -> Future.succeededFuture(recordMachine(1)));
        await(first);
        assertTrue(onLoop(() -> recordMachine(2)));
        assertEquals(
                List.of(1, 2),
                readRecordedMachines().stream()
                        .map(m -> Integer.parseInt(m.id().text().substring(3)))
                        .toList());
        assertEquals(1, state.keys(RecordKeys.MACHINE_PAGES).size());
    }

    /** A load fails after it has read the machines, and is repeated. Then more machines boot than fit on one page. */
    @ParameterizedTest
    @ValueSource(ints = {70, 90, 110})
    void repeatedLoadLosesNoMachine(int machines) throws Exception {
        MachineRecord inheritedMachine =
                new MachineRecord(new MachineId("vm-000900"), POOL, clock.timeOfDay(), clock.timeOfDay());
        long revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordKeys.machinePageKey(new FencingToken(2), 1),
                                MachineRecordCodec.writeMachines(List.of(inheritedMachine)))))
                .revision();
        JobStore jobStore = new JobStore(
                LeaderTestSupport.writes(context, 3, new Revision(revision), 12),
                core,
                machineStore,
                true,
                new CancellationHorizon());
        onLoop(jobStore::load);
        onLoop(jobStore::load);
        assertTrue(onLoop(() -> recordMachine(0)));
        List<Boolean> done = onLoop(() -> {
            List<Future<Boolean>> all = new ArrayList<>();
            for (int n = 1; n < machines; n++) {
                all.add(recordMachine(n));
            }
            return Future.all(all).map(c -> c.<Boolean>list());
        });
        assertFalse(done.contains(false));
        assertEquals(
                machines + 1,
                readRecordedMachines().stream()
                        .map(MachineRecord::id)
                        .distinct()
                        .count(),
                "a machine that was reported as recorded has no record");
    }

    /** A page that exceeds lowered limits is split. After each write, a new leader can read every machine. */
    @Test
    void aPageAboveTheLimitIsSplitWithoutLosingMachines() throws Exception {
        machineStore.cancel();
        List<MachineRecord> machines = new ArrayList<>();
        Moment now = clock.now();
        for (int n = 0; n < 50; n++) {
            MachineId id = new MachineId(String.format("vm-%06d", n));
            machines.add(new MachineRecord(id, POOL, clock.timeOfDay(), clock.timeOfDay()));
            if (n != 7) {
                core.inheritMachine(id, POOL, now, now, now);
            }
        }
        String oversizedPageKey = RecordKeys.machinePageKey(new FencingToken(2), 1);
        Revision pageRevision = await(client.commit(
                        new StateClient.Txn().put(oversizedPageKey, MachineRecordCodec.writeMachines(machines))))
                .writtenRevision();
        state.maxValueBytes = 2048;
        state.maxTxnOps = 4;
        NodeContext lowerLimitsContext = NodeContext.builder()
                .vertx(vertx)
                .clock(clock)
                .state(client)
                .config(LeaderTestSupport.config("value_kb = 2.0\ntxn_ops = 4"))
                .settings(Settings.defaults())
                .lease(Span.seconds(10))
                .build();
        machineStore = new MachineStore(LeaderTestSupport.writes(lowerLimitsContext, 3, NO_LEADER, 12), core);
        onLoop(() -> {
            machineStore.addInheritedPage(oversizedPageKey, pageRevision, machines);
            machineStore.start();
            return Future.succeededFuture();
        });
        while (JsonSize.of(state.value(oversizedPageKey).map()) > 2048) {
            assertTrue(readRecordedMachines().stream()
                            .map(MachineRecord::id)
                            .distinct()
                            .count()
                    >= 49);
        }
        assertEquals(
                49,
                readRecordedMachines().stream()
                        .map(MachineRecord::id)
                        .distinct()
                        .count(),
                "all machines except the returned one");
        for (String key : state.keys(RecordKeys.MACHINE_PAGES)) {
            assertTrue(JsonSize.of(state.value(key).map()) <= 2048, key);
        }
        assertEquals(0, state.oversizedTransactions);
    }

    /**
     * The time to wait for leases that earlier leaders granted is counted from the start of this term, regardless of
     * how long loading takes.
     */
    @Test
    void aSlowLoadDoesNotDelayTheFailover() throws Exception {
        Moment before = clock.now();
        long revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordKeys.machinePageKey(new FencingToken(2), 1),
                                MachineRecordCodec.writeMachines(List.of(new MachineRecord(
                                        new MachineId("vm-000900"), POOL, clock.timeOfDay(), clock.timeOfDay()))))))
                .revision();
        SchedulerCore newCore =
                LeaderTestSupport.core(context, 3, context.config().teams());
        newCore.addMachineTypes(List.of(machineType("z")));
        JobStore jobStore = new JobStore(
                LeaderTestSupport.writes(context, 3, new Revision(revision), 12),
                newCore,
                machineStore,
                true,
                new CancellationHorizon());
        Moment termStart = clock.now();
        while (clock.now().since(termStart).ms() < 50) {
            Thread.onSpinWait();
        }
        onLoop(jobStore::load);
        newCore.onRecordsLoaded();
        Span leaseBound = context.config().safetyTimes().leaseBound();
        newCore.expireLeases(before.plus(leaseBound));
        assertFalse(newCore.isFailoverComplete(), "a lease from before this term may still be valid");
        newCore.expireLeases(termStart.plus(leaseBound).plus(new Span(1)));
        assertTrue(newCore.isFailoverComplete());
    }

    /**
     * A leader whose load fails part-way loads the records again. Guards against a page that was then in the store twice: the
     * copy with only returned machines deleted the page, although the other copy had a machine that ran tasks.
     */
    @Test
    void pageThatIsLoadedTwiceIsKeptOnce() throws Exception {
        List<MachineRecord> returnedMachines = List.of(new MachineRecord(new MachineId("vm-900"), POOL, 1, 1));
        StateClient.Outcome pages = await(client.commit(new StateClient.Txn()
                .put("m/2-1", MachineRecordCodec.writeMachines(returnedMachines))
                .put("m/2-2", MachineRecordCodec.writeMachines(returnedMachines))));
        assertTrue(onLoop(() -> {
            machineStore.addInheritedPage("m/2-1", pages.writtenRevision(), returnedMachines);
            machineStore.addInheritedPage("m/2-1", pages.writtenRevision(), returnedMachines);
            machineStore.addInheritedPage("m/2-2", pages.writtenRevision(), returnedMachines);
            return recordMachine(1);
        }));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (state.has("m/2-2") && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        assertEquals(
                List.of("vm-000001"),
                readRecordedMachines().stream().map(m -> m.id().text()).toList());
    }

    /**
     * Guards against a listing that is older than the leadership. The last machine that the previous leader recorded could be
     * missing, and its tasks would be started on another machine while they still run.
     */
    @Test
    void listingsOlderThanTheLeadershipAreRejected() throws Exception {
        long revision = await(client.commit(new StateClient.Txn().put("leader", MessagePackFormat.map("n", 1L))))
                .revision();
        for (long leadershipRevision : new long[] {revision, revision + 1}) {
            JobStore jobStore = new JobStore(
                    LeaderTestSupport.writes(context, 3, new Revision(leadershipRevision), 12),
                    core,
                    machineStore,
                    true,
                    new CancellationHorizon());
            assertEquals(
                    leadershipRevision == revision,
                    onLoop(() -> jobStore.load().map(r -> true).otherwise(false)));
        }
    }

    /** A start bound of zero in a job's record is trusted only if all earlier leaders respected start bounds. */
    @Test
    void startBoundsAreTrustedOnlyIfEveryLeaderRespectedThem() throws Exception {
        JobSpec spec = LeaderTestSupport.spec(new JobId("run-1"), 3, "i");
        long revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordKeys.openKey(spec.id()),
                                JobRecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, 0))))
                .revision();
        for (boolean startBoundsTrusted : new boolean[] {false, true}) {
            SchedulerCore newCore =
                    LeaderTestSupport.core(context, 3, context.config().teams());
            JobStore jobStore = new JobStore(
                    LeaderTestSupport.writes(context, 3, new Revision(revision), 12),
                    newCore,
                    machineStore,
                    startBoundsTrusted,
                    new CancellationHorizon());
            onLoop(jobStore::load);
            assertEquals(startBoundsTrusted ? 0 : 3, newCore.job(spec.id()).startBoundToWrite());
        }
    }
}
