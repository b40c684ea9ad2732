package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The protocol's rules hold in random runs. Runs with one guard disabled show that the checks detect violations. */
class RandomSimulationTest {
    /**
     * The last three seeds found copies of heartbeats that made a leader adopt machines which were answered before the
     * records were read.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 50, 82, 100})
    void noRuleIsBroken(long seed) {
        RandomSimulation run = new RandomSimulation(seed, RandomSimulation.Without.NOTHING);
        run.play();
        assertEquals(List.of(), run.broken());
        assertTrue(run.starts() > 100, "too little happened: " + run.starts());
        assertTrue(run.replicaStarts() > 5, "too few replicas: " + run.replicaStarts());
        assertTrue(run.completedJobs() > 0, "no job was completed");
    }

    @ParameterizedTest
    @EnumSource(
            value = RandomSimulation.Without.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NOTHING", "OWN_TOKEN", "MACHINE_RECORD", "ORDERS_IN_ANSWERS", "STOPS_BEFORE_RECONCILIATION"})
    void theRulesBreakWithoutTheirGuards(RandomSimulation.Without guard) {
        assertTrue(LongStream.rangeClosed(1, 12).anyMatch(seed -> {
            RandomSimulation run = new RandomSimulation(seed, guard);
            run.play();
            return !run.broken().isEmpty();
        }));
    }

    /**
     * Runs with all optional faults that span a change of leader. Leaderships are long enough for tasks to complete.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void noRuleIsBrokenWhereTroublesReachTheNextLeader(long seed) {
        RandomSimulation run = new RandomSimulation(
                seed,
                RandomSimulation.Without.NOTHING,
                EnumSet.complementOf(EnumSet.of(RandomSimulation.Trouble.SHORT_LEADERSHIPS)));
        run.play();
        assertEquals(List.of(), run.broken());
        assertTrue(run.starts() > 100, "too little happened: " + run.starts());
        assertTrue(run.completedJobs() > 0, "no job was completed");
    }

    /**
     * Leaderships are shorter than a heartbeat period, while jobs are cancelled. Each answer is checked by itself,
     * because such a leader does not get to answer a machine a second time.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void noRuleIsBrokenUnderShortLeaderships(long seed) {
        RandomSimulation run = new RandomSimulation(
                seed, RandomSimulation.Without.NOTHING, EnumSet.of(RandomSimulation.Trouble.SHORT_LEADERSHIPS));
        run.play();
        assertEquals(List.of(), run.broken());
        assertTrue(run.starts() > 50, "too little happened: " + run.starts());
    }

    /**
     * Each optional fault alone, and late commands outside heartbeat answers, lead to a violation if the guard is
     * disabled.
     */
    @ParameterizedTest
    @CsvSource({
        "KEPT_REPORTS, OWN_TOKEN, ran_twice",
        "KEPT_REPORTS, REPORT_NUMBER, adopted from a copy",
        "MUTE_MACHINES, LEASE_BOUND, ran_twice",
        "MUTE_MACHINES, ANSWERED_RETURN, ran_twice",
        "LAGGING_WRITES, MACHINE_RECORD, started on an unrecorded machine",
        "LAGGING_WRITES, START_BOUND, ran_twice",
        "LAGGING_WRITES, RECORD_BEFORE_REAP, started after its result was reaped",
        "SHORT_LEADERSHIPS, STOPS_BEFORE_RECONCILIATION, renewed_cancelled",
        "SHORT_LEADERSHIPS, STOPS_BEFORE_RECONCILIATION, ran_cancelled",
        "MUTE_MACHINES, ORDERS_IN_ANSWERS, ran_twice",
        "MUTE_MACHINES, ORDERS_IN_ANSWERS, started after its result was reaped"
    })
    void eachTroubleFindsTheGuardThatIsLeftOut(
            RandomSimulation.Trouble trouble, RandomSimulation.Without guard, String rule) {
        assertTrue(LongStream.rangeClosed(1, 12).anyMatch(seed -> {
            RandomSimulation run = new RandomSimulation(seed, guard, EnumSet.of(trouble));
            run.play();
            return run.broken().stream().anyMatch(line -> line.contains(rule));
        }));
    }
}
