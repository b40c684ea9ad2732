package io.indigoreach.cluster;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.leadership.CancellationSummary;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.state.RememberedStateCodec;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves the requests of the other controllers ({@link PeerProtocol}). Bound to the node's event loop. */
final class PeerServer {
    private static final Logger LOG = LoggerFactory.getLogger(PeerServer.class);
    private static final int IDLE_TIMEOUT_S = 30;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final SteadyClock clock;
    private final PlatformConfig config;
    private final StateClient state;
    private final Controller controller;
    private final LocalRecords localRecords;
    private final ConnectivityCheck connectivity;
    private final HttpServer server;
    private final Map<String, Handler<HttpServerRequest>> handlers = Map.of(
            PeerProtocol.STATUS_PATH, this::answerStatus,
            PeerProtocol.HANDOVER_PATH, this::answerHandover,
            PeerProtocol.PLEDGE_PATH, this::answerPledge,
            PeerProtocol.LOSS_PATH, this::answerLoss,
            PeerProtocol.REMEMBERED_STATE_PATH, this::answerRememberedState,
            PeerProtocol.REMEMBERED_JOB_PATH, this::answerRememberedJob,
            PeerProtocol.JOB_KNOWN_PATH, this::answerJobKnown);

    PeerServer(NodeContext context, Controller controller, LocalRecords localRecords, ConnectivityCheck connectivity) {
        this.clock = context.clock();
        this.config = context.config();
        this.state = context.state();
        this.controller = controller;
        this.localRecords = localRecords;
        this.connectivity = connectivity;
        this.server = context.vertx().createHttpServer(new HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_S));
        server.requestHandler(this::dispatch);
    }

    void start() {
        server.listen(config.peerListen().port(), config.peerListen().host())
                .onFailure(e ->
                        LOG.error("peer listener failed address={} cause={}", config.peerListen(), e.getMessage()));
    }

    Future<Void> stop() {
        return server.close();
    }

    private void dispatch(HttpServerRequest request) {
        handlers.getOrDefault(request.path(), this::answerNotFound).handle(request);
    }

    private static void respond(HttpServerRequest request, int status, Map<String, Object> message) {
        request.response().setStatusCode(status).end(MessagePackFormat.write(message));
    }

    private Map<String, Object> status() {
        return PeerProtocol.writeStatus(connectivity.isStateReachable(), controller.leads());
    }

    private void answerStatus(HttpServerRequest request) {
        respond(request, OK, status());
    }

    private void answerNotFound(HttpServerRequest request) {
        respond(request, NOT_FOUND, status());
    }

    private void answerHandover(HttpServerRequest request) {
        request.body()
                .map(body -> PeerProtocol.readHandover(MessagePackFormat.readMap(body)))
                .compose(controller::removeKey)
                .onComplete(
                        removed -> respond(request, removed.succeeded() ? OK : UNAVAILABLE, PeerProtocol.writeEmpty()));
    }

    private void answerPledge(HttpServerRequest request) {
        request.body()
                .map(body -> pledgeResponse(PledgeResponse.readRequest(MessagePackFormat.readMap(body))))
                .onSuccess(pledge -> respond(request, OK, pledge))
                .onFailure(e -> {
                    LOG.warn("pledge request unreadable cause={}", e.getMessage());
                    respond(request, BAD_REQUEST, PeerProtocol.writeEmpty());
                });
    }

    /**
     * Builds the response to a pledge request. A node that can reach the state service does not pledge, as the state
     * service then determines the leader, but it still reports its cancellations.
     */
    private Map<String, Object> pledgeResponse(Span lookBack) {
        Moment now = clock.now();
        if (!connectivity.isStateUnreachable()) {
            // An outage may just have begun, and the requesting leader's lease expires soon: check now, not at the next
            // period.
            connectivity.checkNow();
        }
        boolean pledged = connectivity.isStateUnreachable() && controller.pledge();
        CancellationSummary cancellations =
                localRecords.confirmedCancellations().summary(lookBack, now);
        return new PledgeResponse(pledged, cancellations)
                .write(localRecords.confirmedCancellations().timeSinceLast(now));
    }

    private void answerLoss(HttpServerRequest request) {
        request.body()
                .onSuccess(body -> state.reportLossFromPeer(PeerProtocol.readLossEra(MessagePackFormat.readMap(body))))
                .onComplete(body -> respond(request, OK, PeerProtocol.writeEmpty()));
    }

    private void answerRememberedState(HttpServerRequest request) {
        String part = request.getParam(PeerProtocol.PART_PARAMETER);
        if (part == null) {
            answerNotFound(request);
            return;
        }
        respond(request, OK, RememberedStateCodec.write(localRecords.allRememberedState(), Integer.parseInt(part)));
    }

    private void answerRememberedJob(HttpServerRequest request) {
        String id = request.getParam(PeerProtocol.JOB_PARAMETER);
        if (!JobId.isValid(id)) {
            answerNotFound(request);
            return;
        }
        respond(request, OK, RememberedStateCodec.write(localRecords.rememberedState(new JobId(id)), 0));
    }

    private void answerJobKnown(HttpServerRequest request) {
        String id = request.getParam(PeerProtocol.JOB_PARAMETER);
        if (!JobId.isValid(id)) {
            answerNotFound(request);
            return;
        }
        respond(request, OK, PeerProtocol.writeJobKnown(localRecords.isJobKnown(new JobId(id))));
    }
}
