package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.Settings;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Vertx;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What it is for is compiled only if it runs: starts are ordered and ended again and again, and none where the node leads. */
class WarmUpTest {
    @ParameterizedTest
    @CsvSource({"false, 100", "true, 0"})
    void ordersStartsUntilTheNodeLeads(boolean leads, int least) throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            WarmUp warmUp = new WarmUp(
                    NodeContext.builder()
                            .vertx(vertx)
                            .clock(new SteadyClock())
                            .config(LeaderHarness.config())
                            .settings(Settings.standard())
                            .lease(Span.seconds(10))
                            .build(),
                    () -> leads);
            for (int n = 0; n < 400; n++) {
                warmUp.step();
            }
            assertTrue(warmUp.ordered() >= least, "ordered: " + warmUp.ordered());
            assertEquals(leads, warmUp.ordered() == 0);
        } finally {
            vertx.close();
        }
    }
}
