package io.indigoreach.cluster;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.leadership.CancellationSummary;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.indigoreach.state.RememberedStateCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests to the other controllers ({@link PeerProtocol}). If a peer does not respond, or its response is
 * unreadable, the least favourable response is assumed, so the returned futures never fail. Bound to the node's event
 * loop.
 */
final class PeerClient {
    private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
    /** Timeout of status and pledge requests, whose responses become outdated quickly. */
    private static final Span STATUS_TIMEOUT = Span.seconds(1);

    private static final Span REQUEST_TIMEOUT = Span.seconds(2);
    /** Timeout of requests for a single job, which users' queries wait for. */
    private static final Span JOB_QUERY_TIMEOUT = Span.seconds(0.7);

    private final SteadyClock clock;
    private final List<PlatformConfig.Peer> peers;
    private final LocalRecords localRecords;
    /** In the order of {@link #peers}. */
    private final List<ServiceClient> clients = new ArrayList<>();

    PeerClient(Vertx vertx, SteadyClock clock, List<PlatformConfig.Peer> peers, LocalRecords localRecords) {
        this.clock = clock;
        this.peers = peers;
        this.localRecords = localRecords;
        for (PlatformConfig.Peer peer : peers) {
            clients.add(new ServiceClient(vertx, peer.endpoint(), 1));
        }
    }

    /** Returns the responses of all peers in the order of the configuration; empty without peers. */
    private <T> Future<List<T>> requestFromAll(Function<ServiceClient, Future<T>> request) {
        List<Future<T>> responses = new ArrayList<>();
        clients.forEach(client -> responses.add(request.apply(client)));
        return responses.isEmpty()
                ? Future.succeededFuture(List.of())
                : Future.all(responses).map(all -> all.<T>list());
    }

    /** For each peer, whether it can reach the state service; null for a peer that does not respond. */
    Future<List<Boolean>> canPeersReachState() {
        return requestFromAll(client -> client.get(PeerProtocol.STATUS_PATH, STATUS_TIMEOUT)
                .map(response -> response.isOk() ? (Boolean) PeerProtocol.readStateReachable(response.body()) : null)
                .otherwise((Boolean) null));
    }

    /** Whether every peer reports that it does not lead; a peer that does not respond is assumed to lead. */
    Future<Boolean> noPeerLeads() {
        Future<List<Boolean>> leading = requestFromAll(client -> client.get(PeerProtocol.STATUS_PATH, STATUS_TIMEOUT)
                .map(response -> !response.isOk() || PeerProtocol.readLeads(response.body(), true))
                .otherwise(true));
        return leading.map(responses -> !responses.contains(true));
    }

    /** Whether the named peer reports that it leads; false if it does not respond or does not exist. */
    Future<Boolean> isLeading(String node) {
        for (int index = 0; index < clients.size(); index++) {
            if (peers.get(index).node().equals(node)) {
                return clients.get(index)
                        .get(PeerProtocol.STATUS_PATH, STATUS_TIMEOUT)
                        .map(response -> response.isOk() && PeerProtocol.readLeads(response.body(), false))
                        .otherwise(false);
            }
        }
        return Future.succeededFuture(false);
    }

    /**
     * Requests from every peer a pledge not to lead, and the cancellations that it confirmed within {@code lookBack}.
     * The result includes the cancellations that this node confirmed. {@link PledgeResponse#NONE} without peers.
     */
    Future<PledgeResponse> requestPledges(Span lookBack) {
        if (clients.isEmpty()) {
            return Future.succeededFuture(PledgeResponse.NONE);
        }
        return requestFromAll(client -> requestPledge(client, lookBack)).map(pledges -> combine(pledges, lookBack));
    }

    private static Future<PledgeResponse> requestPledge(ServiceClient client, Span lookBack) {
        return client.post(PeerProtocol.PLEDGE_PATH, PledgeResponse.writeRequest(lookBack), STATUS_TIMEOUT)
                .map(response -> response.isOk() ? readPledge(response.body()) : PledgeResponse.NONE)
                .otherwise(PledgeResponse.NONE);
    }

    private static PledgeResponse readPledge(Fields response) {
        try {
            return PledgeResponse.read(response);
        } catch (WireException e) {
            LOG.warn("pledge response unreadable cause={}", e.getMessage());
            return PledgeResponse.NONE;
        }
    }

    private PledgeResponse combine(List<PledgeResponse> pledges, Span lookBack) {
        CancellationSummary own = localRecords.confirmedCancellations().summary(lookBack, clock.now());
        PledgeResponse combined = new PledgeResponse(true, own);
        for (PledgeResponse pledge : pledges) {
            combined = combined.combinedWith(pledge);
        }
        return combined;
    }

    /** Merges the copies of one job's state that this node and the responding peers hold. */
    Future<RememberedState> rememberedState(JobId id) {
        RememberedState all = localRecords.rememberedState(id);
        return requestFromAll(client -> client.get(PeerProtocol.rememberedJobPath(id), JOB_QUERY_TIMEOUT)
                        .map(response -> response.isOk() && RememberedStateCodec.read(response.body(), all))
                        .otherwise(false))
                .map(responses -> all);
    }

    /** Merges the remembered state of this node and of the responding peers. */
    Future<RememberedState> rememberedState() {
        RememberedState all = new RememberedState();
        all.add(localRecords.allRememberedState());
        return requestFromAll(client -> readRememberedState(client, 0, all).otherwiseEmpty())
                .map(responses -> all);
    }

    /** Reads a peer's remembered state from {@code part} on, up to its last part or the first request that fails. */
    private static Future<Void> readRememberedState(ServiceClient client, int part, RememberedState target) {
        return client.get(PeerProtocol.rememberedStatePath(part), REQUEST_TIMEOUT)
                .compose(response -> response.isOk() && RememberedStateCodec.read(response.body(), target)
                        ? readRememberedState(client, part + 1, target)
                        : Future.succeededFuture());
    }

    /** Whether the job is open here while this node leads, or is known to a peer that responds. */
    Future<Boolean> isJobKnown(JobId id) {
        if (localRecords.isJobOpen(id)) {
            return Future.succeededFuture(true);
        }
        Future<List<Boolean>> responses =
                requestFromAll(client -> client.get(PeerProtocol.jobKnownPath(id), JOB_QUERY_TIMEOUT)
                        .map(response -> response.isOk() && PeerProtocol.readJobKnown(response.body()))
                        .otherwise(false));
        return responses.map(answers -> answers.contains(true));
    }

    /**
     * Reports to all peers that the state service has lost data. Only the leader can rebuild the data, and it may not
     * have detected the loss.
     */
    void announceLoss(long era) {
        clients.forEach(client -> client.post(PeerProtocol.LOSS_PATH, PeerProtocol.writeLoss(era), REQUEST_TIMEOUT));
    }

    /**
     * Requests the removal of this node's leadership key from one peer after another, until a peer has removed it.
     * Otherwise the key is removed when its lease expires.
     */
    void requestHandover(Revision leadershipRevision) {
        requestHandover(leadershipRevision, 0);
    }

    private void requestHandover(Revision leadershipRevision, int peer) {
        if (peer == clients.size()) {
            return;
        }
        clients.get(peer)
                .post(PeerProtocol.HANDOVER_PATH, PeerProtocol.writeHandover(leadershipRevision), REQUEST_TIMEOUT)
                .map(ServiceResponse::isOk)
                .otherwise(false)
                .onSuccess(removed -> {
                    if (!removed) {
                        requestHandover(leadershipRevision, peer + 1);
                    }
                });
    }
}
