package io.indigoreach.core;

import static io.indigoreach.core.World.at;
import static io.indigoreach.core.World.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A job that arrived at 0 with tasks of 20 s, to be finished in 150 s, or else in 250 s: by when it should start. */
class AimsTest {
    @ParameterizedTest
    @CsvSource({
        "0,   1,  130, the first aim",
        "131, 1,  230, the first is missed",
        "40,  5,  130, five rounds still do",
        "60,  5,  230, five rounds are too many for the first",
        "0,   20, 600, out of reach of both however soon it starts",
        "240, 1,  600, both are missed"
    })
    void aimsOutOfReachGiveNoPrecedence(double now, int rounds, double latest, String why) {
        Aims aims = new Aims(
                List.of(new Aims.Aim("c", false, Span.seconds(250)), new Aims.Aim("c", false, Span.seconds(150))));
        Job job = new Job(spec(1, 9, 1, 20), 1, at(0), Stamp.ABSENT, new BitSet(), 99, false);
        assertEquals(at(latest), aims.latestStart(job, Span.seconds(20), rounds, at(now)), why);
    }
}
