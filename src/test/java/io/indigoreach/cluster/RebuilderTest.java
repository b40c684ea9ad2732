package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.config.Settings;
import io.indigoreach.core.MachineId;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Pool;
import io.indigoreach.core.Span;
import io.indigoreach.core.Token;
import io.indigoreach.core.loss.Remains;
import io.indigoreach.net.Budget;
import io.indigoreach.net.Caller;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.Wire;
import io.indigoreach.state.RecordCodec;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A try that ended half-way is followed by another of the same leadership, which names no page that is there. */
class RebuilderTest {
    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @Test
    void aSecondTryRecordsTheMachinesThatTheFirstDidNot() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            StateStandIn state = await(new StateStandIn().listen(vertx));
            StateClient client = new StateClient(new Caller(vertx, state.endpoint(), 2), new Caller(vertx, state.endpoint(), 1));
            SteadyClock clock = new SteadyClock();
            Reign.Surroundings env = new Reign.Surroundings(vertx, clock, null, client, null, null, MachineBookTest.config(),
                    Settings.standard(), Span.seconds(10));
            StateClient.Outcome taken = await(client.commit(new StateClient.Txn().put(RecordCodec.LEADER, Wire.map("t", 1L))));
            Remains remains = new Remains();
            for (int n = 1; n < 3; n++) {
                Moment now = clock.now();
                remains.add(new Remains.Rented(new MachineId("vm-" + n), new Pool("quad", "a", true), now, now));
                await(new Rebuilder(env, new Token(3), taken.stamp(), new Budget(100, now), remains).run());
                assertEquals(n, state.keys("m/").stream()
                        .mapToInt(key -> RecordCodec.readMachines(state.value(key)).size()).sum());
            }
            assertEquals(List.of("m/3-r1", "m/3-r2"), state.keys("m/"));
        } finally {
            await(vertx.close());
        }
    }
}
