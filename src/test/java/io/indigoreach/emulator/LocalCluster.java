package io.indigoreach.emulator;

import io.indigoreach.checker.Breach;
import io.indigoreach.checker.Checker;
import io.indigoreach.checker.Event;
import io.indigoreach.checker.History;
import io.indigoreach.cluster.Node;
import io.indigoreach.cluster.PartRegistry;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.config.SettingsFile;
import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.load.Users;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Parts;
import io.indigoreach.scenario.Deployment;
import io.indigoreach.scenario.Scenario;
import io.indigoreach.scenario.TextForm;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** The emulator with controllers and users in this process, for tests; times are short, but proportioned as usual. */
final class LocalCluster implements AutoCloseable {
    static final long PATIENCE_S = 60;
    private static final long LISTENING_POLL_MS = 5;
    private static final String SCENARIO = """
            name: "test"
            seed: 5
            deployment {
              controllers: %d
              zones: "a"
              zones: "b"
              state { rps: 400 write_rps: 200 value_kb: 8 }
              cloud { rps: 20 list_lag_s: 0.3 boot_never: 0 boot_late: 0 }
              workers { report_s: 0.5 lease_s: 3 cancel_s: %s }
              spot { per_hour: 0 }
              machine_type { name: "quad" cores: 4 ram_gb: 16 price: 1 spot_price: 0.3 boot_s: 0.4 fetch_gb_per_s: 10 }
              capacity { type: "quad" zone: "a" count: 6 spot: 6 }
              capacity { type: "quad" zone: "b" count: 6 spot: 6 }
              team { name: "t" }
            }
            %s
            """;

    final Vertx vertx = Vertx.vertx();
    final SteadyClock clock = new SteadyClock();
    final History history = new History();
    final Scenario scenario;
    final Emulator emulator;
    private final PortBlock ports;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Vertx> runtimes = new ArrayList<>();
    private final Set<Integer> stopped = new HashSet<>();
    private Users users;
    /** The operators' settings of every controller. */
    Settings settings = Settings.defaults();

    LocalCluster(int controllers, String faults) throws Exception {
        this(controllers, 9, faults);
    }

    LocalCluster(int controllers, double cancelS, String faults) throws Exception {
        scenario = TextForm.parse("test", SCENARIO.formatted(controllers, cancelS, faults), Scenario.class);
        ports = PortBlock.acquire();
        try {
            emulator = await(Emulator.start(vertx, scenario, ports.place(), history));
        } catch (Exception e) {
            closeAfter(e, () -> await(vertx.close()), ports);
            throw e;
        }
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
    }

    /** With operators' settings, as in their file. */
    LocalCluster with(String text) throws ConfigException {
        settings = SettingsFile.parse("test", text);
        return this;
    }

    /** Starts every controller as it is; the cluster is closed if one of them does not start. */
    LocalCluster start() throws Exception {
        try {
            for (PlatformConfig c : emulator.nodes()) {
                start(c);
            }
        } catch (Exception e) {
            closeAfter(e, this);
            throw e;
        }
        return this;
    }

    private static void closeAfter(Exception cause, AutoCloseable... resources) {
        for (AutoCloseable resource : resources) {
            try {
                resource.close();
            } catch (Exception e) {
                cause.addSuppressed(e);
            }
        }
    }

    /** Starts a controller with settings of the test's; the result is its port. */
    int start(PlatformConfig config) throws Exception {
        return start(config, PartRegistry.enabled(settings));
    }

    /** The same with parts beside the jobs. */
    int start(PlatformConfig config, List<Parts.Definition> kinds) throws Exception {
        Vertx runtime = Vertx.vertx();
        Promise<Integer> port = Promise.promise();
        history.add(new Event.Process(clock.now(), config.node(), true));
        runtime.runOnContext(v -> {
            try {
                Node node = new Node(runtime, config, settings, kinds);
                nodes.add(node);
                runtimes.add(runtime);
                node.start().onComplete(port);
            } catch (ConfigException e) {
                port.fail(e);
            }
        });
        int listening = await(port.future());
        awaitListening(config.peerListen());
        return listening;
    }

    /** A controller opens its port for the other controllers beside that for users, and does not wait for it. */
    private static void awaitListening(Endpoint endpoint) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!isListening(endpoint)) {
            if (System.nanoTime() > end) {
                throw new TimeoutException("nobody listens on " + endpoint);
            }
            Thread.sleep(LISTENING_POLL_MS);
        }
    }

    private static boolean isListening(Endpoint endpoint) throws IOException {
        try (Socket socket = new Socket(endpoint.host(), endpoint.port())) {
            return socket.isConnected();
        } catch (ConnectException e) {
            return false;
        }
    }

    /** Ends the n-th controller that was started, connections and all. */
    void stop(int n) throws Exception {
        if (!stopped.add(n)) {
            return;
        }
        // Renewals run on a loop of their own, which ends with the process too: else its lease would live on for 10 s.
        Promise<Void> stopped = Promise.promise();
        runtimes.get(n).runOnContext(v -> nodes.get(n).stop().onComplete(stopped));
        await(stopped.future());
        await(runtimes.get(n).close());
    }

    Users users() {
        if (users == null) {
            users = new Users(
                    vertx,
                    clock,
                    emulator.gate(),
                    new SplittableRandom(3),
                    history,
                    emulator.nodes().stream().map(PlatformConfig::node).toList(),
                    emulator.nodes().stream().map(PlatformConfig::listen).toList());
        }
        return users;
    }

    static JobSpec job(int n, int tasks, double runS) {
        return job(n, tasks, runS, spec -> spec);
    }

    static JobSpec job(int n, int tasks, double runS, UnaryOperator<JobSpec> change) {
        return change.apply(JobSpec.builder(new JobId("run-" + n))
                .jobClass("c")
                .team("t")
                .kind(JobKind.ARRAY)
                .urgency(Urgency.STANDARD)
                .tasks(tasks)
                .demand(new Demand(1, 0, 1))
                .image("image")
                .imageGb(0.5)
                .spotAllowed()
                .estimate(Span.seconds(runS))
                .build());
    }

    /** Runs a job to its end, with polls of every half second. */
    Future<Users.Mine> run(JobSpec spec, double cancelAfterS) {
        Promise<Users.Mine> over = Promise.promise();
        emulator.upload(new DepotCodec.Upload(spec, new Depot.Conduct(spec.estimate(), 0.1, false)))
                .onSuccess(v -> vertx.runOnContext(
                        c -> users().run(spec, cancelAfterS <= 0 ? null : Span.seconds(cancelAfterS), Span.seconds(0.5))
                                .onComplete(over)));
        return over.future();
    }

    /** Waits until so many events of a kind were seen. */
    void awaitEvents(Predicate<Event> kind, int count) throws Exception {
        Promise<Void> seen = Promise.promise();
        vertx.setPeriodic(50, t -> {
            if (history.events().stream().filter(kind).count() >= count) {
                vertx.cancelTimer(t);
                seen.tryComplete();
            }
        });
        await(seen.future());
    }

    List<Breach> breaches() {
        Deployment d = scenario.deployment();
        return Checker.check(
                history,
                emulator.startedAt(),
                new Checker.Limits(
                        Span.seconds(d.workers().cancelS()),
                        Span.seconds(d.workers().leaseS())),
                d.team().stream().map(Deployment.Team::rules).toList());
    }

    /** The same settings with other addresses: where it listens for users and workers, and of its state service. */
    static PlatformConfig with(PlatformConfig c, Endpoint listen, Endpoint state) {
        return new PlatformConfig(
                c.node(),
                c.zone(),
                listen,
                c.peerListen(),
                c.peers(),
                c.cloud(),
                state,
                c.zones(),
                c.maxClockError(),
                c.teams(),
                c.objectives(),
                c.safetyTimes(),
                c.stateLimits(),
                c.cloudLimits(),
                c.maxConnections());
    }

    @Override
    public void close() throws Exception {
        try (ports) {
            for (int n = 0; n < runtimes.size(); n++) {
                stop(n);
            }
            if (users != null) {
                await(users.close());
            }
            await(emulator.close());
            await(vertx.close());
        }
    }
}
