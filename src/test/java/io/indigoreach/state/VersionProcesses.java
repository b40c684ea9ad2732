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

/** Controllers of this version and of the one in production, as far as they lead, over a stand-in for the state service. */
final class VersionProcesses implements AutoCloseable {
    static final List<String> NODES = List.of("a", "b", "c");
    private static final Span LIFE = Span.seconds(1.5);

    /** A controller of this version. */
    record Newer(Vertx vertx, StateClient client, LeaderElection leadership, FormatGate gate) {
        boolean isOpen() throws Exception {
            return await(VersionProcesses.on(vertx, gate::isOpen));
        }

        void end() {
            vertx.runOnContext(v -> {
                gate.stop();
                leadership.stop();
            });
        }
    }

    /** A controller of the version in production: it campaigns by the rules of commit 633f24e when it is told to. */
    record Older(String node, StateClient client) {
        /** Reads the leader's key and the counter, and gets a lease; fails where production's code does. Null: another leads. */
        Future<StateClient.Txn> stand() {
            return client.get(RecordKeys.LEADER)
                    .compose(leader -> leader != null
                            ? Future.succeededFuture()
                            : client.get(RecordKeys.COUNTER).compose(counter -> {
                                long counted =
                                        counter == null ? 0 : counter.value().wholeNumber("value");
                                return client.grant(LIFE).map(lease -> campaign(counted + 1000, counter, lease));
                            }));
        }

        private StateClient.Txn campaign(long token, StateClient.Entry counter, long lease) {
            return new StateClient.Txn()
                    .when(RecordKeys.LEADER, Revision.ABSENT)
                    .when(RecordKeys.COUNTER, StateClient.revisionOf(counter))
                    .put(RecordKeys.LEADER, LeaderKey.write(node, "old", new FencingToken(token)), lease)
                    .put(RecordKeys.COUNTER, MessagePackFormat.map("value", token));
        }
    }

    final Vertx vertx = Vertx.vertx();
    final SteadyClock clock = new SteadyClock();
    final StateStandIn service;
    /** Vert.x closes a client that nothing refers to any more. */
    private final List<ServiceClient> callers = new ArrayList<>();

    VersionProcesses() throws Exception {
        service = await(new StateStandIn().listen(vertx));
        service.expiring = true;
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static <T> Future<T> on(Vertx vertx, java.util.function.Supplier<Future<T>> what) {
        io.vertx.core.Promise<T> done = io.vertx.core.Promise.promise();
        vertx.runOnContext(v -> what.get().onComplete(done));
        return done.future();
    }

    StateClient client() {
        return new StateClient(caller(), caller());
    }

    private ServiceClient caller() {
        callers.add(new ServiceClient(vertx, service.endpoint(), 4));
        return callers.get(callers.size() - 1);
    }

    Older older(String node) {
        return new Older(node, client());
    }

    Newer newer(String node) {
        StateClient client = client();
        LeaderElection election = new LeaderElection(
                new ElectionSettings(
                        new StateAccess(vertx, client),
                        new StateAccess(vertx, client),
                        clock,
                        new Candidate(node, node + "-" + callers.size(), NODES.size() - 1),
                        LIFE,
                        new TokenGenerator(NODES.indexOf(node), clock.timeOfDay(), Span.seconds(0.1))),
                new LeaderElection.Listener() {
                    @Override
                    public void leadershipGained(FencingToken token, Revision key, boolean bounds) {}

                    @Override
                    public void leadershipLost(String reason) {}
                });
        election.askPeersBy(() -> Future.succeededFuture(false), () -> Future.succeededFuture(true));
        FormatGate gate = new FormatGate(vertx, client, clock, election, node, NODES);
        vertx.runOnContext(v -> {
            election.start();
            gate.start();
        });
        return new Newer(vertx, client, election, gate);
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
