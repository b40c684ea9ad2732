package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.checker.Breach;
import io.indigoreach.checker.Breach.Rule;
import io.indigoreach.checker.Event;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.model.Attempt;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.WorkerCommand;
import io.indigoreach.load.Users;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RequestBody;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient.Txn;
import io.indigoreach.state.StateCodec;
import io.indigoreach.worker.WorkerCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Faults planted into a controller are found by the checker, from the outside, and without the fault it is silent. They
 * are planted on the controller's wires: a proxy changes what it sends, so that nothing of it is in the program.
 */
@Execution(ExecutionMode.CONCURRENT)
class PlantedTest {
    /** What is planted; NOTHING passes everything on through the same proxies. */
    enum Planted {
        NOTHING,
        DOUBLE_WRITE,
        UNCONDITIONAL_LEADERSHIP,
        TOKEN_REUSED,
        START_AFTER_REAP
    }

    /** Passes on requests and answers, changed. */
    private static final class Proxy {
        private final ServiceClient target;
        private final UnaryOperator<Map<String, Object>> transactions;
        private final UnaryOperator<ServiceResponse> reports;

        Proxy(
                Vertx vertx,
                Endpoint target,
                UnaryOperator<Map<String, Object>> transactions,
                UnaryOperator<ServiceResponse> reports) {
            this.target = new ServiceClient(vertx, target, 200);
            this.transactions = transactions;
            this.reports = reports;
        }

        Future<Integer> listen(Vertx vertx, int port) {
            return vertx.createHttpServer()
                    .requestHandler(r -> RequestBody.read(
                            r,
                            body -> {
                                Map<String, Object> sent = body.length() == 0
                                        ? null
                                        : MessagePackFormat.readMap(body).map();
                                Future<ServiceResponse> answer = r.method().equals(HttpMethod.GET)
                                        ? target.get(r.uri(), Span.seconds(70))
                                        : r.method().equals(HttpMethod.DELETE)
                                                ? target.delete(r.uri(), Span.seconds(5))
                                                : target.post(
                                                        r.uri(),
                                                        r.path().equals(StateCodec.TXN)
                                                                ? transactions.apply(sent)
                                                                : sent == null ? Map.of() : sent,
                                                        Span.seconds(5));
                                answer.onSuccess(a -> {
                                            ServiceResponse told =
                                                    r.path().equals(WorkerCodec.HEARTBEAT) ? reports.apply(a) : a;
                                            r.response()
                                                    .setStatusCode(told.status())
                                                    .end(MessagePackFormat.write(
                                                            told.body().map()));
                                        })
                                        .onFailure(e -> r.connection().close());
                            },
                            () -> r.connection().close()))
                    .listen(port, "127.0.0.1")
                    .map(s -> s.actualPort());
        }
    }

    private static UnaryOperator<Map<String, Object>> without(Predicate<String> key) {
        return map -> {
            Txn txn = StateCodec.readTxn(new Fields(map));
            if (txn.writes().stream().noneMatch(w -> key.test(w.key()))) {
                return map;
            }
            Txn blind = new Txn();
            txn.conditions().forEach((k, stamp) -> {
                if (!key.test(k) && !k.equals(RecordKeys.LEADER)) {
                    blind.when(k, stamp);
                }
            });
            txn.writes().forEach(w -> {
                if (w.isDelete()) {
                    blind.delete(w.key());
                } else {
                    blind.put(w.key(), w.value(), w.lease());
                }
            });
            return StateCodec.writeTxn(blind);
        };
    }

    private static UnaryOperator<ServiceResponse> answers(UnaryOperator<WorkerCodec.HeartbeatResponse> change) {
        return r -> {
            if (!r.isOk()) {
                return r;
            }
            WorkerCodec.HeartbeatResponse a = change.apply(WorkerCodec.readResponse(r.body()));
            return new ServiceResponse(200, new Fields(WorkerCodec.writeResponse(a.token(), a.commands())));
        };
    }

    /** After each attempt that is to be forgotten, the same start once more. */
    private static WorkerCodec.HeartbeatResponse startAgain(WorkerCodec.HeartbeatResponse a) {
        List<WorkerCommand> orders = new ArrayList<>(a.commands());
        a.commands().forEach(command -> {
            if (command instanceof WorkerCommand.Reap) {
                orders.add(new WorkerCommand.Start(
                        command.task(), new Attempt(command.attempt().value())));
            }
        });
        return new WorkerCodec.HeartbeatResponse(a.token(), orders);
    }

    @ParameterizedTest
    @CsvSource({
        "NOTHING,",
        "DOUBLE_WRITE, BLIND_WRITE",
        "UNCONDITIONAL_LEADERSHIP, BLIND_WRITE",
        "TOKEN_REUSED, TOKEN_REUSED",
        "START_AFTER_REAP, START_AFTER_REAP"
    })
    void areFound(Planted planted, Rule rule) throws Exception {
        try (LocalCluster cluster = new LocalCluster(2, "")) {
            AtomicReference<FencingToken> first = new AtomicReference<>();
            for (PlatformConfig c : cluster.emulator.nodes()) {
                Proxy state = new Proxy(
                        cluster.vertx,
                        c.state(),
                        switch (planted) {
                            case DOUBLE_WRITE -> without(k -> k.startsWith(RecordKeys.OPEN_JOBS));
                            case UNCONDITIONAL_LEADERSHIP -> without(k -> k.equals(RecordKeys.LEADER));
                            default -> UnaryOperator.identity();
                        },
                        UnaryOperator.identity());
                int statePort = LocalCluster.await(state.listen(cluster.vertx, 0));
                int real = cluster.start(
                        LocalCluster.with(c, new Endpoint("127.0.0.1", 0), new Endpoint("127.0.0.1", statePort)));
                Proxy front = new Proxy(
                        cluster.vertx,
                        new Endpoint("127.0.0.1", real),
                        UnaryOperator.identity(),
                        switch (planted) {
                            // Whoever leads, first or second, acts under the first token.
                            case TOKEN_REUSED ->
                                answers(a -> {
                                    first.compareAndSet(null, a.token());
                                    return new WorkerCodec.HeartbeatResponse(first.get(), a.commands());
                                });
                            case START_AFTER_REAP -> answers(PlantedTest::startAgain);
                            default -> UnaryOperator.identity();
                        });
                LocalCluster.await(front.listen(cluster.vertx, c.listen().port()));
            }
            Future<Users.Mine> one = cluster.run(LocalCluster.job(1, 6, 0.5), 0);
            Future<Users.Mine> other = cluster.run(LocalCluster.job(2, 3, 1), 0);
            LocalCluster.await(one);
            LocalCluster.await(other);
            changeLeader(cluster);
            if (planted == Planted.TOKEN_REUSED) {
                // Nothing is started under a token that is not the leader's, so its first answer is waited for.
                cluster.awaitEvents(e -> e instanceof Event.TokenSeen, 2);
            } else {
                LocalCluster.await(cluster.run(LocalCluster.job(3, 4, 0.5), 0));
            }
            List<Breach> found = cluster.breaches();
            if (rule == null) {
                assertEquals(List.of(), found);
            } else {
                assertTrue(found.stream().anyMatch(b -> b.rule() == rule), rule + " is not among " + found);
            }
        }
    }

    /** The leader's lease is ended, so that the other node leads; whichever it was. */
    private static void changeLeader(LocalCluster cluster) throws Exception {
        String leads = cluster.history.events().stream()
                .filter(e -> e instanceof Event.TokenSeen)
                .map(e -> ((Event.TokenSeen) e).node())
                .findFirst()
                .orElseThrow();
        cluster.stop(leads.equals("node-0") ? 0 : 1);
    }
}
