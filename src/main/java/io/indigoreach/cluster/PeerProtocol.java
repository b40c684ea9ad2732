package io.indigoreach.cluster;

import io.indigoreach.api.JobService;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.leadership.IsolationCheck;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.records.RecordCache;
import io.indigoreach.net.EventLoopMonitor;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.PeriodicTask;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.indigoreach.state.RememberedStateCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether this node alone is without the state service. A node cannot tell an outage from a refusal that only it gets,
 * so it asks the others ({@link IsolationCheck}). Refused alone or cut off, it is not ready and users are sent elsewhere; in an
 * outage it stays ready, as being taken out and back in would cost more than the outage does. A leader that is refused alone
 * stands aside, and asks another node to remove its key, so that its lease need not run out first.
 */
final class PeerProtocol {
    private static final Logger LOG = LoggerFactory.getLogger(PeerProtocol.class);
    private static final Span PERIOD = Span.seconds(1);
    private static final Span ANSWER_TIMEOUT = Span.seconds(2);
    private static final String STANDING_PATH = "/standing";
    private static final String HANDOVER_PATH = "/handover";
    private static final String LOSS_PATH = "/loss";
    private static final String REMEMBERED_PATH = "/remains";
    private static final String PLEDGE_PATH = "/pledge";
    private static final String KNOWS_PATH = "/knows";
    private static final String RECALL_PATH = "/recall";
    /** A poll waits no longer than this for the others to say whether they know a job. */
    private static final Span RECALL_TIMEOUT = Span.seconds(0.7);

    private final SteadyClock clock;
    private final EventLoopMonitor loopMonitor;
    private final StateClient state;
    private final PlatformConfig config;
    private final Controller controller;
    private final JobService jobs;
    private final RecordCache copies;
    private final List<ServiceClient> peers = new ArrayList<>();
    private final HttpServer server;
    private final PeriodicTask checkTask;
    private Moment lastServedAt;
    private final IsolationCheck isolation = new IsolationCheck();
    private IsolationCheck.Verdict lastVerdict = IsolationCheck.Verdict.TOGETHER;
    /** The state service did not answer this node when it was last asked. */
    private boolean unserved;

    PeerProtocol(
            Vertx vertx,
            SteadyClock clock,
            EventLoopMonitor loopMonitor,
            StateClient state,
            PlatformConfig config,
            Controller controller,
            JobService jobs,
            RecordCache copies) {
        this.copies = copies;
        this.loopMonitor = loopMonitor;
        this.jobs = jobs;
        this.clock = clock;
        this.controller = controller;
        this.state = state;
        this.config = config;
        this.lastServedAt = clock.now();
        for (PlatformConfig.Peer peer : config.peers()) {
            peers.add(new ServiceClient(vertx, peer.endpoint(), 1));
        }
        this.server = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(30));
        server.requestHandler(this::answer);
        this.checkTask = new PeriodicTask(vertx, "standing", PERIOD, this::step);
    }

    void start() {
        server.listen(config.peerListen().port(), config.peerListen().host())
                .onFailure(e ->
                        LOG.error("cannot listen for the other nodes on {}: {}", config.peerListen(), e.getMessage()));
        checkTask.start();
    }

    Future<Void> stop() {
        checkTask.cancel();
        return server.close();
    }

    /** Others are served by the state service while this node is not, or nobody answers it at all: users are better off elsewhere. */
    boolean isOutOfService() {
        return isolation.isOutOfService();
    }

    private void answer(HttpServerRequest request) {
        if (HANDOVER_PATH.equals(request.path())) {
            request.body()
                    .map(body -> new Revision(MessagePackFormat.readMap(body).whole("stamp")))
                    .compose(controller::removeKey)
                    .onComplete(done -> request.response()
                            .setStatusCode(done.succeeded() ? 200 : 503)
                            .end(MessagePackFormat.write(Map.of())));
        } else if (PLEDGE_PATH.equals(request.path())) {
            request.body()
                    .map(body -> answerPledge(PeerPromises.asked(MessagePackFormat.readMap(body))))
                    .onSuccess(answer -> request.response().end(MessagePackFormat.write(answer)))
                    .onFailure(e -> {
                        LOG.warn("a question for a pledge cannot be read: {}", e.getMessage());
                        request.response().setStatusCode(400).end(MessagePackFormat.write(Map.of()));
                    });
        } else if (LOSS_PATH.equals(request.path())) {
            request.body()
                    .onSuccess(body ->
                            state.toldOfLoss(MessagePackFormat.readMap(body).whole("era")))
                    .onComplete(done -> request.response().end(MessagePackFormat.write(Map.of())));
        } else if (REMEMBERED_PATH.equals(request.path()) && request.getParam("part") != null) {
            request.response()
                    .end(MessagePackFormat.write(
                            RememberedStateCodec.write(ownMemory(), Integer.parseInt(request.getParam("part")))));
        } else if (RECALL_PATH.equals(request.path()) && JobId.isValid(request.getParam("id"))) {
            request.response()
                    .end(MessagePackFormat.write(
                            RememberedStateCodec.write(ownMemory(new JobId(request.getParam("id"))), 0)));
        } else if (KNOWS_PATH.equals(request.path())
                && request.getParam("id") != null
                && JobId.isValid(request.getParam("id"))) {
            JobId id = new JobId(request.getParam("id"));
            request.response()
                    .end(MessagePackFormat.write(
                            MessagePackFormat.map("known", jobs.knows(id) || controller.hasOpen(id))));
        } else {
            request.response()
                    .setStatusCode(STANDING_PATH.equals(request.path()) ? 200 : 404)
                    .end(MessagePackFormat.write(
                            MessagePackFormat.map("served", isServed(), "leads", controller.leads())));
        }
    }

    /** By the last question. Within a second of an outage's begin it is not known yet, so a leader asks twice. */
    private boolean isServed() {
        return !unserved && clock.now().since(lastServedAt).compareTo(ANSWER_TIMEOUT) < 0;
    }

    /** Long enough that in an outage the other nodes know of it too, and not because this node itself stood still. */
    private boolean isSurelyUnserved() {
        return loopMonitor.hasRunWithoutPauseFor(ANSWER_TIMEOUT.times(2))
                && clock.now().since(lastServedAt).compareTo(ANSWER_TIMEOUT.times(2)) >= 0;
    }

    private Future<Span> step() {
        return state.check()
                .map(v -> {
                    lastServedAt = clock.now();
                    return false;
                })
                .onComplete(r -> unserved = r.failed())
                .recover(e -> isSurelyUnserved()
                        ? askPeers("served", null).map(answers -> onVerdict(isolation.unserved(answers, clock.now())))
                        : Future.succeededFuture(false))
                .map(alone -> {
                    if (!unserved && isolation.served()) {
                        lastVerdict = IsolationCheck.Verdict.TOGETHER;
                        LOG.info("the state service answers this node again");
                    }
                    controller.setCutOff(isolation.isCutOff());
                    if (state.losses().isHolding()) {
                        announceLoss();
                    }
                    Revision key = alone ? controller.stepAside() : null;
                    if (key != null) {
                        handOver(key, 0);
                    }
                    return PERIOD;
                });
    }

    /**
     * Says what has changed; true if this node alone is refused, by two verdicts in a row. Guards against a leader that was refused just
     * before an outage: it was told that others are served, as these had not noticed yet, and stood aside where nobody could follow,
     * so that all work of the fleet was lost. The second verdict costs nothing, as the lease ends by then in any case.
     */
    private boolean onVerdict(IsolationCheck.Verdict verdict) {
        boolean again = verdict == lastVerdict;
        if (verdict != lastVerdict) {
            lastVerdict = verdict;
            LOG.info(
                    "{}",
                    switch (verdict) {
                        case REFUSED_ALONE -> "the state service serves others but not this node: not ready";
                        case CUT_OFF -> "neither the state service nor another node answers this node: cut off";
                        case TOGETHER -> "other nodes answer, and the state service serves none of them: an outage";
                    });
        }
        return again && verdict == IsolationCheck.Verdict.REFUSED_ALONE;
    }

    /** Tells the others that data were lost: who leads may not have seen it, and only a leader can mend it. */
    void announceLoss() {
        long era = state.losses().era();
        peers.forEach(peer -> peer.post(LOSS_PATH, MessagePackFormat.map("era", era), ANSWER_TIMEOUT));
    }

    /** What this node and those that answer remember of one job. */
    Future<RememberedState> recall(JobId id) {
        RememberedState all = ownMemory(id);
        List<Future<Boolean>> answers = new ArrayList<>();
        peers.forEach(peer -> answers.add(peer.get(RECALL_PATH + "?id=" + id.text(), RECALL_TIMEOUT)
                .map(r -> r.isOk() && RememberedStateCodec.read(r.body(), all))
                .otherwise(false)));
        return answers.isEmpty()
                ? Future.succeededFuture(all)
                : Future.all(answers).map(v -> all);
    }

    private RememberedState ownMemory(JobId id) {
        RememberedState own = jobs.rememberedState(id);
        own.add(controller.rememberedState(id));
        return own;
    }

    /** Whether this node as a leader or any other that answers knows a job. */
    Future<Boolean> isKnownToAny(JobId id) {
        if (controller.hasOpen(id)) {
            return Future.succeededFuture(true);
        }
        List<Future<Boolean>> answers = new ArrayList<>();
        peers.forEach(peer -> answers.add(peer.get(KNOWS_PATH + "?id=" + id.text(), RECALL_TIMEOUT)
                .map(r -> r.isOk() && r.body().flag("known", false))
                .otherwise(false)));
        return answers.isEmpty()
                ? Future.succeededFuture(false)
                : Future.all(answers).map(all -> all.<Boolean>list().contains(true));
    }

    /** Whoever is served leaves it to the state service to say who leads, but tells of cancellations all the same. */
    private Map<String, Object> answerPledge(Span back) {
        Moment now = clock.now();
        if (!unserved) {
            // An outage may just have begun: whoever asks has little time left, so this node looks now and not when its
            // turn is.
            checkTask.wake();
        }
        return new PeerPromises(
                        unserved && controller.pledge(),
                        jobs.confirmedCancellations().summary(back, now))
                .write(jobs.confirmedCancellations().timeSinceLast(now));
    }

    /** Every other node's pledge not to lead, and its word on cancellations so far back; none without other nodes. */
    Future<PeerPromises> pledges(Span back) {
        List<Future<PeerPromises>> answers = new ArrayList<>();
        peers.forEach(peer -> answers.add(peer.post(PLEDGE_PATH, PeerPromises.ask(back), PERIOD)
                .map(r -> r.isOk() ? readPledge(r.body()) : PeerPromises.NONE)
                .otherwise(PeerPromises.NONE)));
        return answers.isEmpty()
                ? Future.succeededFuture(PeerPromises.NONE)
                : Future.all(answers).map(all -> {
                    PeerPromises together =
                            new PeerPromises(true, jobs.confirmedCancellations().summary(back, clock.now()));
                    for (PeerPromises one : all.<PeerPromises>list()) {
                        together = together.and(one);
                    }
                    return together;
                });
    }

    private static PeerPromises readPledge(Fields answer) {
        try {
            return PeerPromises.read(answer);
        } catch (WireException e) {
            LOG.warn("a pledge cannot be read, and counts as none: {}", e.getMessage());
            return PeerPromises.NONE;
        }
    }

    /** What this node and those that answer remember of jobs. */
    Future<RememberedState> gather() {
        RememberedState all = new RememberedState();
        all.add(ownMemory());
        List<Future<Void>> answers = new ArrayList<>();
        peers.forEach(peer -> answers.add(gather(peer, 0, all).otherwiseEmpty()));
        return answers.isEmpty()
                ? Future.succeededFuture(all)
                : Future.all(answers).map(v -> all);
    }

    private RememberedState ownMemory() {
        RememberedState own = jobs.rememberedState();
        copies.all().forEach(own::add);
        return own;
    }

    private Future<Void> gather(ServiceClient peer, int part, RememberedState into) {
        return peer.get(REMEMBERED_PATH + "?part=" + part, ANSWER_TIMEOUT)
                .compose(r -> r.isOk() && RememberedStateCodec.read(r.body(), into)
                        ? gather(peer, part + 1, into)
                        : Future.succeededFuture());
    }

    /** Asks the others, one after the other, to remove this node's key; failing that, its lease runs out. */
    private void handOver(Revision key, int asked) {
        if (asked < peers.size()) {
            peers.get(asked)
                    .post(HANDOVER_PATH, MessagePackFormat.map("stamp", key.value()), ANSWER_TIMEOUT)
                    .map(ServiceResponse::isOk)
                    .otherwise(false)
                    .onSuccess(done -> {
                        if (!done) {
                            handOver(key, asked + 1);
                        }
                    });
        }
    }

    /** Whether every other node says that it does not lead; one that does not answer may. */
    Future<Boolean> othersDoNotLead() {
        return askPeers("leads", true).map(answers -> !answers.contains(true));
    }

    /** Whether another node says that it leads; false if it does not answer. */
    Future<Boolean> leads(String node) {
        for (int n = 0; n < peers.size(); n++) {
            if (config.peers().get(n).node().equals(node)) {
                return peers.get(n)
                        .get(STANDING_PATH, PERIOD)
                        .map(r -> r.isOk() && r.body().flag("leads", false))
                        .otherwise(false);
            }
        }
        return Future.succeededFuture(false);
    }

    /** What every other node says of itself; {@code unheard} for one that does not answer. */
    private Future<List<Boolean>> askPeers(String what, Boolean unheard) {
        List<Future<Boolean>> answers = new ArrayList<>();
        for (ServiceClient peer : peers) {
            answers.add(peer.get(STANDING_PATH, PERIOD)
                    .map(r -> r.isOk() ? (Boolean) r.body().flag(what, Boolean.TRUE.equals(unheard)) : unheard)
                    .otherwise(unheard));
        }
        return answers.isEmpty()
                ? Future.succeededFuture(List.of())
                : Future.all(answers).map(all -> all.<Boolean>list());
    }
}
