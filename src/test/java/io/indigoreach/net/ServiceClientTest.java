package io.indigoreach.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Span;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ServiceClientTest {
    /** Tasks that run during shutdown may still send requests; the client must return a failed future instead of throwing. */
    @Test
    void callAfterCloseFailsWithoutThrowing() throws Exception {
        Vertx vertx = Vertx.vertx();
        ServiceClient client = new ServiceClient(vertx, new Endpoint("127.0.0.1", 1), 1);
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        assertTrue(client.get("/", Span.seconds(1)).failed());
    }
}
