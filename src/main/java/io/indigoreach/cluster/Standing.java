package io.indigoreach.cluster;

import io.indigoreach.api.JobDesk;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.Isolation;
import io.indigoreach.core.JobId;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Span;
import io.indigoreach.core.Stamp;
import io.indigoreach.core.loss.Remains;
import io.indigoreach.core.records.Copies;
import io.indigoreach.net.Caller;
import io.indigoreach.net.Duty;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Pulse;
import io.indigoreach.net.Reply;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.Wire;
import io.indigoreach.net.WireException;
import io.indigoreach.state.RemainsCodec;
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
 * so it asks the others ({@link Isolation}). Refused alone or cut off, it is not ready and users are sent elsewhere; in an
 * outage it stays ready, as being taken out and back in would cost more than the outage does. A leader that is refused alone
 * stands aside, and asks another node to remove its key, so that its lease need not run out first.
 */
final class Standing {
    private static final Logger LOG = LoggerFactory.getLogger(Standing.class);
    private static final Span PERIOD = Span.seconds(1);
    private static final Span PATIENCE = Span.seconds(2);
    private static final String PATH = "/standing";
    private static final String HAND_OVER = "/handover";
    private static final String LOSS = "/loss";
    private static final String REMAINS = "/remains";
    private static final String PLEDGE = "/pledge";
    private static final String KNOWS = "/knows";
    private static final String RECALL = "/recall";
    /** A poll waits no longer than this for the others to say whether they know a job. */
    private static final Span WORD = Span.seconds(0.7);

    private final SteadyClock clock;
    private final Pulse pulse;
    private final StateClient state;
    private final PlatformConfig config;
    private final Controller controller;
    private final JobDesk jobs;
    private final Copies copies;
    private final List<Caller> peers = new ArrayList<>();
    private final HttpServer server;
    private final Duty duty;
    private Moment served;
    private final Isolation isolation = new Isolation();
    private Isolation.Verdict said = Isolation.Verdict.TOGETHER;
    /** The state service did not answer this node when it was last asked. */
    private boolean unserved;

    Standing(
            Vertx vertx,
            SteadyClock clock,
            Pulse pulse,
            StateClient state,
            PlatformConfig config,
            Controller controller,
            JobDesk jobs,
            Copies copies) {
        this.copies = copies;
        this.pulse = pulse;
        this.jobs = jobs;
        this.clock = clock;
        this.controller = controller;
        this.state = state;
        this.config = config;
        this.served = clock.now();
        for (PlatformConfig.Peer peer : config.peers()) {
            peers.add(new Caller(vertx, peer.endpoint(), 1));
        }
        this.server = vertx.createHttpServer(new HttpServerOptions().setIdleTimeout(30));
        server.requestHandler(this::answer);
        this.duty = new Duty(vertx, "standing", PERIOD, this::step);
    }

    void start() {
        server.listen(config.peerListen().port(), config.peerListen().host())
                .onFailure(e ->
                        LOG.error("cannot listen for the other nodes on {}: {}", config.peerListen(), e.getMessage()));
        duty.start();
    }

    Future<Void> stop() {
        duty.cancel();
        return server.close();
    }

    /** Others are served by the state service while this node is not, or nobody answers it at all: users are better off elsewhere. */
    boolean isOutOfTouch() {
        return isolation.isOutOfTouch();
    }

    private void answer(HttpServerRequest request) {
        if (HAND_OVER.equals(request.path())) {
            request.body()
                    .map(body -> new Stamp(Wire.readMap(body).whole("stamp")))
                    .compose(controller::release)
                    .onComplete(done -> request.response()
                            .setStatusCode(done.succeeded() ? 200 : 503)
                            .end(Wire.write(Map.of())));
        } else if (PLEDGE.equals(request.path())) {
            request.body()
                    .map(body -> pledge(Pledges.asked(Wire.readMap(body))))
                    .onSuccess(answer -> request.response().end(Wire.write(answer)))
                    .onFailure(e -> {
                        LOG.warn("a question for a pledge cannot be read: {}", e.getMessage());
                        request.response().setStatusCode(400).end(Wire.write(Map.of()));
                    });
        } else if (LOSS.equals(request.path())) {
            request.body()
                    .onSuccess(body -> state.toldOfLoss(Wire.readMap(body).whole("era")))
                    .onComplete(done -> request.response().end(Wire.write(Map.of())));
        } else if (REMAINS.equals(request.path()) && request.getParam("part") != null) {
            request.response().end(Wire.write(RemainsCodec.write(own(), Integer.parseInt(request.getParam("part")))));
        } else if (RECALL.equals(request.path()) && JobId.isValid(request.getParam("id"))) {
            request.response().end(Wire.write(RemainsCodec.write(own(new JobId(request.getParam("id"))), 0)));
        } else if (KNOWS.equals(request.path())
                && request.getParam("id") != null
                && JobId.isValid(request.getParam("id"))) {
            JobId id = new JobId(request.getParam("id"));
            request.response().end(Wire.write(Wire.map("known", jobs.knows(id) || controller.knows(id))));
        } else {
            request.response()
                    .setStatusCode(PATH.equals(request.path()) ? 200 : 404)
                    .end(Wire.write(Wire.map("served", isServed(), "leads", controller.leads())));
        }
    }

    /** By the last question. Within a second of an outage's begin it is not known yet, so a leader asks twice. */
    private boolean isServed() {
        return !unserved && clock.now().since(served).compareTo(PATIENCE) < 0;
    }

    /** Long enough that in an outage the other nodes know of it too, and not because this node itself stood still. */
    private boolean isSurelyUnserved() {
        return pulse.hasTurnedFor(PATIENCE.times(2))
                && clock.now().since(served).compareTo(PATIENCE.times(2)) >= 0;
    }

    private Future<Span> step() {
        return state.check()
                .map(v -> {
                    served = clock.now();
                    return false;
                })
                .onComplete(r -> unserved = r.failed())
                .recover(e -> isSurelyUnserved()
                        ? ask("served", null).map(answers -> judged(isolation.unserved(answers, clock.now())))
                        : Future.succeededFuture(false))
                .map(alone -> {
                    if (!unserved && isolation.served()) {
                        said = Isolation.Verdict.TOGETHER;
                        LOG.info("the state service answers this node again");
                    }
                    controller.isCutOff(isolation.isCutOff());
                    if (state.losses().isHolding()) {
                        tellOfLoss();
                    }
                    Stamp key = alone ? controller.standAside() : null;
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
    private boolean judged(Isolation.Verdict verdict) {
        boolean again = verdict == said;
        if (verdict != said) {
            said = verdict;
            LOG.info(
                    "{}",
                    switch (verdict) {
                        case REFUSED_ALONE -> "the state service serves others but not this node: not ready";
                        case CUT_OFF -> "neither the state service nor another node answers this node: cut off";
                        case TOGETHER -> "other nodes answer, and the state service serves none of them: an outage";
                    });
        }
        return again && verdict == Isolation.Verdict.REFUSED_ALONE;
    }

    /** Tells the others that data were lost: who leads may not have seen it, and only a leader can mend it. */
    void tellOfLoss() {
        long era = state.losses().era();
        peers.forEach(peer -> peer.post(LOSS, Wire.map("era", era), PATIENCE));
    }

    /** What this node and those that answer remember of one job. */
    Future<Remains> recall(JobId id) {
        Remains all = own(id);
        List<Future<Boolean>> answers = new ArrayList<>();
        peers.forEach(peer -> answers.add(peer.get(RECALL + "?id=" + id.text(), WORD)
                .map(r -> r.isOk() && RemainsCodec.read(r.body(), all))
                .otherwise(false)));
        return answers.isEmpty()
                ? Future.succeededFuture(all)
                : Future.all(answers).map(v -> all);
    }

    private Remains own(JobId id) {
        Remains own = jobs.remains(id);
        own.add(controller.remains(id));
        return own;
    }

    /** Whether this node as a leader or any other that answers knows a job. */
    Future<Boolean> know(JobId id) {
        if (controller.knows(id)) {
            return Future.succeededFuture(true);
        }
        List<Future<Boolean>> answers = new ArrayList<>();
        peers.forEach(peer -> answers.add(peer.get(KNOWS + "?id=" + id.text(), WORD)
                .map(r -> r.isOk() && r.body().flag("known", false))
                .otherwise(false)));
        return answers.isEmpty()
                ? Future.succeededFuture(false)
                : Future.all(answers).map(all -> all.<Boolean>list().contains(true));
    }

    /** Whoever is served leaves it to the state service to say who leads, but tells of cancellations all the same. */
    private Map<String, Object> pledge(Span back) {
        Moment now = clock.now();
        if (!unserved) {
            // An outage may just have begun: whoever asks has little time left, so this node looks now and not when its
            // turn is.
            duty.wake();
        }
        return new Pledges(unserved && controller.pledge(), jobs.told().word(back, now))
                .write(jobs.told().quiet(now));
    }

    /** Every other node's pledge not to lead, and its word on cancellations so far back; none without other nodes. */
    Future<Pledges> pledges(Span back) {
        List<Future<Pledges>> answers = new ArrayList<>();
        peers.forEach(peer -> answers.add(peer.post(PLEDGE, Pledges.ask(back), PERIOD)
                .map(r -> r.isOk() ? readPledge(r.body()) : Pledges.NONE)
                .otherwise(Pledges.NONE)));
        return answers.isEmpty()
                ? Future.succeededFuture(Pledges.NONE)
                : Future.all(answers).map(all -> {
                    Pledges together = new Pledges(true, jobs.told().word(back, clock.now()));
                    for (Pledges one : all.<Pledges>list()) {
                        together = together.and(one);
                    }
                    return together;
                });
    }

    private static Pledges readPledge(Fields answer) {
        try {
            return Pledges.read(answer);
        } catch (WireException e) {
            LOG.warn("a pledge cannot be read, and counts as none: {}", e.getMessage());
            return Pledges.NONE;
        }
    }

    /** What this node and those that answer remember of jobs. */
    Future<Remains> gather() {
        Remains all = new Remains();
        all.add(own());
        List<Future<Void>> answers = new ArrayList<>();
        peers.forEach(peer -> answers.add(gather(peer, 0, all).otherwiseEmpty()));
        return answers.isEmpty()
                ? Future.succeededFuture(all)
                : Future.all(answers).map(v -> all);
    }

    private Remains own() {
        Remains own = jobs.remains();
        copies.all().forEach(own::add);
        return own;
    }

    private Future<Void> gather(Caller peer, int part, Remains into) {
        return peer.get(REMAINS + "?part=" + part, PATIENCE)
                .compose(r -> r.isOk() && RemainsCodec.read(r.body(), into)
                        ? gather(peer, part + 1, into)
                        : Future.succeededFuture());
    }

    /** Asks the others, one after the other, to remove this node's key; failing that, its lease runs out. */
    private void handOver(Stamp key, int asked) {
        if (asked < peers.size()) {
            peers.get(asked)
                    .post(HAND_OVER, Wire.map("stamp", key.value()), PATIENCE)
                    .map(Reply::isOk)
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
        return ask("leads", true).map(answers -> !answers.contains(true));
    }

    /** Whether another node says that it leads; false if it does not answer. */
    Future<Boolean> leads(String node) {
        for (int n = 0; n < peers.size(); n++) {
            if (config.peers().get(n).node().equals(node)) {
                return peers.get(n)
                        .get(PATH, PERIOD)
                        .map(r -> r.isOk() && r.body().flag("leads", false))
                        .otherwise(false);
            }
        }
        return Future.succeededFuture(false);
    }

    /** What every other node says of itself; {@code unheard} for one that does not answer. */
    private Future<List<Boolean>> ask(String what, Boolean unheard) {
        List<Future<Boolean>> answers = new ArrayList<>();
        for (Caller peer : peers) {
            answers.add(peer.get(PATH, PERIOD)
                    .map(r -> r.isOk() ? (Boolean) r.body().flag(what, Boolean.TRUE.equals(unheard)) : unheard)
                    .otherwise(unheard));
        }
        return answers.isEmpty()
                ? Future.succeededFuture(List.of())
                : Future.all(answers).map(all -> all.<Boolean>list());
    }
}
