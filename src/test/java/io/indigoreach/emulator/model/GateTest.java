package io.indigoreach.emulator.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.config.ConfigException;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Verdict.Fate;
import io.indigoreach.scenario.Fault;
import io.indigoreach.scenario.TextForm;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which message meets which fault. */
class GateTest {
    private static final Moment T = new Moment(500);

    private static Gate gate(String... faults) throws ConfigException {
        List<Fault> list = new java.util.ArrayList<>();
        for (String f : faults) {
            list.add(TextForm.parse("f", f, Fault.class));
        }
        return new Gate(list, new SplittableRandom(1), T);
    }

    @ParameterizedTest
    @CsvSource(quoteCharacter = '\'', delimiter = '|', textBlock = """
            kind: refuse at_s: 5 for_s: 2                            | 4.9 | node-0 | state | true  | PASS
            kind: refuse at_s: 5 for_s: 2                            | 5   | node-0 | state | true  | REFUSE
            kind: refuse at_s: 5 for_s: 2                            | 7   | node-0 | state | true  | PASS
            kind: refuse at_s: 0 for_s: 9 from: 'node-1'             | 5   | node-0 | state | true  | PASS
            kind: refuse at_s: 0 for_s: 9 from: 'node-1'             | 5   | node-1 | cloud | false | REFUSE
            kind: lose_answer at_s: 0 for_s: 9 writes: true          | 5   | node-1 | state | false | PASS
            kind: lose_answer at_s: 0 for_s: 9 writes: true          | 5   | node-1 | state | true  | LOSE_ANSWER
            kind: reset at_s: 0 for_s: 9 to: 'cloud'                 | 5   | node-1 | state | true  | PASS
            kind: hold at_s: 0 for_s: 9 to: 'state'                  | 5   | node-1 | state | true  | HOLD
            kind: outage at_s: 0 for_s: 9 to: 'state'                | 5   | node-1 | state | false | REFUSE
            kind: kill at_s: 0 for_s: 9 to: 'node-1'                 | 5   | users  | node-1 | true | PASS
            """)
    void judges(String fault, double at, String from, String to, boolean writes, Fate fate) throws ConfigException {
        assertEquals(
                fate,
                gate(fault.replace('\'', '"'))
                        .judge(T.plus(Span.seconds(at)), from, to, writes)
                        .fate());
    }

    @Test
    void addsSlownessAndAge() throws ConfigException {
        Gate gate = gate(
                "kind: slow at_s: 0 for_s: 9 delay_s: 2",
                "kind: stale at_s: 0 for_s: 9 behind: 4",
                "kind: slow at_s: 0 for_s: 9 delay_s: 2");
        for (int i = 0; i < 100; i++) {
            Verdict v = gate.judge(T, "a", "b", false);
            assertTrue(v.delay().seconds() >= 2 && v.delay().seconds() <= 6, v.toString());
            assertEquals(4, v.behind());
        }
    }

    @Test
    void hitsAShare() throws ConfigException {
        Gate gate = gate("kind: lose_request at_s: 0 for_s: 9 share: 0.3");
        int hit = 0;
        for (int i = 0; i < 1000; i++) {
            hit += gate.judge(T, "a", "b", false).fate() == Fate.LOSE_REQUEST ? 1 : 0;
        }
        assertTrue(hit > 240 && hit < 360, "" + hit);
    }

    /** A watch stays unanswered while its node is refused or held, not for a refusal of writes or of a part. */
    @Test
    void holdsWatches() throws ConfigException {
        Gate gate = gate(
                "kind: refuse at_s: 0 for_s: 5 from: \"node-0\" to: \"state\"",
                "kind: outage at_s: 2 for_s: 8 to: \"state\"",
                "kind: refuse at_s: 20 for_s: 9 writes: true",
                "kind: refuse at_s: 20 for_s: 9 share: 0.5");
        assertEquals(T.plus(Span.seconds(5)), gate.heldUntil(T, "node-0", "state"));
        assertEquals(T, gate.heldUntil(T, "node-1", "state"));
        assertEquals(T.plus(Span.seconds(10)), gate.heldUntil(T.plus(Span.seconds(3)), "node-1", "state"));
        assertEquals(T.plus(Span.seconds(21)), gate.heldUntil(T.plus(Span.seconds(21)), "node-1", "state"));
    }
}
