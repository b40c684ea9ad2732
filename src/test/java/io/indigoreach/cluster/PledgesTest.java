package io.indigoreach.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.indigoreach.core.CancellationWord;
import io.indigoreach.core.JobId;
import io.indigoreach.core.Span;
import io.indigoreach.core.ToldCancellations;
import io.indigoreach.net.Fields;
import io.indigoreach.net.Wire;
import io.indigoreach.net.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** What cannot be read is no pledge, and never "nothing was cancelled"; nodes of the version before keep their meaning. */
class PledgesTest {
    private static Fields wire(Map<String, Object> message) {
        return Wire.readMap(Wire.write(message));
    }

    @Test
    void anAnswerIsReadAsItWasWritten() {
        Pledges said = new Pledges(
                true, new CancellationWord(Set.of(new JobId("run-1"), new JobId("run-22")), Span.seconds(7)));
        assertEquals(said, Pledges.read(wire(said.write(Span.seconds(2)))));
        assertEquals(Span.seconds(7), Pledges.asked(wire(Pledges.ask(Span.seconds(7)))));
    }

    /** A leader of the version before reads these fields, and a node of that version writes no others. */
    @Test
    void theVersionBeforeKeepsItsBackstop() {
        Fields toOlder = wire(new Pledges(true, new CancellationWord(Set.of(new JobId("run-1")), Span.seconds(7)))
                .write(Span.seconds(2)));
        assertEquals(List.of(true, 2000L), List.of(toOlder.flag("pledged", false), toOlder.whole("quiet_ms")));
        assertEquals(
                new Pledges(true, new CancellationWord(Set.of(), Span.seconds(2))),
                Pledges.read(wire(Map.of("pledged", true, "quiet_ms", 2000L))));
        assertEquals(Span.ZERO, Pledges.asked(wire(Map.of())));
    }

    static Stream<Map<String, Object>> spoilt() {
        List<String> tooMany = new ArrayList<>();
        for (int n = 0; n <= ToldCancellations.MOST; n++) {
            tooMany.add("run-" + n);
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
    @MethodSource("spoilt")
    void whatCannotBeReadIsRefused(Map<String, Object> answer) {
        assertThrows(WireException.class, () -> Pledges.read(wire(answer)));
    }
}
