package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.Settings;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Vertx;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The heartbeat path is compiled only if it runs: tasks are started and ended repeatedly, and none are where the node leads. */
class WarmUpTest {
    @ParameterizedTest
    @CsvSource({"false, 100", "true, 0"})
    void commandsStartsUntilTheNodeLeads(boolean leads, int atLeast) throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            WarmUp warmUp = new WarmUp(
                    NodeContext.builder()
                            .vertx(vertx)
                            .clock(new SteadyClock())
                            .config(LeaderHarness.config())
                            .settings(Settings.defaults())
                            .lease(Span.seconds(10))
                            .build(),
                    () -> leads);
            for (int step = 0; step < 400; step++) {
                warmUp.step();
            }
            assertTrue(warmUp.startCommands() >= atLeast, "start commands: " + warmUp.startCommands());
            assertEquals(leads, warmUp.startCommands() == 0);
        } finally {
            vertx.close();
        }
    }
}
