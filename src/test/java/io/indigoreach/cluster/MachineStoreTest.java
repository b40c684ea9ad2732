package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.HeartbeatNumber;
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
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.SchedulerListener;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.RecordCodec;
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
    private static final Revision NOBODY = Revision.ABSENT;
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    private StateStandIn state;
    private StateClient client;
    private SchedulerCore core;
    private MachineStore book;
    private LeadershipTerm.Context env;

    private SchedulerListener silent;

    /** A small node's settings. */
    static PlatformConfig config() throws Exception {
        return config("");
    }

    /** The same under limits of the state service that are to come. */
    static PlatformConfig config(String next) throws Exception {
        return PlatformConfig.parse("test", """
                node = "a"
                domain = "z"
                serve_on = "127.0.0.1:0"
                cluster_listen = "127.0.0.1:0"
                [endpoints]
                cloud = "127.0.0.1:1"
                state = "127.0.0.1:1"
                [settings]
                zones = ["z"]
                [[settings.teams]]
                name = "t"
                [settings.workers]
                report_s = 2.0
                lease_s = 12.0
                cancel_s = 32.0
                [settings.state]
                rps = 100.0
                write_rps = 20.0
                value_kb = 8.0
                txn_ops = 12
                [settings.cloud]
                rps = 4.0
                [settings.state.next]
                """ + next);
    }

    @BeforeEach
    void start() throws Exception {
        state = await(new StateStandIn().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
        PlatformConfig config = config();
        silent = new SchedulerListener() {
            @Override
            public void taskCompleted(Job job) {}

            @Override
            public void log(String line) {}
        };
        Settings settings = Settings.standard();
        core = new SchedulerCore(
                new FencingToken(3),
                config.rules(),
                settings.tuning(),
                new ServiceLevelObjectives(List.of()),
                config.teams(),
                silent);
        core.setTypes(List.of(new MachineType(
                "quad", new Demand(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of(POOL.zone()))));
        core.recordsLoaded();
        CloudClient cloud = new CloudClient(new ServiceClient(vertx, state.endpoint(), 1));
        env = new LeadershipTerm.Context(
                vertx,
                clock,
                null,
                client,
                cloud,
                new Catalogue(vertx, client, cloud),
                config,
                settings,
                Span.seconds(10));
        book = new MachineStore(env, core, new FencingToken(3), NOBODY, () -> {}, new RateLimiter(12, clock.now()));
        onLoop(() -> {
            book.start();
            return Future.succeededFuture();
        });
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Supplier<Future<T>> work) throws Exception {
        return await(vertx.getOrCreateContext().executeBlocking(() -> null).compose(v -> work.get()));
    }

    private Future<Boolean> report(int n) {
        MachineId id = new MachineId(String.format("vm-%06d", n));
        Moment now = clock.now();
        core.rented(POOL, List.of(id), now, now);
        core.onHeartbeat(
                new Heartbeat(id, "10.0.0.1:1", POOL, new HeartbeatNumber(1, 1), new FencingToken(3), null, List.of()),
                now);
        return book.record(core.unrecorded(id).orElseThrow());
    }

    private List<MachineRecord> written() {
        List<MachineRecord> all = new ArrayList<>();
        for (String key : state.keys(RecordCodec.MACHINES)) {
            all.addAll(RecordCodec.readMachines(state.value(key)));
        }
        return all;
    }

    @Test
    void hundredsOfMachinesTakeFewChanges() throws Exception {
        List<Boolean> done = onLoop(() -> {
            List<Future<Boolean>> all = new ArrayList<>();
            for (int n = 0; n < 300; n++) {
                all.add(report(n));
            }
            return Future.all(all).map(c -> c.<Boolean>list());
        });
        assertFalse(done.contains(false));
        assertEquals(300, written().size());
        assertTrue(state.transactions <= 4, state.transactions + " transactions");
        for (String key : state.keys(RecordCodec.MACHINES)) {
            assertTrue(JsonSize.of(state.value(key).map()) <= VALUE_BYTES);
        }
    }

    /** A write whose answer was lost is neither lost nor written over: its page's version is read first. */
    @Test
    void aLostAnswerLosesNoMachine() throws Exception {
        state.losingAnswers = 1;
        Future<Boolean> first = onLoop(() -> Future.succeededFuture(report(1)));
        await(first);
        assertTrue(onLoop(() -> report(2)));
        assertEquals(
                List.of(1, 2),
                written().stream()
                        .map(m -> Integer.parseInt(m.id().text().substring(3)))
                        .toList());
        assertEquals(1, state.keys(RecordCodec.MACHINES).size());
    }

    /** A new leader's reading fails after the machines, and is repeated: more machines than one page takes come up then. */
    @ParameterizedTest
    @ValueSource(ints = {70, 90, 110})
    void aPageThatIsReadTwiceLosesNoMachine(int machines) throws Exception {
        Moment now = clock.now();
        MachineRecord earlier =
                new MachineRecord(new MachineId("vm-000900"), POOL, clock.timeOfDay(), clock.timeOfDay());
        long revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordCodec.machinePageKey(new FencingToken(2), 1),
                                RecordCodec.writeMachines(List.of(earlier)))))
                .revision();
        JobStore jobStore = new JobStore(
                env,
                core,
                book,
                new Revision(revision),
                () -> {},
                new RateLimiter(12, now),
                true,
                new CancellationHorizon());
        onLoop(jobStore::load);
        onLoop(jobStore::load);
        assertTrue(onLoop(() -> report(0)));
        List<Boolean> done = onLoop(() -> {
            List<Future<Boolean>> all = new ArrayList<>();
            for (int n = 1; n < machines; n++) {
                all.add(report(n));
            }
            return Future.all(all).map(c -> c.<Boolean>list());
        });
        assertFalse(done.contains(false));
        assertEquals(
                machines + 1,
                written().stream().map(MachineRecord::id).distinct().count(),
                "told as recorded, and is not");
    }

    /** A page from before the limits shrank is divided; whoever leads after any of its writes reads every machine. */
    @Test
    void aWiderPageIsDividedAndNoMachineIsMissingMeanwhile() throws Exception {
        book.cancel();
        List<MachineRecord> lines = new ArrayList<>();
        Moment now = clock.now();
        for (int n = 0; n < 50; n++) {
            MachineId id = new MachineId(String.format("vm-%06d", n));
            lines.add(new MachineRecord(id, POOL, clock.timeOfDay(), clock.timeOfDay()));
            if (n != 7) {
                core.inheritMachine(id, POOL, now, now, now);
            }
        }
        String wide = RecordCodec.machinePageKey(new FencingToken(2), 1);
        Revision stamp = await(client.commit(new StateClient.Txn().put(wide, RecordCodec.writeMachines(lines))))
                .stamp();
        state.valueBytes = 2048;
        state.txnOps = 4;
        LeadershipTerm.Context narrow = new LeadershipTerm.Context(
                vertx,
                clock,
                null,
                client,
                null,
                null,
                config("value_kb = 2.0\ntxn_ops = 4"),
                Settings.standard(),
                Span.seconds(10));
        book = new MachineStore(narrow, core, new FencingToken(3), NOBODY, () -> {}, new RateLimiter(12, now));
        onLoop(() -> {
            book.inherit(wide, stamp, lines);
            book.start();
            return Future.succeededFuture();
        });
        while (JsonSize.of(state.value(wide).map()) > 2048) {
            assertTrue(written().stream().map(MachineRecord::id).distinct().count() >= 49);
        }
        assertEquals(49, written().stream().map(MachineRecord::id).distinct().count(), "all but the one that is gone");
        for (String key : state.keys(RecordCodec.MACHINES)) {
            assertTrue(JsonSize.of(state.value(key).map()) <= 2048, key);
        }
        assertEquals(0, state.tooLarge);
    }

    /** Earlier leaders' leases run from when this leadership began, however long its records take to be read. */
    @Test
    void aSlowReadingPutsNoTakeOverOff() throws Exception {
        Moment before = clock.now();
        long revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordCodec.machinePageKey(new FencingToken(2), 1),
                                RecordCodec.writeMachines(List.of(new MachineRecord(
                                        new MachineId("vm-000900"), POOL, clock.timeOfDay(), clock.timeOfDay()))))))
                .revision();
        SchedulerCore fresh = new SchedulerCore(
                new FencingToken(3),
                env.config().rules(),
                env.settings().tuning(),
                new ServiceLevelObjectives(List.of()),
                env.config().teams(),
                silent);
        fresh.setTypes(List.of(
                new MachineType("quad", new Demand(4, 0, 16), 40, 0.5, 0.2, 0.05, Span.seconds(20), List.of("z"))));
        JobStore jobStore = new JobStore(
                env,
                fresh,
                book,
                new Revision(revision),
                () -> {},
                new RateLimiter(12, clock.now()),
                true,
                new CancellationHorizon());
        Moment begun = clock.now();
        while (clock.now().since(begun).ms() < 50) {
            Thread.onSpinWait();
        }
        onLoop(jobStore::load);
        fresh.recordsLoaded();
        Span bound = env.config().rules().leaseBound();
        fresh.expireLeases(before.plus(bound));
        assertFalse(fresh.isFailoverComplete(), "an earlier leader answered until then");
        fresh.expireLeases(begun.plus(bound).plus(new Span(1)));
        assertTrue(fresh.isFailoverComplete());
    }

    /**
     * A leader whose reading of the records fails half-way reads them once more. Guards against a page that is then in the book
     * twice: the copy that knows only of machines that are gone removed it, with one that held tasks.
     */
    @Test
    void aPageThatIsReadTwiceLosesNoMachine() throws Exception {
        List<MachineRecord> gone = List.of(new MachineRecord(new MachineId("vm-900"), POOL, 1, 1));
        StateClient.Outcome pages = await(client.commit(new StateClient.Txn()
                .put("m/2-1", RecordCodec.writeMachines(gone))
                .put("m/2-2", RecordCodec.writeMachines(gone))));
        assertTrue(onLoop(() -> {
            book.inherit("m/2-1", pages.stamp(), gone);
            book.inherit("m/2-1", pages.stamp(), gone);
            book.inherit("m/2-2", pages.stamp(), gone);
            return report(1);
        }));
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (state.has("m/2-2") && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertEquals(
                List.of("vm-000001"), written().stream().map(m -> m.id().text()).toList());
    }

    /**
     * Lists that are older than the leadership are not believed: a machine that the leader before recorded last could be
     * missing, and its tasks would be started elsewhere while it has them.
     */
    @Test
    void recordsOlderThanTheLeadershipAreNotBelieved() throws Exception {
        long revision = await(client.commit(new StateClient.Txn().put("leader", MessagePackFormat.map("n", 1L))))
                .revision();
        for (long key : new long[] {revision, revision + 1}) {
            JobStore jobStore = new JobStore(
                    env,
                    core,
                    book,
                    new Revision(key),
                    () -> {},
                    new RateLimiter(12, clock.now()),
                    true,
                    new CancellationHorizon());
            assertEquals(
                    key == revision, onLoop(() -> jobStore.load().map(r -> true).otherwise(false)));
        }
    }

    /** Of a job whose record says that nothing of it was ever ordered: not believed while an older version may have led. */
    @Test
    void startBoundsAreReadOnlyWhereEveryLeaderKeptToThem() throws Exception {
        JobSpec spec = JobSpec.builder(new JobId("run-1"))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(3)
                .demand(new Demand(1, 0, 1))
                .image("i")
                .imageGb(0)
                .spotAllowed()
                .estimate(Span.seconds(9))
                .build();
        long revision = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordCodec.openKey(spec.id()),
                                RecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, 0))))
                .revision();
        for (boolean kept : new boolean[] {false, true}) {
            SchedulerCore fresh = new SchedulerCore(
                    new FencingToken(3),
                    env.config().rules(),
                    env.settings().tuning(),
                    new ServiceLevelObjectives(List.of()),
                    env.config().teams(),
                    silent);
            JobStore jobStore = new JobStore(
                    env,
                    fresh,
                    book,
                    new Revision(revision),
                    () -> {},
                    new RateLimiter(12, clock.now()),
                    kept,
                    new CancellationHorizon());
            onLoop(jobStore::load);
            assertEquals(kept ? 0 : 3, fresh.job(spec.id()).startBoundToWrite());
        }
    }
}
