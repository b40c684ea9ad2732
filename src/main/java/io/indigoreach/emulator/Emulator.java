package io.indigoreach.emulator;

import io.indigoreach.checker.Event;
import io.indigoreach.checker.History;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.SafetyTimes;
import io.indigoreach.emulator.model.Depot;
import io.indigoreach.emulator.model.Gate;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.scenario.Deployment;
import io.indigoreach.scenario.Fault;
import io.indigoreach.scenario.Scenario;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** All that a controller talks to, in one process: state service, cloud, workers, and the ways between controllers. */
public final class Emulator {
    /**
     * Where things are to listen, and where the state service keeps its contents.
     *
     * @param firstPort the first of the ports in a row that are used, or 0 for free ones
     * @param data a directory, or null to keep the contents of state service and depot in memory only
     */
    public record Place(String host, int firstPort, Path data) {
        public static final Place LOOPBACK = new Place("127.0.0.1", 0, null);
    }

    private static final int CONNECTIONS = 10_000;
    /** Machines of one start, at most: the next start names its own after these. */
    private static final long NAMES = 1_000_000;

    private final Vertx vertx;
    private final Scenario scenario;
    private final Place place;
    private final History history;
    private final SteadyClock clock = new SteadyClock();
    private final Moment start = clock.now();
    private final SplittableRandom random;
    private final Gate gate;
    private final Depot depot;
    private final List<PlatformConfig> nodes = new ArrayList<>();
    private final Promise<Void> broken = Promise.promise();
    private final List<Relay> relays = new ArrayList<>();
    private Context cloudContext;
    private Context stateContext;
    private StateLimits limits;
    private StateServer state;
    private CloudServer cloud;
    private WorkerPool workers;
    private GatedListener depotListener;
    private DepotBook book;
    private Endpoint depotEndpoint;

    private Emulator(Vertx vertx, Scenario scenario, Place place, History history) {
        this.vertx = vertx;
        this.scenario = scenario;
        this.place = place;
        this.history = history;
        this.random = new SplittableRandom(scenario.seed());
        this.gate = new Gate(scenario.fault(), random.split(), start);
        this.depot = new Depot(scenario.seed());
    }

    /** Opens everything; what happens goes into the history. */
    public static Future<Emulator> start(Vertx vertx, Scenario scenario, Place place, History history) {
        Emulator emulator = new Emulator(vertx, scenario, place, history);
        return emulator.open().map(emulator);
    }

    /** Each controller's settings, as the platform hands them over. */
    public List<PlatformConfig> nodes() {
        return nodes;
    }

    /** Where users upload their jobs' descriptions. */
    public Endpoint depotEndpoint() {
        return depotEndpoint;
    }

    public Gate gate() {
        return gate;
    }

    /** When the timeline of faults began. */
    public Moment startedAt() {
        return start;
    }

    /** Fails when the state service's contents cannot be kept any more. */
    public Future<Void> broken() {
        return broken.future();
    }

    /** How the cloud stands. */
    public Future<DepotCodec.Summary> summary() {
        return on(cloudContext, this::summaryNow);
    }

    /** Workers that run, and reports that they sent. */
    public Future<long[]> workers() {
        return on(cloudContext, () -> new long[] {workers.size(), workers.reports()});
    }

    /** Uploads a job's description, as its user does. */
    public Future<Void> upload(DepotCodec.Upload upload) {
        return on(cloudContext, () -> {
            depot.upload(upload.spec(), upload.conduct());
            return null;
        });
    }

    private DepotCodec.Summary summaryNow() {
        int[] n = cloud.model().counts();
        return new DepotCodec.Summary(n[0], n[1], n[2], cloud.model().spent(clock.now()));
    }

    /** The state service's contents of so many revisions ago come back, and are all there was. */
    public Future<Void> rollBack(long revisions) {
        return on(stateContext, () -> {
            state.model().rollBack(revisions, clock.now());
            return null;
        });
    }

    /** Does something on an event loop; the result comes back on the caller's own. */
    private static <T> Future<T> on(Context context, Callable<T> what) {
        Promise<T> done = Promise.promise();
        Context caller = Vertx.currentContext();
        context.runOnContext(v -> {
            Future<T> result;
            try {
                result = Future.succeededFuture(what.call());
            } catch (Exception e) {
                result = Future.failedFuture(e);
            }
            Future<T> known = result;
            if (caller == null) {
                known.onComplete(done);
            } else {
                caller.runOnContext(c -> known.onComplete(done));
            }
        });
        return done.future();
    }

    private Future<Void> open() {
        Deployment d = scenario.deployment();
        int n = d.controllers();
        int[] ports;
        try {
            ports = ports(4 * n + 1);
            book = place.data() == null
                    ? null
                    : new DepotBook(vertx, place.data().resolve("depot"), depot);
        } catch (IOException e) {
            return Future.failedFuture(e);
        }
        return openState(ports)
                .compose(state -> openCloud(ports)
                        .compose(cloud -> openRelays(ports).map(ways -> {
                            for (int i = 0; i < n; i++) {
                                nodes.add(node(i, ports, state.get(i), cloud.get(i), ways.get(i)));
                            }
                            return null;
                        })));
    }

    private Future<List<Integer>> openState(int[] ports) {
        return deploy(context -> {
            stateContext = context;
            limits = scenario.deployment().state().limits();
            try {
                state = new StateServer(
                        vertx,
                        clock,
                        limits,
                        gate,
                        random.split(),
                        history,
                        place.data() == null ? null : place.data().resolve("state"),
                        broken::tryFail);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            scenario.fault().stream()
                    .filter(f -> f.kind() == Fault.Kind.STATE_LIMITS)
                    .forEach(this::planLimits);
            return each(i -> state.listen(Deployment.node(i), place.host(), ports[2 + 4 * i]));
        });
    }

    private Future<List<Integer>> openCloud(int[] ports) {
        return deploy(context -> {
            cloudContext = context;
            List<WorkerPool.Node> known = new ArrayList<>();
            for (int i = 0; i < scenario.deployment().controllers(); i++) {
                known.add(new WorkerPool.Node(Deployment.node(i), new Endpoint(place.host(), ports[4 * i])));
            }
            workers = new WorkerPool(
                    vertx,
                    clock,
                    gate,
                    scenario.deployment().workers(),
                    depot,
                    random.split(),
                    history,
                    place.host(),
                    known);
            cloud = new CloudServer(
                    vertx,
                    clock,
                    scenario.deployment(),
                    gate,
                    random.split(),
                    book == null ? 0 : book.startsBefore() * NAMES,
                    workers::on);
            depotListener = new GatedListener(vertx, clock, gate, "users", "depot", this::serveDepot);
            scenario.fault().forEach(this::plan);
            return depotListener
                    .listen(place.host(), ports[ports.length - 1])
                    .onSuccess(port -> depotEndpoint = new Endpoint(place.host(), port))
                    .compose(p -> each(i -> cloud.listen(Deployment.node(i), place.host(), ports[3 + 4 * i])));
        });
    }

    /** The ways from each node to the others; relays only where something may go wrong between nodes. */
    private Future<List<List<Endpoint>>> openRelays(int[] ports) {
        int n = scenario.deployment().controllers();
        boolean direct = scenario.fault().stream()
                .noneMatch(f -> f.isOnMessages()
                        && (f.to().isEmpty() || f.to().startsWith("node-"))
                        && (f.from().isEmpty() || f.from().startsWith("node-")));
        List<Future<List<Endpoint>>> all = new ArrayList<>();
        for (int from = 0; from < n; from++) {
            int a = from;
            all.add(each(b -> {
                Endpoint target = new Endpoint(place.host(), ports[1 + 4 * b]);
                if (direct || a == b) {
                    return Future.succeededFuture(target);
                }
                Relay relay = new Relay(vertx, clock, gate, Deployment.node(a), Deployment.node(b), target);
                relays.add(relay);
                return relay.listen(place.host()).map(port -> new Endpoint(place.host(), port));
            }));
        }
        return Future.all(all).map(done -> done.list());
    }

    private PlatformConfig node(int i, int[] ports, int state, int cloud, List<Endpoint> ways) {
        Deployment d = scenario.deployment();
        List<PlatformConfig.Peer> peers = new ArrayList<>();
        for (int p = 0; p < d.controllers(); p++) {
            if (p != i) {
                peers.add(new PlatformConfig.Peer(Deployment.node(p), d.zoneOf(p), ways.get(p)));
            }
        }
        return new PlatformConfig(
                Deployment.node(i),
                d.zoneOf(i),
                new Endpoint(place.host(), ports[4 * i]),
                new Endpoint(place.host(), ports[1 + 4 * i]),
                peers,
                new Endpoint(place.host(), cloud),
                new Endpoint(place.host(), state),
                d.zones(),
                new Span((long) d.skewMs()),
                d.team().stream().map(Deployment.Team::rules).toList(),
                d.aim().stream()
                        .map(a -> new PlatformConfig.Objective(
                                a.kind(), a.jobClass(), Span.seconds(a.withinS()), a.share()))
                        .toList(),
                new SafetyTimes(
                        Span.seconds(d.workers().leaseS()),
                        Span.seconds(d.workers().reportS()),
                        Span.seconds(d.workers().cancelS()),
                        Span.seconds(d.cloud().listLagS())),
                scenario.limitsToCome(),
                d.cloud().limits(),
                CONNECTIONS);
    }

    private void plan(Fault f) {
        Span in = start.plus(Span.seconds(f.atS())).since(clock.now());
        vertx.setTimer(Math.max(1, in.ms()), t -> {
            Moment now = clock.now();
            history.add(new Event.Trouble(
                    now, f.kind().name().toLowerCase(java.util.Locale.ROOT) + " " + f.from() + " " + f.to()));
            switch (f.kind()) {
                case TAKE -> cloud.model().take(now, f.share(), f.noticeS());
                case DIE -> cloud.model().die(now, f.share());
                case HANG -> workers.hang(f.share(), now.plus(Span.seconds(f.forS())));
                case DEAFEN -> workers.deafen(f.share(), now.plus(Span.seconds(f.forS())));
                case SPOIL -> workers.spoil(f.share());
                case NO_BOOT -> {
                    cloud.model().noBoot(true);
                    vertx.setTimer(
                            Math.max(1, Span.seconds(f.forS()).ms()),
                            over -> cloud.model().noBoot(false));
                }
                default -> {}
            }
            cloud.advance();
        });
    }

    private void planLimits(Fault f) {
        Span in = start.plus(Span.seconds(f.atS())).since(clock.now());
        vertx.setTimer(Math.max(1, in.ms()), t -> {
            history.add(new Event.Trouble(clock.now(), "state_limits"));
            limits = f.after(limits);
            state.model().limit(limits, clock.now());
        });
    }

    private void serveDepot(GatedListener.Request request, Consumer<ServiceResponse> reply) {
        if (request.path().equals(DepotCodec.UPLOAD)) {
            DepotCodec.Upload upload = DepotCodec.read(request.body());
            depot.upload(upload.spec(), upload.conduct());
            Future<Void> kept = book == null ? Future.succeededFuture() : book.keep(upload);
            kept.onSuccess(v -> reply.accept(new ServiceResponse(200, new Fields(MessagePackFormat.map()))))
                    .onFailure(broken::tryFail);
        } else if (request.path().equals(DepotCodec.SUMMARY)) {
            reply.accept(new ServiceResponse(200, new Fields(DepotCodec.write(summaryNow()))));
        } else {
            reply.accept(new ServiceResponse(404, new Fields(MessagePackFormat.map("error", "no such path"))));
        }
    }

    /** Something to be opened on an event loop of its own. */
    private interface Opening<T> {
        Future<T> on(Context context);
    }

    private <T> Future<T> deploy(Opening<T> opening) {
        Promise<T> opened = Promise.promise();
        return vertx.deployVerticle(new VerticleBase() {
                    @Override
                    public Future<?> start() {
                        return opening.on(context).onComplete(opened);
                    }
                })
                .compose(id -> opened.future());
    }

    private <T> Future<List<T>> each(java.util.function.IntFunction<Future<T>> what) {
        List<Future<T>> all = new ArrayList<>();
        for (int i = 0; i < scenario.deployment().controllers(); i++) {
            all.add(what.apply(i));
        }
        return Future.all(all).map(done -> done.list());
    }

    /** The nodes' ports must be known before anything listens, as everybody is told of them. */
    private int[] ports(int n) throws IOException {
        return place.firstPort() > 0
                ? IntStream.range(place.firstPort(), place.firstPort() + n).toArray()
                : Ports.free(place.host(), n);
    }

    /** Stops in order: the workers, the cloud, then the state service once all it was told is kept. */
    public Future<Void> close() {
        return on(cloudContext, () -> workers.close())
                .compose(f -> f)
                .compose(v -> cloud.close())
                .compose(v -> depotListener.close())
                .compose(v ->
                        Future.join(relays.stream().map(Relay::close).toList()).<Void>mapEmpty())
                .compose(v -> book == null ? Future.succeededFuture() : book.close())
                .compose(v -> state.close());
    }
}
