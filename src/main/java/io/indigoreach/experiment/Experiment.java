package io.indigoreach.experiment;

import io.indigoreach.checker.Breach;
import io.indigoreach.checker.Checker;
import io.indigoreach.checker.History;
import io.indigoreach.config.ConfigException;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.DepotCodec;
import io.indigoreach.emulator.Emulator;
import io.indigoreach.load.Arrivals;
import io.indigoreach.load.Users;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.scenario.Deployment;
import io.indigoreach.scenario.Fault;
import io.indigoreach.scenario.Scenario;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One experiment: real controllers against the emulator, users, faults, and a check of all that was seen. */
public final class Experiment {
    private static final Logger LOG = LoggerFactory.getLogger(Experiment.class);
    private static final Span SAMPLE = Span.seconds(1);

    /** How things stood at a time, counted from the start. */
    public record Sample(double atS, DepotCodec.Summary cloud) {}

    /** What an experiment brought. */
    public record Outcome(
            Scenario scenario,
            Moment start,
            History history,
            List<Breach> breaches,
            List<Users.Mine> jobs,
            List<Sample> samples,
            List<String> endedBySelf,
            double nodesCpuS,
            long reports,
            Span took,
            Span checking) {
        public double spent() {
            return samples.isEmpty() ? 0 : samples.get(samples.size() - 1).cloud.spent();
        }
    }

    /** Told now and then how it goes. */
    public interface Progress extends Consumer<String> {}

    private final Vertx vertx;
    private final Scenario scenario;
    private final Path home;
    private final Path directory;
    private final Progress progress;
    private final SteadyClock clock = new SteadyClock();
    private final History history = new History();
    private final List<Sample> samples = new ArrayList<>();
    private final Promise<Void> over = Promise.promise();
    private Emulator emulator;
    private Controllers controllers;
    private Users users;
    private Moment start;
    private int open;

    /**
     * @param home the program's directory
     * @param directory for settings and logs of the nodes
     */
    public Experiment(Vertx vertx, Scenario scenario, Path home, Path directory, Progress progress) {
        this.vertx = vertx;
        this.scenario = scenario;
        this.home = home;
        this.directory = directory;
        this.progress = progress;
    }

    /** Runs these jobs; the result comes when all are over, or when the time is. */
    public Future<Outcome> run(List<Arrivals.Arrival> arrivals) {
        return Emulator.start(vertx, scenario, Emulator.Place.LOOPBACK, history)
                .compose(started -> {
                    emulator = started;
                    start = started.startedAt();
                    try {
                        controllers = new Controllers(home, directory, history);
                        for (PlatformConfig node : emulator.nodes()) {
                            controllers.start(node);
                        }
                    } catch (IOException | ConfigException e) {
                        return Future.failedFuture(e);
                    }
                    return vertx.deployVerticle(new VerticleBase() {
                        @Override
                        public Future<?> start() {
                            begin(arrivals);
                            return Future.succeededFuture();
                        }
                    });
                })
                .compose(id -> over.future()
                        .compose(v -> sample())
                        .compose(v -> emulator.workers())
                        .compose(workers -> finish(workers[1])))
                .eventually(this::close);
    }

    private void begin(List<Arrivals.Arrival> arrivals) {
        users = new Users(
                vertx,
                clock,
                emulator.gate(),
                new SplittableRandom(scenario.seed() + 29),
                history,
                emulator.nodes().stream().map(PlatformConfig::node).toList(),
                emulator.nodes().stream().map(PlatformConfig::listen).toList());
        open = arrivals.size();
        for (Arrivals.Arrival a : arrivals) {
            at(
                    a.at(),
                    () -> emulator.upload(new DepotCodec.Upload(a.spec(), a.conduct()))
                            .compose(v -> users.run(a.spec(), a.cancelAfter()))
                            .onSuccess(done -> {
                                open--;
                                if (open == 0) {
                                    over.tryComplete();
                                }
                            }));
        }
        scenario.fault().forEach(this::plan);
        vertx.setPeriodic(SAMPLE.ms(), t -> sample());
        at(Span.seconds(scenario.lengthS() + scenario.drainS()), () -> over.tryComplete());
        if (arrivals.isEmpty()) {
            over.tryComplete();
        }
    }

    private void at(Span from, Runnable what) {
        vertx.setTimer(Math.max(1, start.plus(from).since(clock.now()).ms()), t -> what.run());
    }

    private void plan(Fault f) {
        if (f.kind() == Fault.Kind.KILL) {
            at(Span.seconds(f.atS()), () -> controllers.kill(f.to()));
            at(Span.seconds(f.endsS()), () -> attempt(() -> controllers.start(node(f.to()))));
        } else if (f.kind() == Fault.Kind.KILL_LEADERS) {
            at(Span.seconds(f.atS()), () -> leaderKiller(f).begin());
        } else if (f.kind() == Fault.Kind.ROLL_BACK) {
            at(Span.seconds(f.atS()), () -> emulator.rollBack(f.behind()));
        } else if (f.kind() == Fault.Kind.LOSE_KEYS) {
            Endpoint service = emulator.nodes().get(0).state();
            StateClient state =
                    new StateClient(new ServiceClient(vertx, service, 1), new ServiceClient(vertx, service, 1));
            RandomGenerator random = new SplittableRandom(scenario.seed() + 31);
            at(Span.seconds(f.atS()), () -> lose(state, f, null, random));
        } else if (f.kind() == Fault.Kind.PAUSE) {
            at(Span.seconds(f.atS()), () -> attempt(() -> controllers.pause(f.to(), true)));
            at(Span.seconds(f.endsS()), () -> attempt(() -> controllers.pause(f.to(), false)));
        }
    }

    private LeaderKiller leaderKiller(Fault fault) {
        return new LeaderKiller(
                vertx,
                new ServiceClient(vertx, emulator.nodes().get(0).state(), 1),
                fault,
                new SplittableRandom(scenario.seed() + 37),
                controllers::kill,
                name -> attempt(() -> controllers.start(node(name))));
    }

    /** By the service's own protocol: to the controllers it looks the same as a loss inside it. */
    private void lose(StateClient state, Fault f, String after, RandomGenerator random) {
        int most = Math.min(100, scenario.deployment().state().txnOps());
        state.list(f.to(), after, most)
                .compose(page -> {
                    StateClient.Txn loss = new StateClient.Txn();
                    page.entries().stream()
                            .filter(e -> random.nextDouble() < f.share())
                            .forEach(e -> loss.when(e.key(), e.revision()).delete(e.key()));
                    // What has changed meanwhile is tried again; what is spared is passed over.
                    return state.commit(loss)
                            .map(outcome -> outcome.executed()
                                    ? page.entries().isEmpty()
                                            ? null
                                            : page.entries()
                                                    .get(page.entries().size() - 1)
                                                    .key()
                                    : after == null ? "" : after);
                })
                .onSuccess(next -> {
                    if (next != null) {
                        lose(state, f, next.isEmpty() ? null : next, random);
                    }
                })
                .onFailure(
                        e -> at(clock.now().since(start).plus(Span.seconds(0.2)), () -> lose(state, f, after, random)));
    }

    /** Something done to a process. */
    private interface Attempt {
        void run() throws IOException;
    }

    private static void attempt(Attempt what) {
        try {
            what.run();
        } catch (IOException e) {
            LOG.error("a fault could not be brought about: {}", e.getMessage());
        }
    }

    private PlatformConfig node(String name) {
        return emulator.nodes().stream()
                .filter(n -> n.node().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private Future<Void> sample() {
        return emulator.summary().map(s -> {
            samples.add(new Sample(clock.now().since(start).seconds(), s));
            List<Users.Mine> jobs = users.jobs();
            long ended = jobs.stream().filter(Users.Mine::isOver).count();
            progress.accept(String.format(
                    java.util.Locale.ROOT,
                    "%6.1f s  jobs %d of %d over; machines %d up, %d " + "booting; %.4f spent",
                    clock.now().since(start).seconds(),
                    ended,
                    jobs.size(),
                    s.up(),
                    s.booting(),
                    s.spent()));
            return null;
        });
    }

    private Future<Outcome> finish(long reports) {
        double cpu = emulator.nodes().stream()
                .mapToDouble(n -> controllers.cpuS(n.node()))
                .sum();
        controllers.close();
        Span took = clock.now().since(start);
        List<String> ended = controllers.endedBySelf();
        List<Users.Mine> jobs = users.jobs();
        return vertx.executeBlocking(() -> {
            Moment began = clock.now();
            Deployment d = scenario.deployment();
            List<Breach> breaches = Checker.check(
                    history,
                    start,
                    new Checker.Limits(
                            Span.seconds(d.workers().cancelS()),
                            Span.seconds(d.workers().leaseS())),
                    d.team().stream().map(Deployment.Team::rules).toList());
            return new Outcome(
                    scenario,
                    start,
                    history,
                    breaches,
                    jobs,
                    List.copyOf(samples),
                    ended,
                    cpu,
                    reports,
                    took,
                    clock.now().since(began));
        });
    }

    private Future<Void> close() {
        if (controllers != null) {
            controllers.close();
        }
        Future<Void> closing = users == null ? Future.succeededFuture() : users.close();
        return closing.eventually(() -> emulator == null ? Future.succeededFuture() : emulator.close());
    }
}
