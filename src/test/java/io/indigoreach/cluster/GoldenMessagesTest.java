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
class GoldenMessagesTest {
    private static final String FILE = "pledges.txt";

    private static Golden answer(boolean pledged, Set<JobId> told) {
        PeerPromises said = new PeerPromises(pledged, new CancellationSummary(told, Span.seconds(7)));
        return new Golden(said.write(Span.seconds(2)), PeerPromises::read, said);
    }

    static Map<String, Golden> all() {
        Map<String, Golden> all = new LinkedHashMap<>();
        all.put(
                "question",
                new Golden(PeerPromises.writeRequest(Span.seconds(7)), PeerPromises::readRequest, Span.seconds(7)));
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
        Golden golden = all().get(name);
        String line = Golden.load(FILE).get(name);
        Fields said = Golden.fields(line);
        assertEquals(golden.value(), golden.read().apply(said));
        assertEquals(line, golden.hex());
    }

    @Test
    void everyLineIsTested() {
        assertEquals(List.copyOf(Golden.load(FILE).keySet()), new ArrayList<>(names()));
    }
}
