package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderHarness.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.Settings;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.Demand;
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
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
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
 * Machines that come up by the hundred are recorded in few changes. Guards against a fleet of 300 that stood idle for
 * up to 25 s, each machine waiting for a change of its own among the twelve a second that the leader may make.
 */
class MachineStoreTest {
    private static final int VALUE_BYTES = 8 * 1024;
    private static final MachinePool POOL = new MachinePool("quad", "a-zone-of-usual-length", true);
    private static final Revision NO_LEADER = Revision.ABSENT;
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private StateStandIn state;
    private StateClient client;
    private SchedulerCore core;
    private MachineStore machineStore;
    private NodeContext context;

    @BeforeEach
    void start() throws Exception {
        state = await(new StateStandIn().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
        CloudClient cloud = new CloudClient(new ServiceClient(vertx, state.endpoint(), 1));
        context = LeaderHarness.context(vertx, clock, client)
                .cloud(cloud)
                .catalogue(new Catalogue(vertx, client, cloud))
                .build();
        core = LeaderHarness.core(context, 3, context.config().teams());
        core.setTypes(List.of(machineType(POOL.zone())));
        core.recordsLoaded();
        machineStore = new MachineStore(LeaderHarness.writes(context, 3, NO_LEADER, 12), core);
        onLoop(() -> {
            machineStore.start();
            return Future.succeededFuture();
        });
    }

    private static MachineType machineType(String zone) {
        return new MachineType("quad", new Demand(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of(zone));
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
        core.rented(POOL, List.of(id), now, now);
        core.onHeartbeat(
                new Heartbeat(id, "10.0.0.1:1", POOL, new HeartbeatNumber(1, 1), new FencingToken(3), null, List.of()),
                now);
        return machineStore.record(core.unrecorded(id).orElseThrow());
    }

    private List<MachineRecord> recorded() {
        List<MachineRecord> all = new ArrayList<>();
        for (String key : state.keys(RecordKeys.MACHINE_PAGES)) {
            all.addAll(MachineRecordCodec.readMachines(state.value(key)));
        }
        return all;
    }

    @Test
    void hundredsOfMachinesTakeFewChanges() throws Exception {
        List<Boolean> done = onLoop(() -> {
            List<Future<Boolean>> all = new ArrayList<>();
            for (int n = 0; n < 300; n++) {
                all.add(recordMachine(n));
            }
            return Future.all(all).map(c -> c.<Boolean>list());
        });
        assertFalse(done.contains(false));
        assertEquals(300, recorded().size());
        assertTrue(state.transactions <= 4, state.transactions + " transactions");
        for (String key : state.keys(RecordKeys.MACHINE_PAGES)) {
            assertTrue(JsonSize.of(state.value(key).map()) <= VALUE_BYTES);
        }
    }

    /** A write whose answer was lost is neither lost nor written over: its page's version is read first. */
    @Test
    void aLostResponseLosesNoMachine() throws Exception {
        state.losingAnswers = 1;
        Future<Boolean> first = onLoop(() -> Future.succeededFuture(recordMachine(1)));
        await(first);
        assertTrue(onLoop(() -> recordMachine(2)));
        assertEquals(
                List.of(1, 2),
                recorded().stream()
                        .map(m -> Integer.parseInt(m.id().text().substring(3)))
                        .toList());
        assertEquals(1, state.keys(RecordKeys.MACHINE_PAGES).size());
    }

    /** A new leader's reading fails after the machines, and is repeated: more machines than one page takes come up then. */
    @ParameterizedTest
    @ValueSource(ints = {70, 90, 110})
    void aLoadThatIsRepeatedLosesNoMachine(int machines) throws Exception {
        MachineRecord earlier =
                new MachineRecord(new MachineId("vm-000900"), POOL, clock.timeOfDay(), clock.timeOfDay());
        long revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordKeys.machinePageKey(new FencingToken(2), 1),
                                MachineRecordCodec.writeMachines(List.of(earlier)))))
                .revision();
        JobStore jobStore = new JobStore(
                LeaderHarness.writes(context, 3, new Revision(revision), 12),
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
                recorded().stream().map(MachineRecord::id).distinct().count(),
                "told as recorded, and is not");
    }

    /** A page from before the limits shrank is divided; whoever leads after any of its writes reads every machine. */
    @Test
    void aPageAboveTheLimitIsSplitWithoutLosingMachines() throws Exception {
        machineStore.cancel();
        List<MachineRecord> lines = new ArrayList<>();
        Moment now = clock.now();
        for (int n = 0; n < 50; n++) {
            MachineId id = new MachineId(String.format("vm-%06d", n));
            lines.add(new MachineRecord(id, POOL, clock.timeOfDay(), clock.timeOfDay()));
            if (n != 7) {
                core.inheritMachine(id, POOL, now, now, now);
            }
        }
        String wide = RecordKeys.machinePageKey(new FencingToken(2), 1);
        Revision stamp = await(client.commit(new StateClient.Txn().put(wide, MachineRecordCodec.writeMachines(lines))))
                .writtenRevision();
        state.valueBytes = 2048;
        state.txnOps = 4;
        NodeContext narrow = NodeContext.builder()
                .vertx(vertx)
                .clock(clock)
                .state(client)
                .config(LeaderHarness.config("value_kb = 2.0\ntxn_ops = 4"))
                .settings(Settings.defaults())
                .lease(Span.seconds(10))
                .build();
        machineStore = new MachineStore(LeaderHarness.writes(narrow, 3, NO_LEADER, 12), core);
        onLoop(() -> {
            machineStore.inherit(wide, stamp, lines);
            machineStore.start();
            return Future.succeededFuture();
        });
        while (JsonSize.of(state.value(wide).map()) > 2048) {
            assertTrue(recorded().stream().map(MachineRecord::id).distinct().count() >= 49);
        }
        assertEquals(49, recorded().stream().map(MachineRecord::id).distinct().count(), "all but the one that is gone");
        for (String key : state.keys(RecordKeys.MACHINE_PAGES)) {
            assertTrue(JsonSize.of(state.value(key).map()) <= 2048, key);
        }
        assertEquals(0, state.tooLarge);
    }

    /** Earlier leaders' leases run from when this leadership began, however long its records take to be read. */
    @Test
    void aSlowLoadDoesNotDelayTheFailover() throws Exception {
        Moment before = clock.now();
        long revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordKeys.machinePageKey(new FencingToken(2), 1),
                                MachineRecordCodec.writeMachines(List.of(new MachineRecord(
                                        new MachineId("vm-000900"), POOL, clock.timeOfDay(), clock.timeOfDay()))))))
                .revision();
        SchedulerCore fresh = LeaderHarness.core(context, 3, context.config().teams());
        fresh.setTypes(List.of(machineType("z")));
        JobStore jobStore = new JobStore(
                LeaderHarness.writes(context, 3, new Revision(revision), 12),
                fresh,
                machineStore,
                true,
                new CancellationHorizon());
        Moment begun = clock.now();
        while (clock.now().since(begun).ms() < 50) {
            Thread.onSpinWait();
        }
        onLoop(jobStore::load);
        fresh.recordsLoaded();
        Span bound = context.config().safetyTimes().leaseBound();
        fresh.expireLeases(before.plus(bound));
        assertFalse(fresh.isFailoverComplete(), "an earlier leader answered until then");
        fresh.expireLeases(begun.plus(bound).plus(new Span(1)));
        assertTrue(fresh.isFailoverComplete());
    }

    /**
     * A leader whose reading of the records fails half-way reads them once more. Guards against a page that is then in the store twice: the copy that knows only of machines that are gone removed it, with one that held tasks.
     */
    @Test
    void aPageThatIsInheritedTwiceIsKeptOnce() throws Exception {
        List<MachineRecord> gone = List.of(new MachineRecord(new MachineId("vm-900"), POOL, 1, 1));
        StateClient.Outcome pages = await(client.commit(new StateClient.Txn()
                .put("m/2-1", MachineRecordCodec.writeMachines(gone))
                .put("m/2-2", MachineRecordCodec.writeMachines(gone))));
        assertTrue(onLoop(() -> {
            machineStore.inherit("m/2-1", pages.writtenRevision(), gone);
            machineStore.inherit("m/2-1", pages.writtenRevision(), gone);
            machineStore.inherit("m/2-2", pages.writtenRevision(), gone);
            return recordMachine(1);
        }));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (state.has("m/2-2") && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertEquals(
                List.of("vm-000001"),
                recorded().stream().map(m -> m.id().text()).toList());
    }

    /**
     * Lists that are older than the leadership are not believed: a machine that the leader before recorded last could be
     * missing, and its tasks would be started elsewhere while it has them.
     */
    @Test
    void listingsOlderThanTheLeadershipAreRejected() throws Exception {
        long revision = await(client.commit(new StateClient.Txn().put("leader", MessagePackFormat.map("n", 1L))))
                .revision();
        for (long key : new long[] {revision, revision + 1}) {
            JobStore jobStore = new JobStore(
                    LeaderHarness.writes(context, 3, new Revision(key), 12),
                    core,
                    machineStore,
                    true,
                    new CancellationHorizon());
            assertEquals(
                    key == revision, onLoop(() -> jobStore.load().map(r -> true).otherwise(false)));
        }
    }

    /** Of a job whose record says that nothing of it was ever ordered: not believed while an older version may have led. */
    @Test
    void startBoundsAreTrustedOnlyIfEveryLeaderRespectedThem() throws Exception {
        JobSpec spec = LeaderHarness.spec(new JobId("run-1"), 3, "i");
        long revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordKeys.openKey(spec.id()),
                                JobRecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, 0))))
                .revision();
        for (boolean kept : new boolean[] {false, true}) {
            SchedulerCore fresh =
                    LeaderHarness.core(context, 3, context.config().teams());
            JobStore jobStore = new JobStore(
                    LeaderHarness.writes(context, 3, new Revision(revision), 12),
                    fresh,
                    machineStore,
                    kept,
                    new CancellationHorizon());
            onLoop(jobStore::load);
            assertEquals(kept ? 0 : 3, fresh.job(spec.id()).startBoundToWrite());
        }
    }
}
