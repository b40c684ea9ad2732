package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.Settings;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Vertx;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the warm-up starts and ends tasks, and that it runs no heartbeats on a node that leads. */
class HeartbeatWarmUpTest {
    @ParameterizedTest
    @CsvSource({"false, 100", "true, 0"})
    void issuesStartCommandsUnlessNodeLeads(boolean leads, int atLeast) throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            HeartbeatWarmUp warmUp = new HeartbeatWarmUp(
                    NodeContext.builder()
                            .vertx(vertx)
                            .clock(new SteadyClock())
                            .config(LeaderTestSupport.config())
                            .settings(Settings.defaults())
                            .lease(Span.seconds(10))
                            .build(),
                    () -> leads);
            for (int step = 0; step < 400; step++) {
                warmUp.step();
            }
            assertTrue(warmUp.startCommandCount() >= atLeast, "start commands: " + warmUp.startCommandCount());
            assertEquals(leads, warmUp.startCommandCount() == 0);
        } finally {
            vertx.close();
        }
    }
}
