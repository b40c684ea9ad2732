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

/** The rules hold in random runs; that the check can fail is shown by runs with one guard taken out. */
class RandomSimulationTest {
    /** The last three found copies that raised machines which were answered before the records were read. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 50, 82, 100})
    void rulesHoldInRandomRuns(long seed) {
        RandomSimulation run = new RandomSimulation(seed, RandomSimulation.DisabledGuard.NONE);
        run.run();
        assertEquals(List.of(), run.violations());
        assertTrue(run.startCount() > 100, "too little happened: " + run.startCount());
        assertTrue(run.replicaStartCount() > 5, "too few replicas: " + run.replicaStartCount());
        assertTrue(run.completedJobs() > 0, "no job was completed");
    }

    @ParameterizedTest
    @EnumSource(
            value = RandomSimulation.DisabledGuard.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"NOTHING", "OWN_TOKEN", "MACHINE_RECORD", "ORDERS_IN_ANSWERS", "STOPS_BEFORE_RECONCILIATION"})
    void eachDisabledGuardViolatesARule(RandomSimulation.DisabledGuard guard) {
        assertTrue(LongStream.rangeClosed(1, 12).anyMatch(seed -> {
            RandomSimulation run = new RandomSimulation(seed, guard);
            run.run();
            return !run.violations().isEmpty();
        }));
    }

    /** The same with the troubles that reach from one leader to the next, all together; leaderships are long enough for work to be done. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void rulesHoldWithFaultsAcrossLeaders(long seed) {
        RandomSimulation run = new RandomSimulation(
                seed,
                RandomSimulation.DisabledGuard.NONE,
                EnumSet.complementOf(EnumSet.of(RandomSimulation.Fault.SHORT_LEADERSHIPS)));
        run.run();
        assertEquals(List.of(), run.violations());
        assertTrue(run.startCount() > 100, "too little happened: " + run.startCount());
        assertTrue(run.completedJobs() > 0, "no job was completed");
    }

    /**
     * Leaders that live for less than a heartbeat's period, while jobs are cancelled. Each answer is judged by itself, as such a leader
     * has no second one to make up for it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void rulesHoldUnderShortLeaderships(long seed) {
        RandomSimulation run = new RandomSimulation(
                seed, RandomSimulation.DisabledGuard.NONE, EnumSet.of(RandomSimulation.Fault.SHORT_LEADERSHIPS));
        run.run();
        assertEquals(List.of(), run.violations());
        assertTrue(run.startCount() > 50, "too little happened: " + run.startCount());
    }

    /** Each of them alone, and late direct commands, find the guard that is left out. */
    @ParameterizedTest
    @CsvSource({
        "KEPT_REPORTS, OWN_TOKEN, ran_twice",
        "KEPT_REPORTS, REPORT_NUMBER, raised",
        "MUTE_MACHINES, LEASE_BOUND, ran_twice",
        "MUTE_MACHINES, ANSWERED_RETURN, ran_twice",
        "LAGGING_WRITES, MACHINE_RECORD, started on a machine in no record",
        "LAGGING_WRITES, START_BOUND, ran_twice",
        "LAGGING_WRITES, RECORD_BEFORE_REAP, started after its result was reaped",
        "SHORT_LEADERSHIPS, STOPS_BEFORE_RECONCILIATION, renewed_cancelled",
        "SHORT_LEADERSHIPS, STOPS_BEFORE_RECONCILIATION, ran_cancelled",
        "MUTE_MACHINES, ORDERS_IN_ANSWERS, ran_twice",
        "MUTE_MACHINES, ORDERS_IN_ANSWERS, started after its result was reaped"
    })
    void eachFaultDetectsItsDisabledGuard(
            RandomSimulation.Fault fault, RandomSimulation.DisabledGuard guard, String violation) {
        assertTrue(LongStream.rangeClosed(1, 12).anyMatch(seed -> {
            RandomSimulation run = new RandomSimulation(seed, guard, EnumSet.of(fault));
            run.run();
            return run.violations().stream().anyMatch(line -> line.contains(violation));
        }));
    }
}
