package io.indigoreach.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.config.PlatformConfig;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.state.ProductionSample;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * What controllers ask of each other: a node answers each question of the version in production with the status and the fields
 * that a node of production answered it with. A question that is not known gets 404, which counts as no answer.
 */
class GoldenRoutesTest {
    private static final Map<String, Map<String, Object>> QUESTIONS = new LinkedHashMap<>();

    static {
        QUESTIONS.put("/standing", null);
        QUESTIONS.put("/knows?id=run-1", null);
        QUESTIONS.put("/recall?id=run-1", null);
        QUESTIONS.put("/remains?part=0", null);
        QUESTIONS.put("/pledge", MessagePackFormat.map("back_ms", 7000L));
        QUESTIONS.put("/loss", MessagePackFormat.map("era", 0L));
        QUESTIONS.put("/handover", MessagePackFormat.map("stamp", 1L));
        QUESTIONS.put("/not-known", null);
    }

    /** The status and the bytes of each answer. */
    static Map<String, String> answers() throws Exception {
        try (LocalCluster cluster = new LocalCluster(3, "")) {
            PlatformConfig config = cluster.emulator.nodes().get(0);
            cluster.start(config);
            HttpClient client = cluster.vertx.createHttpClient();
            Map<String, String> answers = new LinkedHashMap<>();
            for (Map.Entry<String, Map<String, Object>> q : QUESTIONS.entrySet()) {
                answers.put(q.getKey(), ask(client, config, q.getKey(), q.getValue()));
            }
            return answers;
        }
    }

    private static String ask(HttpClient client, PlatformConfig config, String path, Map<String, Object> body)
            throws Exception {
        HttpMethod method = body == null ? HttpMethod.GET : HttpMethod.POST;
        Buffer sent = body == null ? Buffer.buffer() : MessagePackFormat.write(body);
        // The body is asked for on the event loop as the response arrives: asked for later, it may have been discarded.
        return LocalCluster.await(client.request(
                        method, config.peerListen().port(), config.peerListen().host(), path)
                .compose(request -> request.send(sent).compose(GoldenRoutesTest::read)));
    }

    private static Future<String> read(HttpClientResponse response) {
        return response.body().map(bytes -> response.statusCode() + ":" + ProductionSample.hex(bytes));
    }

    /** An answer's status, and its fields with their types: their values are those of the moment. */
    private static String shape(String answer) {
        String[] parts = answer.split(":", 2);
        Map<String, String> types = new TreeMap<>();
        Fields fields = ProductionSample.fields(parts[1]);
        fields.map().forEach((k, v) -> types.put(k, v.getClass().getSimpleName()));
        return parts[0] + " " + types;
    }

    @Test
    void everyQuestionOfProductionsIsAnsweredAsProductionDoes() throws Exception {
        Map<String, String> now = answers();
        Map<String, String> then = ProductionSample.load("routes.txt");
        assertEquals(then.keySet(), now.keySet());
        then.forEach((question, answer) -> assertEquals(shape(answer), shape(now.get(question)), question));
    }
}
