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
 * Sends requests to the other controllers ({@link PeerProtocol}). A peer that does not answer, or whose answer cannot be read, counts
 * as the least favourable answer; no request fails. Bound to the node's event loop.
 */
final class PeerClient {
    private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
    /** For the status and pledges, which are of use only while they are fresh. */
    private static final Span STATUS_TIMEOUT = Span.seconds(1);

    private static final Span REQUEST_TIMEOUT = Span.seconds(2);
    /** A user's query waits no longer than this for peers to answer whether they know a job. */
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

    /** The answers of all peers in the order of the configuration; empty without peers. */
    private <T> Future<List<T>> requestFromAll(Function<ServiceClient, Future<T>> request) {
        List<Future<T>> responses = new ArrayList<>();
        clients.forEach(client -> responses.add(request.apply(client)));
        return responses.isEmpty()
                ? Future.succeededFuture(List.of())
                : Future.all(responses).map(all -> all.<T>list());
    }

    /** For each peer whether the state service answers it; null for a peer that does not answer. */
    Future<List<Boolean>> canPeersReachState() {
        return requestFromAll(client -> client.get(PeerProtocol.STATUS_PATH, STATUS_TIMEOUT)
                .map(response -> response.isOk() ? (Boolean) PeerProtocol.readStateReachable(response.body()) : null)
                .otherwise((Boolean) null));
    }

    /** Whether every peer reports that it does not lead; a peer that does not answer may lead. */
    Future<Boolean> noPeerLeads() {
        Future<List<Boolean>> leading = requestFromAll(client -> client.get(PeerProtocol.STATUS_PATH, STATUS_TIMEOUT)
                .map(response -> !response.isOk() || PeerProtocol.readLeads(response.body(), true))
                .otherwise(true));
        return leading.map(responses -> !responses.contains(true));
    }

    /** Whether the peer of that name reports that it leads; false if it does not answer, or there is no such peer. */
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
     * Asks every peer for a pledge not to lead, and for the cancellations that it confirmed within {@code lookBack}; the result
     * includes those that this node confirmed. {@link PeerPromises#NONE} without peers.
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

    /** What this node and the peers that answer remember of one job. */
    Future<RememberedState> rememberedState(JobId id) {
        RememberedState all = localRecords.rememberedState(id);
        return requestFromAll(client -> client.get(PeerProtocol.rememberedJobPath(id), JOB_QUERY_TIMEOUT)
                        .map(response -> response.isOk() && RememberedStateCodec.read(response.body(), all))
                        .otherwise(false))
                .map(responses -> all);
    }

    /** What this node and the peers that answer remember. */
    Future<RememberedState> rememberedState() {
        RememberedState all = new RememberedState();
        all.add(localRecords.allRememberedState());
        return requestFromAll(client -> readRememberedState(client, 0, all).otherwiseEmpty())
                .map(responses -> all);
    }

    /** Reads a peer's memory from {@code part} on, until a part says that it is the last or is not answered. */
    private static Future<Void> readRememberedState(ServiceClient client, int part, RememberedState target) {
        return client.get(PeerProtocol.rememberedStatePath(part), REQUEST_TIMEOUT)
                .compose(response -> response.isOk() && RememberedStateCodec.read(response.body(), target)
                        ? readRememberedState(client, part + 1, target)
                        : Future.succeededFuture());
    }

    /** Whether this node as the leader, or any peer that answers, knows a job. */
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

    /** Reports a data loss: the leader may not have noticed it, and only a leader can rebuild. */
    void announceLoss(long era) {
        clients.forEach(client -> client.post(PeerProtocol.LOSS_PATH, PeerProtocol.writeLoss(era), REQUEST_TIMEOUT));
    }

    /**
     * Asks the peers, one after the other, to remove this node's leadership key until one has done so. If none does, the
     * key goes when its lease expires.
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
