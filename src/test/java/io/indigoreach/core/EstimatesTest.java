package io.indigoreach.core;

import static io.indigoreach.core.World.at;
import static io.indigoreach.core.World.spec;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.BitSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A job ends with its slowest task. Guards against arrays whose first tasks met an aim that the last one, at two or
 * three times the usual run time, then missed on every day.
 */
class EstimatesTest {
    @ParameterizedTest
    @CsvSource({"1, 20", "9, 30", "33, 36", "125, 42", "1000, 51"})
    void theLastOfManyTasksTakesLonger(int tasks, double seconds) {
        Job job = new Job(spec(1, tasks, 1, 20), 1, at(0), Stamp.ABSENT, new BitSet(), false);
        assertEquals(seconds, new Estimates().longest(job, 0.5).seconds(), 1);
    }

    @ParameterizedTest
    @CsvSource({"1, 20", "2, 98"})
    void theSpreadIsLearntFromWhatRan(double factor, double seconds) {
        Estimates estimates = new Estimates();
        Job seen = new Job(spec(1, 400, 1, 20), 1, at(0), Stamp.ABSENT, new BitSet(), false);
        for (int i = 0; i < 400; i++) {
            estimates.observe(seen, Span.seconds(20 * (i % 2 == 0 ? factor : 1 / factor)));
        }
        Job job = new Job(spec(2, 125, 1, 20), 1, at(0), Stamp.ABSENT, new BitSet(), false);
        estimates.observe(job, Span.seconds(20));
        estimates.observe(job, Span.seconds(20));
        estimates.observe(job, Span.seconds(20));
        assertEquals(seconds, estimates.longest(job, 0).seconds(), seconds / 8);
    }
}
