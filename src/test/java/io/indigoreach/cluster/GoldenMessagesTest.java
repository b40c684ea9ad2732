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

/** Pledges and told cancellations as the version in production words them, both ways. */
class GoldenMessagesTest {
    private static final String FILE = "pledges.txt";

    private static ProductionSample answer(boolean pledged, Set<JobId> told) {
        PeerPromises said = new PeerPromises(pledged, new CancellationSummary(told, Span.seconds(7)));
        return new ProductionSample(said.write(Span.seconds(2)), PeerPromises::read, said);
    }

    static Map<String, ProductionSample> all() {
        Map<String, ProductionSample> all = new LinkedHashMap<>();
        all.put(
                "question",
                new ProductionSample(
                        PeerPromises.writeRequest(Span.seconds(7)), PeerPromises::readRequest, Span.seconds(7)));
        all.put("no pledge, nothing told", answer(false, Set.of()));
        all.put("pledge, one told", answer(true, Set.of(new JobId("run-000398"))));
        return all;
    }

    static Set<String> names() {
        return all().keySet();
    }

    @ParameterizedTest
    @MethodSource("names")
    void whatProductionSaidIsReadAndSaidInTheSameWords(String name) {
        ProductionSample golden = all().get(name);
        String line = ProductionSample.load(FILE).get(name);
        Fields said = ProductionSample.fields(line);
        assertEquals(golden.value(), golden.read().apply(said));
        assertEquals(line, golden.hex());
    }

    @Test
    void everyLineIsTested() {
        assertEquals(List.copyOf(ProductionSample.load(FILE).keySet()), new ArrayList<>(names()));
    }
}
