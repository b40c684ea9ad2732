package io.indigoreach.cluster;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An emulated state service, a client of it, and the context of leadership terms, for tests of what a leader reads and writes. */
final class TermFixture implements AutoCloseable {
    private static final Span LEASE = Span.seconds(10);

    final Vertx vertx = Vertx.vertx();
    final SteadyClock clock = new SteadyClock();
    final StateStandIn state;
    final StateClient client;

    TermFixture() throws Exception {
        state = await(new StateStandIn().listen(vertx));
        client = new StateClient(
                new ServiceClient(vertx, state.endpoint(), 4), new ServiceClient(vertx, state.endpoint(), 1));
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** A context without optional features; {@code nextLimits}: limits of the state service that are to come, as in the configuration. */
    NodeContext context(String nextLimits) throws Exception {
        return LeaderHarness.context(vertx, clock, client)
                .config(LeaderHarness.config(nextLimits))
                .lease(LEASE)
                .build();
    }

    NodeContext context() throws Exception {
        return context("");
    }

    /** A context with optional features. */
    NodeContext context(List<Parts.Definition> kinds) throws Exception {
        PlatformConfig config = LeaderHarness.config();
        Parts parts = Parts.of(kinds, vertx, client, clock, null, config, Settings.defaults());
        return LeaderHarness.context(vertx, clock, client)
                .config(config)
                .lease(LEASE)
                .parts(parts)
                .build();
    }

    /** Writes the leadership key, together with other records; the result is the key's revision. */
    Revision gainLeadership(long token, StateClient.Txn records) throws Exception {
        return await(client.commit(records.put(RecordKeys.LEADER, MessagePackFormat.map("t", token))))
                .writtenRevision();
    }

    Revision gainLeadership(long token) throws Exception {
        return gainLeadership(token, new StateClient.Txn());
    }

    @Override
    public void close() throws Exception {
        await(vertx.close());
    }
}
