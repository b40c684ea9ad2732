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
            names = {"NONE", "OWN_TOKEN", "MACHINE_RECORD", "COMMANDS_IN_ANSWERS", "STOPS_BEFORE_RECONCILIATION"})
    void eachDisabledGuardViolatesARule(RandomSimulation.DisabledGuard guard) {
        assertTrue(LongStream.rangeClosed(1, 12).anyMatch(seed -> {
            RandomSimulation run = new RandomSimulation(seed, guard);
            run.run();
            return !run.violations().isEmpty();
        }));
    }

    /**
     * Runs with all optional faults that span a change of leader. Leaderships are long enough for tasks to complete.
     */
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
     * Leaderships are shorter than a heartbeat period, while jobs are cancelled. Each answer is checked by itself,
     * because such a leader does not get to answer a machine a second time.
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

    /**
     * If the guard is disabled, each optional fault by itself causes a violation, and so do late commands that are not
     * sent in heartbeat responses.
     */
    @ParameterizedTest
    @CsvSource({
        "DELAYED_HEARTBEATS, OWN_TOKEN, ran_twice",
        "DELAYED_HEARTBEATS, HEARTBEAT_NUMBER, adopted from a copy",
        "UNREACHABLE_MACHINES, LEASE_BOUND, ran_twice",
        "UNREACHABLE_MACHINES, CONFIRMED_RETURN, ran_twice",
        "LAGGING_WRITES, MACHINE_RECORD, started on an unrecorded machine",
        "LAGGING_WRITES, START_BOUND, ran_twice",
        "LAGGING_WRITES, RECORD_BEFORE_REAP, started after its result was reaped",
        "SHORT_LEADERSHIPS, STOPS_BEFORE_RECONCILIATION, renewed_cancelled",
        "SHORT_LEADERSHIPS, STOPS_BEFORE_RECONCILIATION, ran_cancelled",
        "UNREACHABLE_MACHINES, COMMANDS_IN_ANSWERS, ran_twice",
        "UNREACHABLE_MACHINES, COMMANDS_IN_ANSWERS, started after its result was reaped"
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
