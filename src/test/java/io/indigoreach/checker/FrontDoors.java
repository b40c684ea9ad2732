package io.indigoreach.checker;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.api.JobCodec;
import io.indigoreach.api.JobService;
import io.indigoreach.checker.Event.Question;
import io.indigoreach.checker.JobRegisters.Call;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.FakeStateService;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.JobRepairer;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;

/**
 * Several front doors over one stand-in for the state service, each with an event loop of its own and a way of its own to the service; and
 * whoever leads, as far as users see it: it writes progress and ends. Every call is recorded with the moments of its begin and end.
 *
 * <p>Each client is used on its own event loop only: used from other threads, a request may never be answered.
 */
final class FrontDoors implements AutoCloseable {
    private static final int TASKS = 2;
    /** So few that of the questions in a burst some are read alone and some together. */
    private static final double QUESTIONS_PER_S = 150;

    /** What users ask of a node: the desk itself, or one with a fault that is planted. */
    interface Door {
        Future<ApiResponse> ask(Question question, JobSpec spec);
    }

    /** One node's process; a restart makes another. */
    private record Node(Context loop, Catalogue catalogue, JobService desk, Door door) {}

    final FakeStateService service = new FakeStateService();
    private final Queue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Vertx serviceRuntime = Vertx.vertx();
    private final List<Vertx> runtimes = new ArrayList<>();
    private final List<Endpoint> ways = new ArrayList<>();
    private final AtomicReferenceArray<Node> nodes;
    private final Function<JobService, Door> planted;
    private final StateClient leader;
    /** Vert.x closes a client that nothing refers to any more. */
    private final Queue<Object> kept = new ConcurrentLinkedQueue<>();

    private final Context serviceLoop = serviceRuntime.getOrCreateContext();
    private final Vertx leaderRuntime = Vertx.vertx();
    private final Context leaderLoop = leaderRuntime.getOrCreateContext();

    FrontDoors(int count, Function<JobService, Door> planted) throws Exception {
        this.planted = planted;
        this.nodes = new AtomicReferenceArray<>(count);
        await(on(serviceLoop, () -> service.listen(serviceRuntime)));
        leader = await(on(leaderLoop, () -> Future.succeededFuture(client(leaderRuntime, service.endpoint()))));
        MachineType type =
                new MachineType("quad", new Resources(4, 0, 16), 40, 1, 1, 1, Span.seconds(20), List.of("a"));
        StateClient.Txn catalogue = new StateClient.Txn()
                .when(RecordKeys.CATALOGUE, Revision.ABSENT)
                .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(List.of(type)));
        await(on(leaderLoop, () -> leader.commit(catalogue)));
        await(on(leaderLoop, leader::checkEra));
        for (int n = 0; n < count; n++) {
            String name = name(n);
            ways.add(await(on(serviceLoop, () -> service.addEndpoint(serviceRuntime, name))));
            runtimes.add(Vertx.vertx());
            restart(n);
        }
        for (int n = 0; n < count; n++) {
            Node node = nodes.get(n);
            while (!await(on(node.loop, () -> Future.succeededFuture(node.catalogue.isKnown())))) {
                Thread.onSpinWait();
            }
        }
    }

    List<Call> calls() {
        return List.copyOf(calls);
    }

    static String name(int node) {
        return "node-" + node;
    }

    int count() {
        return nodes.length();
    }

    private StateClient client(Vertx runtime, Endpoint way) {
        StateClient client = new StateClient(new ServiceClient(runtime, way, 8), new ServiceClient(runtime, way, 1));
        kept.add(client);
        return client;
    }

    /** A new process at a node, which remembers nothing; what is under way at the one before is never answered. */
    void restart(int n) throws Exception {
        Vertx runtime = runtimes.get(n);
        Context loop = runtime.getOrCreateContext();
        SteadyClock clock = new SteadyClock();
        Node node = await(on(loop, () -> {
            StateClient state = client(runtime, ways.get(n));
            Catalogue catalogue =
                    new Catalogue(runtime, state, new CloudClient(new ServiceClient(runtime, service.endpoint(), 1)));
            JobService desk = new JobService(new JobService.Context(
                    runtime,
                    state,
                    new JobRepairer(state, clock),
                    catalogue,
                    List.of(new Team("t", 0, 0, 0, 0)),
                    clock,
                    8192,
                    QUESTIONS_PER_S));
            desk.setPeerQuery(id -> othersKnow(n, id));
            catalogue.start();
            return Future.succeededFuture(new Node(loop, catalogue, desk, planted.apply(desk)));
        }));
        nodes.set(n, node);
    }

    /** Asks the other nodes whether they know a job; called on the event loop of a node, and completes there as in production. */
    private Future<Boolean> othersKnow(int asking, JobId id) {
        Context askingLoop = Vertx.currentContext();
        List<Future<Boolean>> words = new ArrayList<>();
        for (int n = 0; n < nodes.length(); n++) {
            Node other = nodes.get(n);
            if (n != asking && other != null) {
                words.add(on(other.loop, () -> Future.succeededFuture(other.desk.isKnown(id))));
            }
        }
        Promise<Boolean> known = Promise.promise();
        Future.all(words)
                .<Boolean>map(all -> all.<Boolean>list().contains(true))
                .onComplete(result -> askingLoop.runOnContext(v -> known.handle(result)));
        return known.future();
    }

    /** Does nothing for a while, as a process that is stopped: what reaches it meanwhile is read later. */
    void freeze(int n, long ms) {
        nodes.get(n).loop.runOnContext(v -> {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
            while (System.nanoTime() < end) {
                LockSupport.parkNanos(end - System.nanoTime());
            }
        });
    }

    /** One question at one node; the result is what is recorded of it. A process that has ended since answers nobody. */
    Future<Call> ask(int n, Question question, JobId id) {
        Node node = nodes.get(n);
        long begin = System.nanoTime();
        Promise<Call> recorded = Promise.promise();
        on(node.loop, () -> node.door.ask(question, spec(id))).onComplete(answer -> {
            boolean is = answer.succeeded() && nodes.get(n).equals(node);
            int http = is ? answer.result().status() : 0;
            Object word = is ? answer.result().body().get("status") : null;
            JobStatus told =
                    word == null ? null : JobStatus.valueOf(word.toString().toUpperCase(Locale.ROOT));
            Call call = new Call(begin, System.nanoTime(), question, id, name(n), http, told);
            calls.add(call);
            recorded.complete(call);
        });
        return recorded.future();
    }

    /** What the desk does with a question, without any fault. */
    static Future<ApiResponse> ask(JobService desk, Question question, JobSpec spec) {
        return switch (question) {
            case SUBMIT -> desk.submit(MessagePackFormat.write(JobCodec.write(spec)));
            case POLL -> desk.query(spec.id().text());
            case CANCEL -> desk.cancel(spec.id().text());
        };
    }

    private static JobSpec spec(JobId id) {
        return JobSpec.builder(id)
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .taskCount(TASKS)
                .demand(new Resources(1, 0, 1))
                .image("img")
                .imageGb(0)
                .spotAllowed()
                .estimatedRunTime(Span.seconds(10))
                .build();
    }

    /** The leader's next write of a job: it runs, it is done, or it is done and moved later. */
    Future<Void> lead(JobId id, boolean ends, boolean moves) {
        return on(leaderLoop, () -> writeNext(id, ends, moves));
    }

    private Future<Void> writeNext(JobId id, boolean ends, boolean moves) {
        return leader.get(RecordKeys.openKey(id))
                .compose(open -> {
                    if (open == null) {
                        return Future.succeededFuture();
                    }
                    JobRecord job = JobRecordCodec.readJob(id, open.value(), open.revision());
                    StateClient.Txn txn = new StateClient.Txn().when(RecordKeys.openKey(id), open.revision());
                    boolean marked = job.status() == JobStatus.DONE;
                    if (marked || (ends && moves)) {
                        txn.delete(RecordKeys.openKey(id))
                                .put(RecordKeys.finalKey(id), JobRecordCodec.writeFinal(JobStatus.DONE, TASKS));
                    } else {
                        BitSet done = new BitSet();
                        done.set(0, ends ? TASKS : 1);
                        JobStatus status = ends ? JobStatus.DONE : JobStatus.RUNNING;
                        txn.put(
                                RecordKeys.openKey(id),
                                JobRecordCodec.writeJob(job.spec(), job.submittedMs(), status, done, 1, TASKS));
                    }
                    return leader.commit(txn).<Void>mapEmpty();
                })
                .otherwiseEmpty();
    }

    /** Does something to the state service on its own loop. */
    void trouble(Runnable what) throws Exception {
        await(on(serviceLoop, () -> {
            what.run();
            return Future.succeededFuture();
        }));
    }

    private static <T> Future<T> on(Context loop, Callable<Future<T>> work) {
        Promise<T> done = Promise.promise();
        loop.runOnContext(v -> {
            try {
                work.call().onComplete(done);
            } catch (Exception e) {
                done.fail(e);
            }
        });
        return done.future();
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        for (Vertx runtime : runtimes) {
            await(runtime.close());
        }
        await(leaderRuntime.close());
        await(serviceRuntime.close());
    }
}
