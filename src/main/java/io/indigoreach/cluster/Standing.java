package io.indigoreach.cluster;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Span;
import io.indigoreach.core.Stamp;
import io.indigoreach.net.Caller;
import io.indigoreach.net.Duty;
import io.indigoreach.net.Reply;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.Wire;
import io.indigoreach.net.WireException;
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
 * so it asks the others. Refused alone, it is not ready and users are sent elsewhere; in an outage it stays ready, as
 * being taken out and back in would cost more than the outage does. A leader that is refused alone stands aside, and
 * asks another node to remove its key, so that its lease need not run out first.
 */
final class Standing {
    private static final Logger LOG = LoggerFactory.getLogger(Standing.class);
    private static final Span PERIOD = Span.seconds(1);
    private static final Span PATIENCE = Span.seconds(2);
    private static final String PATH = "/standing";
    private static final String HAND_OVER = "/handover";

    private final SteadyClock clock;
    private final StateClient state;
    private final PlatformConfig config;
    private final Controller controller;
    private final List<Caller> peers = new ArrayList<>();
    private final HttpServer server;
    private final Duty duty;
    private Moment served;
    private boolean refusedAlone;

    Standing(Vertx vertx, SteadyClock clock, StateClient state, PlatformConfig config, Controller controller) {
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
                .onFailure(e -> LOG.error("cannot listen for the other nodes on {}: {}", config.peerListen(),
                        e.getMessage()));
        duty.start();
    }

    Future<Void> stop() {
        duty.cancel();
        return server.close();
    }

    /** Others are served by the state service while this node is not. */
    boolean isRefusedAlone() {
        return refusedAlone;
    }

    private void answer(HttpServerRequest request) {
        if (HAND_OVER.equals(request.path())) {
            request.body().map(body -> new Stamp(Wire.readMap(body).whole("stamp"))).compose(controller::release)
                    .onComplete(done -> request.response().setStatusCode(done.succeeded() ? 200 : 503)
                            .end(Wire.write(Map.of())));
        } else {
            request.response().setStatusCode(PATH.equals(request.path()) ? 200 : 404)
                    .end(Wire.write(Wire.map("served", isServed())));
        }
    }

    private boolean isServed() {
        return clock.now().since(served).compareTo(PATIENCE) < 0;
    }

    /** Long enough that in an outage the other nodes know of it too. */
    private boolean isSurelyUnserved() {
        return clock.now().since(served).compareTo(PATIENCE.times(2)) >= 0;
    }

    private Future<Span> step() {
        return state.check().map(v -> {
            served = clock.now();
            return false;
        }).recover(e -> isSurelyUnserved() ? othersAreServed() : Future.succeededFuture(false)).map(alone -> {
            if (alone != refusedAlone) {
                LOG.info(alone ? "the state service serves others but not this node: not ready"
                        : "not refused alone any more");
            }
            refusedAlone = alone;
            Stamp key = alone ? controller.standAside() : null;
            if (key != null) {
                handOver(key, 0);
            }
            return PERIOD;
        });
    }

    /** Asks the others, one after the other, to remove this node's key; failing that, its lease runs out. */
    private void handOver(Stamp key, int asked) {
        if (asked < peers.size()) {
            peers.get(asked).post(HAND_OVER, Wire.map("stamp", key.value()), PATIENCE)
                    .map(Reply::isOk).otherwise(false).onSuccess(done -> {
                        if (!done) {
                            handOver(key, asked + 1);
                        }
                    });
        }
    }

    private Future<Boolean> othersAreServed() {
        List<Future<Boolean>> answers = new ArrayList<>();
        for (Caller peer : peers) {
            answers.add(peer.get(PATH, PERIOD).map(r -> {
                if (!r.isOk()) {
                    throw new WireException("status " + r.status());
                }
                return r.body().flag("served", false);
            }).otherwise(false));
        }
        return answers.isEmpty() ? Future.succeededFuture(false)
                : Future.all(answers).map(all -> all.<Boolean>list().contains(true));
    }
}
