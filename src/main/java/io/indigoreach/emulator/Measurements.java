package io.indigoreach.emulator;

import com.sun.management.OperatingSystemMXBean;
import io.indigoreach.checker.History;
import io.indigoreach.cloud.CloudCodec;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.emulator.model.Gate;
import io.indigoreach.emulator.model.Mutation;
import io.indigoreach.emulator.model.StateModel;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.scenario.Deployment;
import io.indigoreach.scenario.TextForm;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateClient.Write;
import io.indigoreach.state.StateCodec;
import io.indigoreach.store.RecordStore;
import io.indigoreach.worker.WorkerCodec;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;

/** How much the emulator carries on this machine; for people, not for tests. */
public final class Measurements {
    private static final String HOST = "127.0.0.1";
    private static final StateLimits UNLIMITED = new StateLimits(1e9, 1e9, 8192, 16);
    private static final long KEYS = 100_000;

    private Measurements() {}

    private static <T> T await(Future<T> future) throws InterruptedException, ExecutionException {
        return future.toCompletionStage().toCompletableFuture().get();
    }

    private static Gate open(SteadyClock clock) {
        return new Gate(List.of(), new SplittableRandom(1), clock.now());
    }

    private static <T> T on(Vertx vertx, java.util.concurrent.Callable<Future<T>> what)
            throws InterruptedException, ExecutionException {
        Promise<T> done = Promise.promise();
        vertx.runOnContext(v -> {
            try {
                what.call().onComplete(done);
            } catch (Exception e) {
                done.fail(e);
            }
        });
        return await(done.future());
    }

    /** Transactions a second against a server that does nothing with the same bodies, in turn, each for {@code seconds}. */
    public static List<String> state(int connections, int seconds, Path data) throws Exception {
        SteadyClock clock = new SteadyClock();
        Vertx vertx = Vertx.vertx();
        try {
            int bare = await(vertx.createHttpServer()
                            .requestHandler(r -> r.body()
                                    .onSuccess(body -> r.response()
                                            .putHeader("Content-Type", "application/msgpack")
                                            .end(MessagePackFormat.write(StateCodec.writeRevision(1)))))
                            .listen(0, HOST))
                    .actualPort();
            StateServer[] servers = new StateServer[2];
            int[] ports = new int[2];
            for (int i = 0; i < 2; i++) {
                int n = i;
                ports[i] = on(vertx, () -> {
                    servers[n] = new StateServer(
                            vertx,
                            clock,
                            UNLIMITED,
                            open(clock),
                            new SplittableRandom(1),
                            new History.Discarded(),
                            n == 0 ? null : data,
                            e -> {});
                    return servers[n].listen("node-0", HOST, 0);
                });
            }
            List<String> lines = new ArrayList<>();
            double[] rates = new double[3];
            for (int round = 0; round < 3; round++) {
                rates[0] = rate(vertx, bare, connections, seconds);
                rates[1] = rate(vertx, ports[0], connections, seconds);
                rates[2] = rate(vertx, ports[1], connections, seconds);
                lines.add(String.format(
                        Locale.ROOT,
                        "round %d, %d connections, %d s each: bare server %.0f a second; in "
                                + "memory %.0f, ratio %.2f; on disk %.0f, ratio %.2f",
                        round + 1,
                        connections,
                        seconds,
                        rates[0],
                        rates[1],
                        rates[1] / rates[0],
                        rates[2],
                        rates[2] / rates[0]));
            }
            return lines;
        } finally {
            await(vertx.close());
        }
    }

    /** Transactions a second of a few connections while very many others are open and silent. */
    public static String silent(int count, int seconds) throws Exception {
        SteadyClock clock = new SteadyClock();
        Vertx vertx = Vertx.vertx();
        Vertx others = Vertx.vertx();
        try {
            int port = on(
                    vertx,
                    () -> new StateServer(
                                    vertx,
                                    clock,
                                    UNLIMITED,
                                    open(clock),
                                    new SplittableRandom(1),
                                    new History.Discarded(),
                                    null,
                                    e -> {})
                            .listen("node-0", HOST, 0));
            double before = rate(others, port, 8, seconds);
            NetClient client = others.createNetClient();
            int open = 0;
            for (; open < count; open += 100) {
                List<Future<NetSocket>> some = new ArrayList<>();
                for (int i = 0; i < 100; i++) {
                    some.add(client.connect(port, HOST));
                }
                await(Future.all(some));
            }
            return String.format(
                    Locale.ROOT,
                    "%.0f transactions a second over 8 connections; %.0f with %d silent ones " + "besides",
                    before,
                    rate(others, port, 8, seconds),
                    open);
        } finally {
            await(others.close());
            await(vertx.close());
        }
    }

    private static double rate(Vertx vertx, int port, int connections, int seconds) throws Exception {
        AtomicLong done = new AtomicLong();
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        List<Future<Void>> all = new ArrayList<>();
        for (int c = 0; c < connections; c++) {
            HttpClient client = vertx.createHttpClient(
                    new HttpClientOptions().setDefaultHost(HOST).setDefaultPort(port),
                    new PoolOptions().setHttp1MaxSize(1));
            Promise<Void> over = Promise.promise();
            all.add(over.future().eventually(client::close));
            post(client, c, end, done, over);
        }
        await(Future.all(all));
        return (double) done.get() / seconds;
    }

    private static void post(HttpClient client, int n, long end, AtomicLong done, Promise<Void> over) {
        if (System.nanoTime() >= end) {
            over.complete();
            return;
        }
        Buffer body = MessagePackFormat.write(StateCodec.writeTxn(new StateClient.Txn()
                .when("absent", Revision.ABSENT)
                .put(
                        "j/run-" + n,
                        MessagePackFormat.map(
                                "class", "c", "team", "t", "tasks", 16, "status", "RUNNING", "done", 3))));
        client.request(HttpMethod.POST, StateCodec.TXN)
                .compose(r -> r.send(body))
                .compose(r -> r.body())
                .onSuccess(b -> {
                    done.incrementAndGet();
                    post(client, n, end, done, over);
                })
                .onFailure(over::tryFail);
    }

    /** Workers of one process, reporting to a server that only says yes; processor time is of both. */
    public static String workers(int count, int seconds) throws Exception {
        SteadyClock clock = new SteadyClock();
        Vertx vertx = Vertx.vertx();
        try {
            Buffer yes = MessagePackFormat.write(WorkerCodec.writeResponse(new FencingToken(1), List.of()));
            int port = await(vertx.createHttpServer()
                            .requestHandler(
                                    r -> r.body().onSuccess(body -> r.response().end(yes)))
                            .listen(0, HOST))
                    .actualPort();
            Deployment d = deployment(count);
            WorkerPool[] pool = new WorkerPool[1];
            CloudServer[] cloud = new CloudServer[1];
            on(vertx, () -> {
                pool[0] = new WorkerPool(
                        vertx,
                        clock,
                        open(clock),
                        d.workers(),
                        new Depot(1),
                        new SplittableRandom(2),
                        new History.Discarded(),
                        HOST,
                        List.of(new WorkerPool.Node("node-0", new Endpoint(HOST, port))));
                cloud[0] = new CloudServer(vertx, clock, d, open(clock), new SplittableRandom(3), 0, pool[0]::on);
                for (int rented = 0; rented < count; rented += CloudCodec.MAX_MACHINES_PER_RENTAL) {
                    cloud[0].model()
                            .rent(
                                    clock.now(),
                                    new CloudCodec.RentalRequest(
                                            "r-" + rented,
                                            new MachinePool("m", "z", false),
                                            CloudCodec.MAX_MACHINES_PER_RENTAL));
                }
                return vertx.timer(8, java.util.concurrent.TimeUnit.SECONDS);
            });
            OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long cpu = system.getProcessCpuTime();
            long before = pool[0].reports();
            Moment from = clock.now();
            await(vertx.timer(seconds, java.util.concurrent.TimeUnit.SECONDS));
            double took = clock.now().since(from).seconds();
            double reports = (pool[0].reports() - before) / took;
            return String.format(
                    Locale.ROOT,
                    "%d workers that report every %.0f s: %.0f reports a second of %.0f due, %.2f "
                            + "cores with the server that answers",
                    pool[0].size(),
                    d.workers().reportS(),
                    reports,
                    pool[0].size() / d.workers().reportS(),
                    (system.getProcessCpuTime() - cpu) / 1e9 / took);
        } finally {
            await(vertx.close());
        }
    }

    private static Deployment deployment(int machines) throws ConfigException {
        return TextForm.parse("measurement", """
                zones: "z"
                cloud { rps: 100000 boot_late: 0 boot_never: 0 }
                machine_type { name: "m" cores: 4 ram_gb: 16 price: 1 boot_s: 3 }
                capacity { type: "m" zone: "z" count: %d }
                team { name: "t" }
                """.formatted(machines), Deployment.class);
    }

    /** What a restart takes after so many changes of 100,000 keys: through the whole log, and through a base. */
    public static List<String> recovery(long changes, Path directory) throws IOException {
        List<String> lines = new ArrayList<>();
        StateModel[] model = new StateModel[1];
        long began = System.nanoTime();
        try (RecordStore store = new RecordStore(directory, r -> {})) {
            SplittableRandom random = new SplittableRandom(1);
            for (long n = 1; n <= changes; n++) {
                store.append(DiskDurability.write(new Mutation(
                        n,
                        List.of(new Write(
                                "j/run-" + random.nextLong(KEYS),
                                MessagePackFormat.map(
                                        "class", "tally", "team", "t", "tasks", 16L, "status", "RUNNING", "done",
                                        n % 16),
                                0)),
                        0,
                        0,
                        0)));
            }
        }
        lines.add(
                String.format(Locale.ROOT, "%d changes written in %.1f s", changes, (System.nanoTime() - began) / 1e9));
        lines.add("through the log:  " + reopened(directory, model));
        try (RecordStore store = new RecordStore(directory, r -> {})) {
            long n = store.beginLog();
            store.writeBase(
                    n, model[0].contents().stream().map(DiskDurability::write).iterator());
        }
        lines.add("through a base:   " + reopened(directory, model));
        return lines;
    }

    private static String reopened(Path directory, StateModel[] model) throws IOException {
        Moment now = new SteadyClock().now();
        long began = System.nanoTime();
        model[0] = new StateModel(UNLIMITED, new SplittableRandom(1), now, change -> {});
        try (RecordStore store = new RecordStore(directory, r -> model[0].restore(DiskDurability.read(r), now))) {
            double took = (System.nanoTime() - began) / 1e9;
            long bytes = 0;
            try (var files = Files.list(directory)) {
                for (Path p : files.toList()) {
                    bytes += Files.size(p);
                }
            }
            return String.format(
                    Locale.ROOT,
                    "%d keys at revision %d in %.2f s, %.1f MiB on disk",
                    model[0].size(),
                    model[0].revision(),
                    took,
                    bytes / 1048576.0);
        }
    }
}
