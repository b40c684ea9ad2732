package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.leadership.CancellationSummary;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.state.Golden;
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

    private static Golden pledgeResponse(boolean pledged, Set<JobId> cancelled) {
        PledgeResponse response = new PledgeResponse(pledged, new CancellationSummary(cancelled, Span.seconds(7)));
        return new Golden(response.write(Span.seconds(2)), PledgeResponse::read, response);
    }

    static Map<String, Golden> all() {
        Map<String, Golden> all = new LinkedHashMap<>();
        all.put(
                "question",
                new Golden(PledgeResponse.writeRequest(Span.seconds(7)), PledgeResponse::readRequest, Span.seconds(7)));
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
        Golden golden = all().get(name);
        String line = Golden.load(FILE).get(name);
        Fields encoded = Golden.fields(line);
        assertEquals(golden.value(), golden.read().apply(encoded));
        assertEquals(line, golden.hex());
    }

    @Test
    void everyGoldenLineIsTested() {
        assertEquals(List.copyOf(Golden.load(FILE).keySet()), new ArrayList<>(names()));
    }
}
