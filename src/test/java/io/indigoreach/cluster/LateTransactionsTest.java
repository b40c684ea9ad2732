package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.JobCodec;
import io.indigoreach.api.JobService;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.config.Settings;
import io.indigoreach.core.calendar.CalendarVersion;
import io.indigoreach.core.calendar.Publishing;
import io.indigoreach.core.calendar.Replacing;
import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.loss.RememberedState;
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
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.ownership.Beginning;
import io.indigoreach.core.ownership.Ending;
import io.indigoreach.core.ownership.Registry;
import io.indigoreach.core.records.RecordCache;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.Routine;
import io.indigoreach.core.records.Step;
import io.indigoreach.core.records.Transaction;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.core.scheduling.SchedulerListener;
import io.indigoreach.core.scheduling.ServiceLevelObjectives;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.LeaderElection;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.RoutineRunner;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Every kind of transaction that the product writes gets no answer (docs/notes/late-transactions.md), in two ways. Carried out late,
 * after newer ones: after its successor, after what it wrote is removed again, after a change of leader; then it changes nothing.
 * Carried out at once, so that others read what its writer does not know of; then the writer finds it done. The writes are the
 * product's own; the state service stands in. Waits are for events, not times.
 */
class LateTransactionsTest {
    private static final MachinePool POOL = new MachinePool("quad", "a", true);
    private static final JobId JOB = new JobId("run-1");
    private static final String OPEN = RecordCodec.openKey(JOB);
    private static final Intents.Rent RENT = new Intents.Rent("t3-1", POOL, 50, 1000);
    private final Vertx vertx = Vertx.vertx();
    private final SteadyClock clock = new SteadyClock();
    /** Vert.x closes a client that nothing refers to any more. */
    private final List<Object> kept = new ArrayList<>();

    private final BlockingQueue<String> events = new ArrayBlockingQueue<>(100);
    private StateStandIn service;
    private StateClient client;
    private LeadershipTerm.Context env;
    private SchedulerCore core;

    /** When a transaction without an answer is carried out. */
    enum Unanswered {
        LATE,
        AT_ONCE
    }

    private Unanswered mode = Unanswered.LATE;

    /** One order of events. */
    private interface Case {
        void play(LateTransactionsTest t) throws Exception;
    }

    @BeforeEach
    void start() throws Exception {
        service = await(new StateStandIn().listen(vertx));
        client = client();
        Catalogue catalogue = new Catalogue(
                vertx, client, keep(new CloudClient(keep(new ServiceClient(vertx, service.endpoint(), 1)))));
        env = new LeadershipTerm.Context(
                vertx,
                clock,
                null,
                client,
                null,
                catalogue,
                MachineStoreTest.config(),
                Settings.standard(),
                Span.seconds(10));
        core = new SchedulerCore(
                new FencingToken(3),
                env.config().rules(),
                env.settings().tuning(),
                new ServiceLevelObjectives(List.of()),
                List.of(new Team("t", 0, 0, 0, 0)),
                new SchedulerListener() {
                    @Override
                    public void taskCompleted(Job job) {}

                    @Override
                    public void log(String line) {}
                });
        core.setTypes(List.of(type()));
        core.recordsLoaded();
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    private static MachineType type() {
        return new MachineType("quad", new Demand(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
    }

    private <T> T keep(T what) {
        kept.add(what);
        return what;
    }

    private StateClient client() {
        return keep(new StateClient(
                keep(new ServiceClient(vertx, service.endpoint(), 4)),
                keep(new ServiceClient(vertx, service.endpoint(), 2))));
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static void until(Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!holds.call()) {
            assertTrue(System.nanoTime() < end, "in vain");
            Thread.onSpinWait();
        }
    }

    private void run(Runnable what) {
        vertx.runOnContext(v -> what.run());
    }

    // The state service.

    private static boolean touches(Fields txn, String key) {
        return txn.children("writes").stream()
                .anyMatch(w -> (w.has("delete") ? w.text("delete") : w.text("write")).startsWith(key));
    }

    private boolean isAtOnce() {
        return mode == Unanswered.AT_ONCE;
    }

    private void leaveUnanswered(Predicate<Fields> which) {
        if (isAtOnce()) {
            service.losing = which;
        } else {
            service.holding = which;
        }
    }

    /** The next transaction that writes or deletes such a key gets no answer. */
    private void loseOne(String key) {
        AtomicBoolean first = new AtomicBoolean(true);
        leaveUnanswered(txn -> touches(txn, key) && first.getAndSet(false));
    }

    /** All of them get none. */
    private void loseAll(String key) {
        leaveUnanswered(txn -> touches(txn, key));
    }

    /** From now on all are answered. */
    private void pass() {
        leaveUnanswered(txn -> false);
    }

    private int unanswered() {
        return service.held() + service.lost;
    }

    private void untilUnanswered() throws Exception {
        until(() -> unanswered() > 0);
    }

    /** What was held back is carried out now, and finds that the keys are others; what was carried out at once stays as it was found. */
    private void changesNothingMore() {
        pass();
        if (isAtOnce()) {
            assertTrue(service.lost > 0, "every answer came");
            return;
        }
        List<Integer> statuses = service.executeLate();
        assertFalse(statuses.isEmpty(), "nothing was held back");
        assertFalse(statuses.contains(200), "carried out late: " + statuses);
    }

    /** Another leadership begins. */
    private Revision lead(long token) throws Exception {
        return await(client.commit(new StateClient.Txn().put(RecordCodec.LEADER, MessagePackFormat.map("t", token))))
                .stamp();
    }

    // Leadership.

    private LeaderElection node(String node, int peers) {
        LeaderElection[] made = new LeaderElection[1];
        made[0] = new LeaderElection(
                vertx,
                client,
                vertx,
                client,
                clock,
                node,
                node + "1",
                peers,
                Span.seconds(10),
                new TokenGenerator(node.charAt(0) - 'a', clock.timeOfDay(), Span.seconds(0.1)),
                new LeaderElection.Listener() {
                    @Override
                    public void leadershipGained(FencingToken token, Revision key, boolean bounds) {
                        events.add(node + " took");
                    }

                    @Override
                    public void leadershipLost(String reason) {
                        events.add(node + " lost");
                    }
                });
        made[0].askPeersBy(() -> Future.succeededFuture(false), () -> Future.succeededFuture(true));
        return keep(made[0]);
    }

    private void took(String node) throws Exception {
        assertEquals(node + " took", events.poll(20, TimeUnit.SECONDS));
    }

    private void lost(String node) throws Exception {
        assertEquals(node + " lost", events.poll(20, TimeUnit.SECONDS));
    }

    /** Its node stands no more, and the grants of its campaigns end by themselves. */
    private void endGrants(LeaderElection of) throws Exception {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        run(() -> {
            of.stop();
            stopped.complete(null);
        });
        stopped.get(20, TimeUnit.SECONDS);
        service.endLeases();
    }

    private static final Map<String, Case> LEADERSHIP = new LinkedHashMap<>();

    static {
        LEADERSHIP.put("a campaign, after the next one", t -> {
            LeaderElection a = t.node("a", 0);
            t.loseOne(RecordCodec.LEADER);
            t.run(a::start);
            t.took("a");
            t.changesNothingMore();
            assertTrue(a.isValid());
        });
        LEADERSHIP.put("a campaign, after its node led and gave up", t -> {
            LeaderElection a = t.node("a", 0);
            t.loseOne(RecordCodec.LEADER);
            t.run(a::start);
            t.took("a");
            t.run(() -> a.abdicate("test"));
            t.until(() -> !t.service.has(RecordCodec.LEADER));
            t.changesNothingMore();
            assertFalse(t.service.has(RecordCodec.LEADER));
        });
        LEADERSHIP.put("a campaign, after another node led and gave up", t -> {
            LeaderElection a = t.node("a", 0);
            t.loseAll(RecordCodec.LEADER);
            t.run(a::start);
            t.untilUnanswered();
            t.run(a::stop);
            t.pass();
            if (t.isAtOnce()) {
                // The key stands under the campaign's grant, which ends by itself.
                t.endGrants(a);
            }
            LeaderElection b = t.node("b", 0);
            t.run(b::start);
            t.took("b");
            t.run(() -> b.abdicate("test"));
            t.until(() -> !t.service.has(RecordCodec.LEADER));
            t.changesNothingMore();
        });
        LEADERSHIP.put("a campaign, after its grant has ended", t -> {
            LeaderElection a = t.node("a", 0);
            t.loseAll(RecordCodec.LEADER);
            t.run(a::start);
            t.untilUnanswered();
            t.endGrants(a);
            t.changesNothingMore();
            assertFalse(t.service.has(RecordCodec.LEADER));
        });
        LEADERSHIP.put("the removal of a predecessor's key, after its node took it", t -> {
            t.lead(1);
            await(t.client.commit(new StateClient.Txn()
                    .put(RecordCodec.LEADER, MessagePackFormat.map("node", "a", "process", "a0", "token", 1L))));
            LeaderElection a = t.node("a", 2);
            t.loseOne(RecordCodec.LEADER);
            await(a.clearPredecessor(node -> Future.succeededFuture(false)));
            t.run(a::start);
            t.took("a");
            t.changesNothingMore();
            assertTrue(t.service.has(RecordCodec.LEADER));
        });
        LEADERSHIP.put("the removal of the key of one that stood aside, after another took it", t -> {
            LeaderElection a = t.node("a", 0);
            t.run(a::start);
            t.took("a");
            LeaderElection b = t.node("b", 0);
            Revision key = a.leadershipRevision();
            t.loseOne(RecordCodec.LEADER);
            assertTrue(b.removeKey(key)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .handle((v, e) -> e != null)
                    .get(20, TimeUnit.SECONDS));
            t.run(a::stop);
            t.run(() -> a.abdicate("test"));
            t.lost("a");
            t.run(b::start);
            t.took("b");
            t.changesNothingMore();
            assertTrue(t.service.has(RecordCodec.LEADER));
        });
        LEADERSHIP.put("the word for start bounds, after the next leadership", t -> {
            await(t.client.commit(new StateClient.Txn().put(RecordCodec.COUNTER, MessagePackFormat.map("value", 7L))));
            LeaderElection a = t.node("a", 0);
            t.run(a::start);
            t.took("a");
            t.loseAll(RecordCodec.COUNTER);
            t.run(a::vouchForStartBounds);
            t.untilUnanswered();
            t.pass();
            t.run(a::deposed);
            t.lost("a");
            t.took("a");
            t.changesNothingMore();
            assertEquals(
                    t.isAtOnce(),
                    t.service.value(RecordCodec.COUNTER).flag("bounds", false),
                    "said late, an older version may have led in between");
        });
    }

    /** The key stands, by a transaction that its node gave up on: nobody leads by it, and a pledge given since binds. */
    @Test
    void aCampaignCarriedOutAfterItsNodeHasPledgedMakesNoLeader() throws Exception {
        LeaderElection a = node("a", 0);
        loseAll(RecordCodec.LEADER);
        run(a::start);
        untilUnanswered();
        CompletableFuture<Moment> pledged = new CompletableFuture<>();
        vertx.setPeriodic(1, t -> {
            if (!pledged.isDone() && a.pledge()) {
                pledged.complete(clock.now());
                service.holding = txn -> false;
            }
        });
        Moment given = pledged.get(20, TimeUnit.SECONDS);
        assertTrue(service.executeLate().contains(200));
        long token = RecordCodec.token(service.value(RecordCodec.LEADER).map());
        assertTrue(service.has(RecordCodec.LEADER) && events.isEmpty() && !a.isLeading());
        took("a");
        assertTrue(clock.now().since(given).compareTo(Span.seconds(2)) >= 0, "a pledge binds");
        assertTrue(RecordCodec.token(service.value(RecordCodec.LEADER).map()) > token);
    }

    // Jobs.

    private JobService desk() throws Exception {
        JobService desk = keep(new JobService(
                vertx,
                client,
                new JobRepairer(client, clock),
                env.catalogue(),
                List.of(new Team("t", 0, 0, 0, 0)),
                clock,
                8192,
                100));
        await(client.commit(
                new StateClient.Txn().put(RecordCodec.CATALOGUE, RecordCodec.writeCatalogue(List.of(type())))));
        env.catalogue().start();
        until(env.catalogue()::isKnown);
        return desk;
    }

    private static JobSpec spec(String id, int tasks) {
        return JobSpec.builder(new JobId(id))
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
    }

    private int submit(JobService desk) throws Exception {
        return await(desk.submit(MessagePackFormat.write(JobCodec.write(spec(JOB.text(), 4))))
                .map(a -> a.status())
                .otherwise(503));
    }

    private int cancel(JobService desk) throws Exception {
        return await(desk.cancel(JOB.text()).map(a -> a.status()).otherwise(503));
    }

    private void isOver(JobStatus how) {
        assertEquals(
                how,
                RecordCodec.readFinal(JOB, service.value(RecordCodec.finalKey(JOB)))
                        .status());
    }

    private void untilOver(JobId id) throws Exception {
        until(() -> service.has(RecordCodec.finalKey(id)));
    }

    /** A job in the state service and in the leader's memory; the first {@code done} of its tasks are done and not recorded. */
    private Job job(String id, int tasks, int done, int bound) throws Exception {
        JobSpec spec = spec(id, tasks);
        Predicate<Fields> holding = service.holding;
        Predicate<Fields> losing = service.losing;
        pass();
        Revision stamp = await(client.commit(new StateClient.Txn()
                        .put(
                                RecordCodec.openKey(spec.id()),
                                RecordCodec.writeJob(spec, 1, JobStatus.PENDING, new BitSet(), 0, bound))))
                .stamp();
        service.holding = holding;
        service.losing = losing;
        BitSet over = new BitSet();
        over.set(0, done);
        Job job = new Job(spec, 1, clock.now(), stamp, over, bound, false);
        core.addJob(job);
        return job;
    }

    private JobStore ledger(Revision key) throws Exception {
        return keep(new JobStore(
                env,
                core,
                new MachineStore(env, core, new FencingToken(3), key, () -> {}, new RateLimiter(100, clock.now())),
                key,
                () -> events.add("deposed"),
                new RateLimiter(100, clock.now()),
                true,
                new CancellationHorizon()));
    }

    private JobStore leading() throws Exception {
        return ledger(lead(1));
    }

    private void begin(JobStore jobStore, Job... jobs) {
        for (Job job : jobs) {
            jobStore.markDirty(job);
        }
        run(jobStore::start);
    }

    private int recorded(JobId id) {
        return RecordCodec.readJob(id, service.value(RecordCodec.openKey(id)), Revision.ABSENT)
                .doneCount();
    }

    private static final Map<String, Case> JOBS = new LinkedHashMap<>();

    static {
        JOBS.put("an acceptance, after its repeat", t -> {
            JobService desk = t.desk();
            t.loseOne(OPEN);
            assertEquals(503, t.submit(desk));
            assertEquals(t.isAtOnce() ? 200 : 201, t.submit(desk));
            t.changesNothingMore();
        });
        JOBS.put("an acceptance, after its job was cancelled", t -> {
            JobService desk = t.desk();
            t.loseOne(OPEN);
            assertEquals(503, t.submit(desk));
            assertEquals(t.isAtOnce() ? 200 : 201, t.submit(desk));
            assertEquals(200, t.cancel(desk));
            t.changesNothingMore();
            assertFalse(t.service.has(OPEN));
        });
        JOBS.put("an acceptance, after its job was done under another leader", t -> {
            JobService desk = t.desk();
            t.loseOne(OPEN);
            assertEquals(503, t.submit(desk));
            JobStore jobStore = t.ledger(t.lead(4));
            t.begin(jobStore, t.job(JOB.text(), 4, 4, 4));
            t.until(() -> t.service.has(RecordCodec.finalKey(JOB)) && t.core.job(JOB) == null);
            t.changesNothingMore();
            assertFalse(t.service.has(OPEN));
        });
        JOBS.put("a cancellation, after its repeat", t -> {
            JobService desk = t.desk();
            t.submit(desk);
            t.loseOne(OPEN);
            assertEquals(503, t.cancel(desk));
            assertEquals(200, t.cancel(desk));
            t.changesNothingMore();
        });
        JOBS.put("a cancellation, after the job's progress, and before it was done", t -> {
            JobService desk = t.desk();
            JobStore jobStore = t.leading();
            Job job = t.job(JOB.text(), 4, 2, 4);
            t.loseOne(OPEN);
            assertEquals(503, t.cancel(desk));
            t.begin(jobStore, job);
            t.until(() -> t.isAtOnce() ? t.core.job(JOB) == null : t.recorded(JOB) == 2);
            t.changesNothingMore();
            assertEquals(t.isAtOnce(), !t.service.has(OPEN), "its user was told nothing, and asks again");
            assertEquals(200, t.cancel(desk));
        });
        JOBS.put("a cancellation, after the job was done", t -> {
            JobService desk = t.desk();
            JobStore jobStore = t.leading();
            Job job = t.job(JOB.text(), 4, 4, 4);
            t.loseOne(OPEN);
            assertEquals(503, t.cancel(desk));
            t.begin(jobStore, job);
            t.until(() -> t.core.job(JOB) == null);
            t.changesNothingMore();
            t.isOver(t.isAtOnce() ? JobStatus.CANCELLED : JobStatus.DONE);
        });
        for (boolean ended : new boolean[] {false, true}) {
            JOBS.put("the mending of an open job's record, after another" + (ended ? " and the job's end" : ""), t -> {
                JobService desk = t.desk();
                StateClient.Outcome spoilt =
                        await(t.client.commit(new StateClient.Txn().put(OPEN, MessagePackFormat.map("class", 5L))));
                StateClient.Entry entry = new StateClient.Entry(OPEN, t.service.value(OPEN), spoilt.stamp(), 0);
                JobRepairer repairer = new JobRepairer(t.client, t.clock);
                t.loseOne(OPEN);
                assertTrue(await(repairer.repairOpen(JOB, entry, spec(JOB.text(), 4))
                        .map(false)
                        .otherwise(true)));
                await(repairer.repairOpen(JOB, entry, spec(JOB.text(), 4)));
                if (ended) {
                    assertEquals(200, t.cancel(desk));
                }
                t.changesNothingMore();
                assertEquals(ended, !t.service.has(OPEN));
            });
        }
        JOBS.put("the mending of an end, after another", t -> {
            String over = RecordCodec.finalKey(JOB);
            StateClient.Outcome spoilt =
                    await(t.client.commit(new StateClient.Txn().put(over, MessagePackFormat.map("status", "DONE"))));
            StateClient.Entry entry = new StateClient.Entry(over, t.service.value(over), spoilt.stamp(), 0);
            JobRepairer repairer = new JobRepairer(t.client, t.clock);
            t.loseOne(over);
            assertTrue(await(repairer.repairFinal(JOB, entry, null).map(false).otherwise(true)));
            await(repairer.repairFinal(JOB, entry, null));
            t.changesNothingMore();
        });
        JOBS.put("progress, after newer progress", t -> {
            JobStore jobStore = t.leading();
            t.loseOne(OPEN);
            Job job = t.job(JOB.text(), 4, 2, 4);
            t.begin(jobStore, job);
            t.until(() -> t.recorded(JOB) == 2 && job.unrecordedCompletions().isEmpty());
            t.changesNothingMore();
        });
        JOBS.put("progress, after the job was cancelled", t -> {
            JobStore jobStore = t.leading();
            t.loseAll(OPEN);
            t.begin(jobStore, t.job(JOB.text(), 4, 2, 4));
            t.untilUnanswered();
            t.pass();
            t.until(() -> t.recorded(JOB) == 2);
            assertEquals(200, t.cancel(t.desk()));
            t.changesNothingMore();
            assertFalse(t.service.has(OPEN));
        });
        JOBS.put("progress, after a change of leader", t -> {
            JobStore jobStore = t.leading();
            t.loseAll(OPEN);
            t.begin(jobStore, t.job(JOB.text(), 4, 2, 4));
            t.untilUnanswered();
            t.run(jobStore::cancel);
            t.lead(4);
            t.changesNothingMore();
            assertEquals(t.isAtOnce() ? 2 : 0, t.recorded(JOB));
        });
        JOBS.put("a start bound, after a newer one", t -> {
            JobStore jobStore = t.leading();
            t.core.rented(POOL, List.of(new MachineId("vm-1")), t.clock.now(), t.clock.now());
            t.loseOne(OPEN);
            Job job = t.job(JOB.text(), 4, 0, 0);
            t.begin(jobStore, job);
            t.until(() -> t.service.value(OPEN).whole("bound", 0) > 0 && !job.needsHigherStartBound());
            t.changesNothingMore();
        });
        JOBS.put("a start bound, after a change of leader: what that one orders by stands", t -> {
            JobStore jobStore = t.leading();
            t.core.rented(POOL, List.of(new MachineId("vm-1")), t.clock.now(), t.clock.now());
            t.loseAll(OPEN);
            Job job = t.job(JOB.text(), 4, 0, 0);
            t.begin(jobStore, job);
            t.untilUnanswered();
            t.run(jobStore::cancel);
            t.lead(4);
            t.changesNothingMore();
            assertTrue(job.needsHigherStartBound(), "not answered: nothing was ordered by it");
        });
        JOBS.put("an end, after its repeat", t -> {
            JobStore jobStore = t.leading();
            t.loseOne(OPEN);
            t.begin(jobStore, t.job(JOB.text(), 4, 4, 4));
            t.until(() -> t.service.has(RecordCodec.finalKey(JOB)) && t.core.job(JOB) == null);
            t.changesNothingMore();
        });
        JOBS.put("an end, after a change of leader", t -> {
            JobStore jobStore = t.leading();
            t.loseAll(OPEN);
            t.begin(jobStore, t.job(JOB.text(), 4, 4, 4));
            t.untilUnanswered();
            t.run(jobStore::cancel);
            t.lead(4);
            t.changesNothingMore();
            assertEquals(t.isAtOnce(), !t.service.has(OPEN));
        });
        JOBS.put("an end, after its user cancelled", t -> {
            JobStore jobStore = t.leading();
            JobService desk = t.desk();
            t.loseAll(OPEN);
            t.begin(jobStore, t.job(JOB.text(), 4, 4, 4));
            t.untilUnanswered();
            t.run(jobStore::cancel);
            t.pass();
            assertEquals(200, t.cancel(desk));
            t.changesNothingMore();
            t.isOver(t.isAtOnce() ? JobStatus.DONE : JobStatus.CANCELLED);
        });
        JOBS.put("an end in the open record, and its move, each after its repeat", t -> {
            JobStore jobStore = t.leading();
            Job[] jobs = new Job[8];
            for (int n = 0; n < jobs.length; n++) {
                jobs[n] = t.job("run-" + (n + 1), 1, 1, 1);
            }
            AtomicBoolean mark = new AtomicBoolean(true);
            AtomicBoolean move = new AtomicBoolean(true);
            // A mark puts the open record; the first transaction after it that deletes that record moves it.
            t.leaveUnanswered(txn -> touches(txn, OPEN)
                    && (touches(txn, RecordCodec.finalKey(JOB))
                            ? !mark.get() && move.getAndSet(false)
                            : mark.getAndSet(false)));
            t.begin(jobStore, jobs);
            for (Job job : jobs) {
                t.untilOver(job.id());
            }
            assertEquals(2, t.unanswered());
            t.changesNothingMore();
            assertEquals(List.of(), t.service.keys(RecordCodec.OPEN));
        });
    }

    // Machines and intents.

    private Future<Boolean> report(MachineStore machineStore, int n) {
        MachineId id = new MachineId("vm-" + n);
        Moment now = clock.now();
        core.rented(POOL, List.of(id), now, now);
        core.onHeartbeat(
                new Heartbeat(id, "10.0.0.1:1", POOL, new HeartbeatNumber(1, 1), new FencingToken(3), null, List.of()),
                now);
        return machineStore.record(core.unrecorded(id).orElseThrow());
    }

    private void gone(int n) {
        core.returned(List.of(new MachineId("vm-" + n)), clock.now());
    }

    private <T> T onLoop(Supplier<Future<T>> work) throws Exception {
        return await(vertx.getOrCreateContext().executeBlocking(() -> null).compose(v -> work.get()));
    }

    private MachineStore machines(Revision key) {
        MachineStore machineStore = keep(new MachineStore(
                env, core, new FencingToken(3), key, () -> events.add("deposed"), new RateLimiter(100, clock.now())));
        run(machineStore::start);
        return machineStore;
    }

    private int lines() {
        return service.keys(RecordCodec.MACHINES).stream()
                .mapToInt(k -> RecordCodec.readMachines(service.value(k)).size())
                .sum();
    }

    private IntentLog intents(Revision key) {
        return keep(new IntentLog(
                env, new FencingToken(3), key, () -> events.add("deposed"), new RateLimiter(100, clock.now())));
    }

    private static boolean record(IntentLog book) throws Exception {
        return await(book.record().otherwise(false));
    }

    private Intents.Page intended() throws Exception {
        return service.has("i/3")
                ? RecordCodec.readIntents(service.value("i/3"))
                : new Intents.Page(List.of(), List.of());
    }

    private static final Map<String, Case> CLOUD = new LinkedHashMap<>();

    static {
        CLOUD.put("a page's first write, after its repeat", t -> {
            MachineStore machineStore = t.machines(t.lead(1));
            t.loseOne(RecordCodec.MACHINES);
            assertTrue(t.onLoop(() -> t.report(machineStore, 1)));
            assertTrue(t.onLoop(() -> t.report(machineStore, 2)));
            t.changesNothingMore();
            assertEquals(2, t.lines());
        });
        CLOUD.put("a page's first write, after all on it are gone", t -> {
            MachineStore machineStore = t.machines(t.lead(1));
            t.loseOne(RecordCodec.MACHINES);
            assertTrue(t.onLoop(() -> t.report(machineStore, 1)));
            t.run(() -> t.gone(1));
            t.until(() -> t.lines() == 0);
            t.changesNothingMore();
            assertEquals(0, t.lines(), "a machine that is gone holds the next leader up");
        });
        CLOUD.put("a page's first write, after a change of leader", t -> {
            MachineStore machineStore = t.machines(t.lead(1));
            t.loseAll(RecordCodec.MACHINES);
            t.run(() -> t.report(machineStore, 1));
            t.untilUnanswered();
            t.run(machineStore::cancel);
            t.lead(4);
            t.changesNothingMore();
        });
        CLOUD.put("a page's change, after a newer one", t -> {
            MachineStore machineStore = t.machines(t.lead(1));
            assertTrue(t.onLoop(() -> t.report(machineStore, 1)));
            t.loseOne(RecordCodec.MACHINES);
            assertTrue(t.onLoop(() -> t.report(machineStore, 2)));
            assertTrue(t.onLoop(() -> t.report(machineStore, 3)));
            t.changesNothingMore();
            assertEquals(3, t.lines(), "it takes no machine off");
        });
        CLOUD.put("an earlier leader's page is removed, and again", t -> {
            MachineStore first = t.machines(t.lead(1));
            assertTrue(t.onLoop(() -> t.report(first, 1)));
            t.run(first::cancel);
            t.run(() -> t.gone(1));
            Revision key = t.lead(4);
            MachineStore next = new MachineStore(
                    t.env, t.core, new FencingToken(4), key, () -> {}, new RateLimiter(100, t.clock.now()));
            t.loseOne(RecordCodec.MACHINES);
            await(JobStore.pages(
                    t.client,
                    key,
                    RecordCodec.MACHINES,
                    e -> next.inherit(e.key(), e.stamp(), RecordCodec.readMachines(e.value()))));
            t.run(next::start);
            t.until(() ->
                    t.unanswered() == 1 && t.service.keys(RecordCodec.MACHINES).isEmpty());
            t.changesNothingMore();
        });
        CLOUD.put("an intent's first record, after its repeat", t -> {
            IntentLog book = t.intents(t.lead(1));
            book.intents().add(RENT);
            t.loseOne(RecordCodec.INTENTS);
            assertFalse(record(book) || book.intents().mayAsk(RENT.name()), "it may be there or not");
            t.until(() -> record(book) && book.intents().mayAsk(RENT.name()));
            t.changesNothingMore();
        });
        CLOUD.put("an intent's first record, after all in it is settled", t -> {
            IntentLog book = t.intents(t.lead(1));
            book.intents().add(RENT);
            t.loseOne(RecordCodec.INTENTS);
            assertFalse(record(book));
            t.until(() -> record(book) && book.intents().mayAsk(RENT.name()));
            book.intents().settled(RENT.name());
            t.until(() -> record(book) && t.intended().isEmpty());
            t.changesNothingMore();
            assertTrue(t.intended().isEmpty(), "the next leader would ask once more");
        });
        CLOUD.put("an intent's first record, after it was given up", t -> {
            IntentLog book = t.intents(t.lead(1));
            book.intents().add(RENT);
            t.loseOne(RecordCodec.INTENTS);
            assertFalse(record(book));
            book.intents().settled(RENT.name());
            t.until(() -> record(book) && t.service.has("i/3") && t.intended().isEmpty());
            t.changesNothingMore();
            assertTrue(t.intended().isEmpty(), "the next leader would rent what nobody wants");
        });
        CLOUD.put("an intent, after a change of leader", t -> {
            IntentLog book = t.intents(t.lead(1));
            book.intents().add(RENT);
            t.loseOne(RecordCodec.INTENTS);
            assertFalse(record(book));
            t.lead(4);
            t.changesNothingMore();
            assertFalse(book.intents().mayAsk(RENT.name()));
        });
        CLOUD.put("an earlier leader's intents are removed, and again", t -> {
            IntentLog old = t.intents(t.lead(1));
            old.intents().add(RENT);
            assertTrue(record(old));
            IntentLog next =
                    new IntentLog(t.env, new FencingToken(4), t.lead(4), () -> {}, new RateLimiter(100, t.clock.now()));
            await(next.load());
            t.loseOne(RecordCodec.INTENTS);
            await(next.forgetEarlier());
            assertEquals(t.isAtOnce(), !t.service.has("i/3"));
            await(next.forgetEarlier());
            assertFalse(t.service.has("i/3"));
            t.changesNothingMore();
        });
    }

    // Rebuilding and the era.

    private RememberedState remains() {
        RememberedState rememberedState = new RememberedState();
        Moment now = clock.now();
        rememberedState.add(new RememberedState.RentedMachine(new MachineId("vm-1"), POOL, now, now));
        BitSet oneInEachBlock = new BitSet();
        oneInEachBlock.set(0);
        oneInEachBlock.set(39_999);
        rememberedState.add(new RememberedState.OpenJob(spec(JOB.text(), 40_000), 1, oneInEachBlock, 4));
        rememberedState.add(new JobId("run-2"), new RememberedState.FinishedJob(JobStatus.DONE, 1));
        return rememberedState;
    }

    private boolean rebuilds(Revision key) throws Exception {
        return rebuilds(key, remains());
    }

    private boolean rebuilds(Revision key, RememberedState rememberedState) throws Exception {
        return await(
                new StateRebuilder(env, new FencingToken(3), key, new RateLimiter(100, clock.now()), rememberedState)
                        .run()
                        .map(true)
                        .otherwise(false));
    }

    private int bound() {
        return RecordCodec.readJob(JOB, service.value(OPEN), Revision.ABSENT).bound();
    }

    private static final Map<String, Case> LOSS = new LinkedHashMap<>();

    static {
        for (String key : List.of(RecordCodec.MACHINES, OPEN, RecordCodec.FINAL, RecordCodec.ERA)) {
            LOSS.put("a rebuilding's " + key + ", after the next try", t -> {
                await(t.client.check());
                Revision leader = t.lead(1);
                t.loseOne(key);
                assertFalse(t.rebuilds(leader));
                assertTrue(t.rebuilds(leader));
                t.changesNothingMore();
            });
            LOSS.put("a rebuilding's " + key + ", after a change of leader", t -> {
                await(t.client.check());
                Revision leader = t.lead(1);
                t.loseOne(key);
                assertFalse(t.rebuilds(leader));
                t.lead(4);
                t.changesNothingMore();
            });
        }
        LOSS.put("a rebuilt page, after the next try and all on it are gone", t -> {
            await(t.client.check());
            Revision leader = t.lead(1);
            t.loseOne(RecordCodec.MACHINES);
            assertFalse(t.rebuilds(leader));
            assertTrue(t.rebuilds(leader));
            MachineStore machineStore = new MachineStore(
                    t.env, t.core, new FencingToken(3), leader, () -> {}, new RateLimiter(100, t.clock.now()));
            await(JobStore.pages(
                    t.client,
                    leader,
                    RecordCodec.MACHINES,
                    e -> machineStore.inherit(e.key(), e.stamp(), RecordCodec.readMachines(e.value()))));
            t.run(machineStore::start);
            t.until(() -> t.lines() == 0);
            t.changesNothingMore();
            assertEquals(0, t.lines());
        });
        LOSS.put("a rebuilt job with blocks of bits, after the next try and its end", t -> {
            await(t.client.check());
            Revision leader = t.lead(1);
            t.loseOne(OPEN);
            assertFalse(t.rebuilds(leader));
            assertTrue(t.rebuilds(leader));
            assertEquals(2, t.service.keys(RecordCodec.BITS).size());
            assertEquals(200, t.cancel(t.desk()));
            // As the leader does behind the end.
            StateClient.Txn removal = new StateClient.Txn();
            t.service.keys(RecordCodec.BITS).forEach(removal::delete);
            assertTrue(await(t.client.commit(removal)).done());
            t.changesNothingMore();
            assertFalse(t.service.has(OPEN));
            assertEquals(List.of(), t.service.keys(RecordCodec.BITS));
        });
        LOSS.put("a rebuilt job, after a next try that no longer knew of it", t -> {
            await(t.client.check());
            Revision leader = t.lead(1);
            t.loseOne(OPEN);
            assertFalse(t.rebuilds(leader));
            assertTrue(t.rebuilds(leader, new RememberedState()));
            t.changesNothingMore();
            if (t.isAtOnce()) {
                assertEquals(4, t.bound(), "it counts as ordered in whole");
            } else {
                assertFalse(t.service.has(OPEN), "this leader would take it for a new job, of which nothing runs");
            }
        });
        LOSS.put("an acceptance, after a loss was mended and the job's end was lost", t -> {
            await(t.client.check());
            JobService desk = t.desk();
            t.loseOne(OPEN);
            assertEquals(503, t.submit(desk));
            assertEquals(t.isAtOnce() ? 200 : 201, t.submit(desk));
            assertEquals(200, t.cancel(desk));
            await(t.client.commit(new StateClient.Txn().delete(RecordCodec.finalKey(JOB))));
            assertTrue(t.rebuilds(t.lead(1), new RememberedState()));
            t.changesNothingMore();
            assertFalse(t.service.has(OPEN));
        });
        LOSS.put("a deployment's first era, after another process wrote it", t -> {
            t.loseOne(RecordCodec.ERA);
            assertTrue(await(t.client.check().map(false).otherwise(true)));
            await(t.client().check());
            t.changesNothingMore();
            await(t.client.check());
            assertTrue(t.client.isEraKnown());
        });
    }

    // Parts beside the jobs.

    private RoutineRunner records() {
        List<RecordFamily> families = new ArrayList<>(Registry.FAMILIES);
        families.add(CalendarVersion.FAMILY);
        families.add(CalendarVersion.TEXT_FAMILY);
        families.add(new RecordFamily("x/", 10, false, RecordFamily.Mending.NEWER));
        return new RoutineRunner(vertx, client, clock, new RecordCache(families));
    }

    private static Routine<Boolean> removing(String key) {
        return seen -> seen.isWritten() || !seen.failed().isEmpty()
                ? new Step.End<>(seen.isWritten())
                : seen.records().isEmpty()
                        ? new Step.Read<>(List.of(key))
                        : new Step.Write<>(
                                new Transaction().when(seen.record(key)).delete(key));
    }

    /** A part's write without an answer, then the same once more, then it comes late. */
    private <R> void twice(String key, RoutineRunner records, Supplier<Routine<R>> routine) throws Exception {
        loseOne(key);
        assertTrue(await(records.run(routine.get()).map(false).otherwise(true)));
        await(records.run(routine.get()));
        changesNothingMore();
    }

    private static final Map<String, Case> PARTS = new LinkedHashMap<>();

    static {
        PARTS.put(
                "a record's first write, after its repeat",
                t -> t.twice("x/", t.records(), () -> new Replacing("x/1", MessagePackFormat.map("n", 1L))));
        PARTS.put("a record's change, after its repeat", t -> {
            RoutineRunner records = t.records();
            await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L))));
            t.twice("x/", records, () -> new Replacing("x/1", MessagePackFormat.map("n", 2L)));
        });
        PARTS.put("a leader's write, after a change of leader", t -> {
            RoutineRunner records =
                    t.records().leading(RecordCodec.LEADER, t.lead(1), new RateLimiter(100, t.clock.now()));
            t.loseOne("x/");
            assertTrue(await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L)))
                    .map(false)
                    .otherwise(true)));
            t.lead(4);
            t.changesNothingMore();
        });
        PARTS.put("a record's removal, after it was written anew", t -> {
            RoutineRunner records = t.records();
            await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L))));
            t.loseOne("x/");
            assertTrue(await(records.run(removing("x/1")).map(false).otherwise(true)));
            await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 2L))));
            t.changesNothingMore();
        });
        PARTS.put("a write, after a loss and a new era", t -> {
            RoutineRunner records = t.records();
            t.loseOne("x/");
            assertTrue(await(records.run(new Replacing("x/1", MessagePackFormat.map("n", 1L)))
                    .map(false)
                    .otherwise(true)));
            assertTrue(t.rebuilds(t.lead(1), new RememberedState()));
            t.changesNothingMore();
        });
        PARTS.put("the registry's beginning", t -> t.twice("own/", t.records(), () -> new Beginning(true, "by test")));
        PARTS.put("a claim's end before it began", t -> t.twice("own/", t.records(), () -> new Ending("export-1")));
        PARTS.put(
                "a calendar's text",
                t -> t.twice(
                        "cal/text/",
                        t.records(),
                        () -> new Publishing(
                                new CalendarVersion(VersionedRecord.absent(CalendarVersion.KEY)),
                                "d",
                                "text",
                                1,
                                "note")));
        PARTS.put(
                "a calendar's head",
                t -> t.twice(
                        CalendarVersion.KEY,
                        t.records(),
                        () -> new Publishing(
                                new CalendarVersion(VersionedRecord.absent(CalendarVersion.KEY)),
                                "d",
                                "text",
                                1,
                                "note")));
    }

    /** Its bound says that nothing was ever ordered, while a controller remembers that all of it was. */
    @Test
    void anAcceptanceCarriedOutWhileItsJobIsRebuiltDoesNotTakeItsStartBoundBack() throws Exception {
        JobService desk = desk();
        loseOne(OPEN);
        assertEquals(503, submit(desk));
        Revision leader = lead(1);
        List<Integer> late = new ArrayList<>();
        service.holding = txn -> {
            if (touches(txn, OPEN)) {
                late.addAll(service.executeLate());
            }
            return false;
        };
        RememberedState rememberedState = new RememberedState();
        rememberedState.add(new RememberedState.OpenJob(spec(JOB.text(), 4), 1, new BitSet(), 4));
        until(() -> rebuilds(leader, rememberedState));
        assertEquals(List.of(200), late);
        assertEquals(4, bound());
    }

    static List<Object[]> cases() {
        List<Object[]> all = new ArrayList<>();
        for (Map<String, Case> table : List.of(LEADERSHIP, JOBS, CLOUD, LOSS, PARTS)) {
            table.forEach((name, play) -> {
                for (Unanswered when : Unanswered.values()) {
                    all.add(new Object[] {when, name, play});
                }
            });
        }
        return all;
    }

    @ParameterizedTest(name = "{0}: {1}")
    @MethodSource("cases")
    void aTransactionWithoutAnAnswerDoesNoHarm(Unanswered when, String name, Case play) throws Exception {
        mode = when;
        play.play(this);
    }
}
