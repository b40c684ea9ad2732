package io.indigoreach.cluster;

import static io.indigoreach.cluster.LeaderTestSupport.await;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.api.JobCodec;
import io.indigoreach.api.JobService;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.scheduling.SchedulerCore;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Set-up for tests of transactions that get no response (docs/notes/late-transactions.md), for every kind of
 * transaction that the controller writes. A transaction that is executed late, after newer ones, must change nothing.
 * If it is executed at once and only its response is lost, the writer must detect that it was executed. The
 * transactions come from production code and go to an emulated state service. Tests wait for events and never for a
 * fixed time.
 */
abstract class LateTransactionTestBase {
    static final MachinePool POOL = new MachinePool("quad", "a", true);
    static final JobId JOB = new JobId("run-1");
    static final String OPEN = RecordKeys.openKey(JOB);
    static final Intents.Rental RENT = new Intents.Rental("t3-1", POOL, 50, 1000);
    final Vertx vertx = Vertx.vertx();
    final SteadyClock clock = new SteadyClock();
    /** Strong references, as Vert.x closes a client that is no longer reachable. */
    private final List<Object> reachableObjects = new ArrayList<>();

    final BlockingQueue<String> events = new ArrayBlockingQueue<>(100);
    FakeStateService service;
    StateClient client;
    NodeContext context;
    SchedulerCore core;

    /** When a transaction that gets no response is executed. */
    enum ExecutionTime {
        LATE,
        AT_ONCE
    }

    private ExecutionTime mode = ExecutionTime.LATE;

    /** One sequence of events. {@code T} is the test class that provides the helper methods. */
    interface Case<T> {
        void run(T test) throws Exception;
    }

    /** Returns the parameters of a test that runs each case once per {@link ExecutionTime}. */
    static <T> List<Object[]> casesInBothModes(Map<String, Case<T>> cases) {
        List<Object[]> parameters = new ArrayList<>();
        cases.forEach((name, testCase) -> {
            for (ExecutionTime executionTime : ExecutionTime.values()) {
                parameters.add(new Object[] {executionTime, name, testCase});
            }
        });
        return parameters;
    }

    /** Runs one case in the given mode. */
    <T> void runCase(T test, ExecutionTime executionTime, Case<T> testCase) throws Exception {
        mode = executionTime;
        testCase.run(test);
    }

    @BeforeEach
    void start() throws Exception {
        service = await(new FakeStateService().listen(vertx));
        client = client();
        Catalogue catalogue = new Catalogue(
                vertx,
                client,
                keepReachable(new CloudClient(keepReachable(new ServiceClient(vertx, service.endpoint(), 1)))));
        context = LeaderTestSupport.context(vertx, clock, client)
                .catalogue(catalogue)
                .build();

        core = LeaderTestSupport.loadedCore(context, 3, LeaderTestSupport.quadCoreType());
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close());
    }

    /** Keeps an object reachable until the test is over. */
    <T> T keepReachable(T object) {
        reachableObjects.add(object);
        return object;
    }

    StateClient client() {
        return keepReachable(new StateClient(
                keepReachable(new ServiceClient(vertx, service.endpoint(), 4)),
                keepReachable(new ServiceClient(vertx, service.endpoint(), 2))));
    }

    static void awaitCondition(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < deadlineNanos, "condition not met within 20 s");
            Thread.onSpinWait();
        }
    }

    void runOnEventLoop(Runnable action) {
        vertx.runOnContext(v -> action.run());
    }

    static boolean writesKeyWithPrefix(Fields txn, String key) {
        return txn.children("writes").stream()
                .anyMatch(w -> (w.has("delete") ? w.text("delete") : w.text("write")).startsWith(key));
    }

    boolean isExecutedAtOnce() {
        return mode == ExecutionTime.AT_ONCE;
    }

    void suppressResponses(Predicate<Fields> filter) {
        if (isExecutedAtOnce()) {
            service.loseResponseFilter = filter;
        } else {
            service.holdFilter = filter;
        }
    }

    /** The next transaction that writes or deletes a key with this prefix gets no response. */
    void suppressNextResponse(String key) {
        AtomicBoolean first = new AtomicBoolean(true);
        suppressResponses(txn -> writesKeyWithPrefix(txn, key) && first.getAndSet(false));
    }

    /** No transaction that writes or deletes a key with this prefix gets a response. */
    void suppressAllResponses(String key) {
        suppressResponses(txn -> writesKeyWithPrefix(txn, key));
    }

    /** Lets all transactions get a response from now on. */
    void restoreResponses() {
        suppressResponses(txn -> false);
    }

    int suppressedCount() {
        return service.held() + service.lostResponses;
    }

    void awaitSuppressedResponse() throws Exception {
        awaitCondition(() -> suppressedCount() > 0);
    }

    /**
     * Checks that late execution changes nothing: executes the delayed transactions, all of which must be rejected. In
     * the mode in which they were executed at once, only checks that a response was lost.
     */
    void assertLateExecutionChangesNothing() {
        restoreResponses();
        if (isExecutedAtOnce()) {
            assertTrue(service.lostResponses > 0, "no response was lost");
            return;
        }
        List<Integer> statuses = service.executeHeldTransactions();
        assertFalse(statuses.isEmpty(), "no transaction was held back");
        assertFalse(statuses.contains(200), "a late transaction was executed, statuses: " + statuses);
    }

    /** Writes the leadership key, which begins a new leadership term; returns its revision. */
    Revision gainLeadership(long token) throws Exception {
        return LeaderTestSupport.gainLeadership(client, token);
    }

    /** Creates a job service whose machine catalogue is loaded. */
    JobService newJobService() throws Exception {
        JobService jobService = keepReachable(new JobService(new JobService.Context(
                vertx,
                client,
                new JobRepairer(client, clock),
                context.catalogue(),
                List.of(LeaderTestSupport.TEAM),
                clock,
                8192,
                100)));
        await(client.commit(new StateClient.Txn()
                .put(
                        RecordKeys.CATALOGUE,
                        CatalogueRecordCodec.writeCatalogue(List.of(LeaderTestSupport.quadCoreType())))));
        context.catalogue().start();
        awaitCondition(context.catalogue()::isKnown);
        return jobService;
    }

    static JobSpec spec(String id, int tasks) {
        return LeaderTestSupport.spec(new JobId(id), tasks, "img");
    }

    int submit(JobService jobService) throws Exception {
        return await(jobService
                .submit(MessagePackFormat.write(JobCodec.write(spec(JOB.text(), 4))))
                .map(response -> response.status())
                .otherwise(503));
    }

    int cancel(JobService jobService) throws Exception {
        return await(
                jobService.cancel(JOB.text()).map(response -> response.status()).otherwise(503));
    }

    <T> T awaitOnEventLoop(Supplier<Future<T>> work) throws Exception {
        return await(vertx.getOrCreateContext().executeBlocking(() -> null).compose(started -> work.get()));
    }

    /** Number of machines in all machine records. */
    int recordedMachineCount() {
        return service.keys(RecordKeys.MACHINE_PAGES).stream()
                .mapToInt(key ->
                        MachineRecordCodec.readMachines(service.value(key)).size())
                .sum();
    }

    /** Remembered state of one machine, one open job with two completion blocks, and one finished job. */
    RememberedState rememberedState() {
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

    /** Rebuilds the records from {@link #rememberedState()}; false if that fails. */
    boolean rebuildSucceeds(Revision leadershipRevision) throws Exception {
        return rebuildSucceeds(leadershipRevision, rememberedState());
    }

    boolean rebuildSucceeds(Revision leadershipRevision, RememberedState rememberedState) throws Exception {
        return await(new StateRebuilder(
                        context,
                        new FencingToken(3),
                        leadershipRevision,
                        new RateLimiter(100, clock.now()),
                        rememberedState)
                .run()
                .map(true)
                .otherwise(false));
    }
}
