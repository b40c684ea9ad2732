package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.indigoreach.core.leadership.CancellationSummary;
import io.indigoreach.core.leadership.ConfirmedCancellations;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A malformed response is no pledge, and never means "nothing was cancelled"; responses of the previous version keep their meaning. */
class PeerPromisesTest {
    private static Fields wire(Map<String, Object> message) {
        return MessagePackFormat.readMap(MessagePackFormat.write(message));
    }

    @Test
    void responseIsReadAsItWasWritten() {
        PeerPromises written = new PeerPromises(
                true, new CancellationSummary(Set.of(new JobId("run-1"), new JobId("run-22")), Span.seconds(7)));
        assertEquals(written, PeerPromises.read(wire(written.write(Span.seconds(2)))));
        assertEquals(Span.seconds(7), PeerPromises.readRequest(wire(PeerPromises.writeRequest(Span.seconds(7)))));
    }

    /** A leader of the previous version reads these fields, and a node of that version writes no others. */
    @Test
    void previousVersionReadsAndWritesTheTimeSinceTheLastCancellation() {
        Fields toPreviousVersion =
                wire(new PeerPromises(true, new CancellationSummary(Set.of(new JobId("run-1")), Span.seconds(7)))
                        .write(Span.seconds(2)));
        assertEquals(
                List.of(true, 2000L),
                List.of(toPreviousVersion.flag("pledged", false), toPreviousVersion.wholeNumber("quiet_ms")));
        assertEquals(
                new PeerPromises(true, new CancellationSummary(Set.of(), Span.seconds(2))),
                PeerPromises.read(wire(Map.of("pledged", true, "quiet_ms", 2000L))));
        assertEquals(Span.ZERO, PeerPromises.readRequest(wire(Map.of())));
    }

    static Stream<Map<String, Object>> malformedResponses() {
        List<String> tooMany = new ArrayList<>();
        for (int number = 0; number <= ConfirmedCancellations.MAX_REMEMBERED; number++) {
            tooMany.add("run-" + number);
        }
        return Stream.of(
                Map.of("cancelled", List.of("no id")),
                Map.of("cancelled", List.of(5L)),
                Map.of("cancelled", "run-1"),
                Map.of("cancelled", tooMany, "covered_ms", 5000L),
                Map.of("pledged", "yes"),
                Map.of("cancelled", List.of(), "covered_ms", "long"),
                Map.of("quiet_ms", "long"));
    }

    @ParameterizedTest
    @MethodSource("malformedResponses")
    void malformedResponseIsRejected(Map<String, Object> answer) {
        assertThrows(WireException.class, () -> PeerPromises.read(wire(answer)));
    }
}
