package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.leadership.CancellationSummary;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.state.ProductionSample;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that pledge messages are compatible with the production version, when read and when written. */
class ProductionPledgeMessagesTest {
    private static final String FILE = "pledges.txt";

    private static ProductionSample pledgeResponse(boolean pledged, Set<JobId> cancelled) {
        PledgeResponse response = new PledgeResponse(pledged, new CancellationSummary(cancelled, Span.seconds(7)));
        return new ProductionSample(response.write(Span.seconds(2)), PledgeResponse::read, response);
    }

    static Map<String, ProductionSample> all() {
        Map<String, ProductionSample> all = new LinkedHashMap<>();
        all.put(
                "question",
                new ProductionSample(
                        PledgeResponse.writeRequest(Span.seconds(7)), PledgeResponse::readRequest, Span.seconds(7)));
        all.put("no pledge, nothing told", pledgeResponse(false, Set.of()));
        all.put("pledge, one told", pledgeResponse(true, Set.of(new JobId("run-000398"))));
        return all;
    }

    static Set<String> names() {
        return all().keySet();
    }

    @ParameterizedTest
    @MethodSource("names")
    void readsAndWritesProductionEncoding(String name) {
        ProductionSample golden = all().get(name);
        String line = ProductionSample.load(FILE).get(name);
        Fields encoded = ProductionSample.fields(line);
        assertEquals(golden.value(), golden.read().apply(encoded));
        assertEquals(line, golden.hex());
    }

    @Test
    void everyGoldenLineIsTested() {
        assertEquals(List.copyOf(ProductionSample.load(FILE).keySet()), new ArrayList<>(names()));
    }
}
