package io.indigoreach.state;

import io.indigoreach.core.leadership.TokenGenerator;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs leader election of this version and of the version in production against one fake state service. */
final class MixedVersionCluster implements AutoCloseable {
    static final List<String> NODES = List.of("a", "b", "c");
    private static final Span LEASE_TIME = Span.seconds(1.5);

    /** A controller of this version. */
    record CurrentNode(Vertx vertx, StateClient client, LeaderElection election, FormatGate gate) {
        boolean isOpen() throws Exception {
            return await(MixedVersionCluster.runOn(vertx, gate::isOpen));
        }

        void stop() {
            vertx.runOnContext(v -> {
                gate.stop();
                election.stop();
            });
        }
    }

    /** A controller of the version in production. It campaigns like commit 633f24e, when a test calls it. */
    record ProductionNode(String node, StateClient client) {
        /**
         * Reads the leadership key and the counter and requests a lease. Returns the campaign's transaction, or null if another
         * node leads; fails where production's code fails.
         */
        Future<StateClient.Txn> campaign() {
            return client.get(RecordKeys.LEADER)
                    .compose(leader -> leader != null
                            ? Future.succeededFuture()
                            : client.get(RecordKeys.COUNTER).compose(counter -> {
                                long counterToken =
                                        counter == null ? 0 : counter.value().wholeNumber("value");
                                return client.grantLease(LEASE_TIME)
                                        .map(lease -> campaignTxn(counterToken + 1000, counter, lease));
                            }));
        }

        private StateClient.Txn campaignTxn(long token, StateClient.Entry counter, long lease) {
            return new StateClient.Txn()
                    .when(RecordKeys.LEADER, Revision.ABSENT)
                    .when(RecordKeys.COUNTER, StateClient.revisionOf(counter))
                    .put(RecordKeys.LEADER, LeaderKey.write(node, "old", new FencingToken(token)), lease)
                    .put(RecordKeys.COUNTER, MessagePackFormat.map("value", token));
        }
    }

    final Vertx vertx = Vertx.vertx();
    final SteadyClock clock = new SteadyClock();
    final FakeStateService service;
    /** Keeps the clients reachable, as Vert.x closes unreachable ones. */
    private final List<ServiceClient> serviceClients = new ArrayList<>();

    MixedVersionCluster() throws Exception {
        service = await(new FakeStateService().listen(vertx));
        service.leasesExpire = true;
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static <T> Future<T> runOn(Vertx vertx, java.util.function.Supplier<Future<T>> operation) {
        io.vertx.core.Promise<T> promise = io.vertx.core.Promise.promise();
        vertx.runOnContext(v -> operation.get().onComplete(promise));
        return promise.future();
    }

    StateClient client() {
        return new StateClient(newServiceClient(), newServiceClient());
    }

    private ServiceClient newServiceClient() {
        serviceClients.add(new ServiceClient(vertx, service.endpoint(), 4));
        return serviceClients.get(serviceClients.size() - 1);
    }

    ProductionNode productionNode(String node) {
        return new ProductionNode(node, client());
    }

    CurrentNode startCurrentNode(String node) {
        StateClient client = client();
        LeaderElection election = new LeaderElection(
                new ElectionSettings(
                        new StateAccess(vertx, client),
                        new StateAccess(vertx, client),
                        clock,
                        new Candidate(node, node + "-" + serviceClients.size(), NODES.size() - 1),
                        LEASE_TIME,
                        new TokenGenerator(NODES.indexOf(node), clock.timeOfDay(), Span.seconds(0.1))),
                new LeaderElection.Listener() {
                    @Override
                    public void leadershipGained(FencingToken token, Revision key, boolean bounds) {}

                    @Override
                    public void leadershipLost(String reason) {}
                });
        election.setPeerQueries(() -> Future.succeededFuture(false), () -> Future.succeededFuture(true));
        FormatGate gate = new FormatGate(vertx, client, clock, election, node, NODES);
        vertx.runOnContext(v -> {
            election.start();
            gate.start();
        });
        return new CurrentNode(vertx, client, election, gate);
    }

    boolean isRaised() {
        return service.has(RecordKeys.COUNTER)
                && service.value(RecordKeys.COUNTER).has("format");
    }

    @Override
    public void close() throws Exception {
        await(vertx.close());
    }
}
