package io.indigoreach.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The rules hold in random runs; that the check can fail is shown by runs with one guard taken out. */
class RandomRunTest {
    /** The last three found copies that raised machines which were answered before the records were read. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 50, 82, 100})
    void noRuleIsBroken(long seed) {
        RandomRun run = new RandomRun(seed, RandomRun.Without.NOTHING);
        run.play();
        assertEquals(List.of(), run.broken());
        assertTrue(run.starts() > 100, "too little happened: " + run.starts());
        assertTrue(run.replicaStarts() > 5, "too few replicas: " + run.replicaStarts());
        assertTrue(run.completedJobs() > 0, "no job was completed");
    }

    @ParameterizedTest
    @EnumSource(value = RandomRun.Without.class, mode = EnumSource.Mode.EXCLUDE, names = "NOTHING")
    void theRulesBreakWithoutTheirGuards(RandomRun.Without guard) {
        assertTrue(LongStream.rangeClosed(1, 12).anyMatch(seed -> {
            RandomRun run = new RandomRun(seed, guard);
            run.play();
            return !run.broken().isEmpty();
        }));
    }
}
