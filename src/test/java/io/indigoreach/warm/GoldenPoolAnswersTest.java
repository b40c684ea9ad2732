package io.indigoreach.warm;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenHttp;
import io.indigoreach.GoldenSamples;
import io.indigoreach.api.HttpApi;
import io.indigoreach.cloud.Catalogue;
import io.indigoreach.cloud.CloudClient;
import io.indigoreach.cluster.PartRegistry;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.config.Settings;
import io.indigoreach.config.SettingsFile;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.warm.PoolStatus;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.ServiceClient;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.parts.Parts;
import io.indigoreach.state.CatalogueRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.indigoreach.state.StateStandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What people are answered of pools over HTTP. */
class GoldenPoolAnswersTest {
    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private static PlatformConfig config() {
        return new PlatformConfig(
                "a",
                "z",
                null,
                null,
                List.of(),
                null,
                null,
                List.of("z"),
                Span.ZERO,
                List.of(new Team("vision", 0, 0, 0, 0), new Team("other", 0, 0, 0, 0)),
                List.of(),
                null,
                new PlatformConfig.StateLimits(1000, 1000, 8192, 12),
                null,
                100);
    }

    private static Map<String, Object> pool(String field, Object value) {
        Map<String, Object> pool = MessagePackFormat.map(
                "team",
                "vision",
                "image",
                "img-07",
                "gb",
                6.2,
                "cores",
                2.0,
                "types",
                List.of("quad"),
                "least",
                2L,
                "most",
                40L,
                "windows",
                List.of(List.of("08:30", "10:00", 12.5)));
        pool.put(field, value);
        return pool;
    }

    @Test
    void whatPeopleAreAnswered() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            StateStandIn state = await(new StateStandIn().listen(vertx));
            StateClient client = new StateClient(
                    new ServiceClient(vertx, state.endpoint(), 8), new ServiceClient(vertx, state.endpoint(), 1));
            await(client.commit(new StateClient.Txn()
                    .put(RecordKeys.CATALOGUE, CatalogueRecordCodec.writeCatalogue(GoldenSamples.MACHINE_TYPES))));
            Settings settings = SettingsFile.parse("test", "warm_pools: 1");
            Catalogue catalogue =
                    new Catalogue(vertx, client, new CloudClient(new ServiceClient(vertx, state.endpoint(), 1)));
            Parts parts = Parts.of(
                    PartRegistry.enabled(settings), vertx, client, new SteadyClock(), catalogue, config(), settings);
            HttpApi door = new HttpApi(new HttpApi.Context(
                    vertx, new Endpoint("127.0.0.1", 0), null, null, () -> true, parts.resources()));
            answers(new Endpoint("127.0.0.1", await(door.open())), client, catalogue);
        } finally {
            await(vertx.close());
        }
    }

    private static void answers(Endpoint node, StateClient client, Catalogue catalogue) throws Exception {
        GoldenFile golden = new GoldenFile("pools-http.txt");
        golden.expectText("set before the types are known", set(node, "model-a", "least", 2L));
        catalogue.start();
        while (!catalogue.isKnown()) {
            Thread.onSpinWait();
        }
        golden.expectText("no pools", GoldenHttp.get(node, "/api/pools"))
                .expectText("set", set(node, "model-a", "least", 2L))
                .expectText("set again", set(node, "model-a", "least", 2L))
                .expectText("set anew", set(node, "model-a", "least", 3L))
                .expectText("set at another version", set(node, "model-a", "if_version", 1L))
                .expectText("set for another team", set(node, "model-a", "team", "other"))
                .expectText("set for an unknown team", set(node, "model-b", "team", "nobody"))
                .expectText("set of an unknown type", set(node, "model-b", "types", List.of("none")))
                .expectText("set of too large an image", set(node, "model-b", "gb", 41.0))
                .expectText("set of a malformed field", set(node, "model-b", "gb", "much"))
                .expectText("set of a malformed name", set(node, "Model", "least", 2L))
                .expectText("listed", GoldenHttp.get(node, "/api/pools"))
                .expectText("listed after the last", GoldenHttp.get(node, "/api/pools?after=model-a"))
                .expectText("explained before it is planned", GoldenHttp.get(node, "/api/pools/model-a"))
                .expectText("no pool", GoldenHttp.get(node, "/api/pools/model-z"))
                .expectText("no path", GoldenHttp.get(node, "/api/pools/a/b"));
        Map<String, Object> sheet = MessagePackFormat.map(
                "lines",
                List.of(List.of("vm-1", "quad", "a", true, 1L, 2L, "model-a", "vision", "img-07", 6.2, 8L)),
                "sums",
                List.of(List.of("model-a", "vision", 1.25), List.of("", "", 0.5)),
                "v",
                4L);
        Map<String, Object> told =
                PoolCodec.write(new PoolStatus("model-a", 12, "two bursts", 10, 8, 2, 300, 4, 0.125));
        told.put("v", 9L);
        await(client.commit(
                new StateClient.Txn().put(PoolRecords.sheet(0), sheet).put(PoolRecords.TOLD + "model-a", told)));
        golden.expectText("explained", GoldenHttp.get(node, "/api/pools/model-a"))
                .expectText("who pays", GoldenHttp.get(node, "/api/pools?sums=1"));
        golden.verify();
    }

    private static String set(Endpoint node, String name, String field, Object value) throws Exception {
        return GoldenHttp.post(node, "/api/pools/" + name, pool(field, value));
    }
}
