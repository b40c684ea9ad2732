package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.CancellationSimulation.DisabledGuard;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The state service refuses the leader alone, another controller tells users that jobs are cancelled, and then it answers nobody for
 * longer than {@code cancel_s}: those jobs' tasks are gone in time all the same, and as long as all controllers answer each other
 * nothing else is lost.
 */
public class CancellationSimulationTest {
    private static final int JOBS = 8;
    private static final int SEEDS = 1000;

    private static SafetyTimes safetyTimes(double leaseS, double heartbeatPeriodS, double cancellationTimeS) {
        return new SafetyTimes(
                Span.seconds(leaseS), Span.seconds(heartbeatPeriodS), Span.seconds(cancellationTimeS), Span.seconds(3));
    }

    /** {@code lost}: whether the work of all must go for it, as nobody is left who can say what was told. */
    @ParameterizedTest
    @CsvSource({
        // lease, report, cancel, told at, by, way, later, poll at, restart of, restarts at, silent, lost, what
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  -1, 0,  -1, false, told by another while the leader is refused",
        "12, 2, 32, 30.5, 1, 0.1, 0,   0,  -1, 0,  -1, false, the same with short leases",
        "22, 4, 27.5, 30.5, 1, 0.1, 0, 0,  -1, 0,  -1, false, where the difference hardly suffices",
        "22, 5, 42, 31.9, 1, 0.3, 0,   0,  -1, 0,  -1, false, the outage begins before the answer is there",
        "22, 5, 42, 30.5, 1, 0.1, 3,   0,  -1, 0,  -1, false, the node that knows stands still before it tells",
        "22, 5, 42, 29.9, 1, 0.1, 0,   0,  -1, 0,  -1, false, heard of by the last watch but not readable any more",
        "22, 5, 42, 30.5, 1, 0.1, 0,   40, -1, 0,  -1, false, told again by a node that remembers",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  1,  31, -1, true, who told has ended and started since",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  1,  45, -1, true, who told ends after its word: none answers for its last half second",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  2,  31, -1, true, another started: it might have told of some",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  -1, 0,  1, true, who told does not answer",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  0,  31, -1, true, the leader ends: the next one has no records",
        "22, 5, 42, 29,   0, 0.1, 0,   0,  -1, 0,  -1, false, told by the leader's own node just before",
    })
    void tasksOfConfirmedCancellationsEndInTime(
            double leaseS,
            double heartbeatPeriodS,
            double cancellationTimeS,
            double cancelledAt,
            int node,
            double responseDelay,
            double confirmationDelay,
            double queriedAt,
            int restartedNode,
            double restartsAt,
            int silentNode,
            boolean losesTasks,
            String description) {
        CancellationSimulation run = new CancellationSimulation(
                safetyTimes(leaseS, heartbeatPeriodS, cancellationTimeS), 3, JOBS, 7, DisabledGuard.NONE);
        run.refuseNode(30, 0, 14);
        run.beginOutage(32, 60);
        run.cancel(cancelledAt, node, CancellationSimulation.job(1), responseDelay, confirmationDelay);
        if (queriedAt > 0) {
            run.queryStatus(queriedAt, node, CancellationSimulation.job(1));
        }
        if (restartedNode >= 0) {
            run.restartNode(restartsAt, restartedNode, 0.2);
        }
        if (silentNode >= 0) {
            run.silenceNode(31, silentNode, 60);
        }
        run.runUntil(100);
        assertEquals(List.of(), run.violations, description);
        assertEquals(losesTasks, run.lostTasks > 0, description);
    }

    /**
     * Cancelled at the very moment at which the leader alone is refused, and the service is out a second later; the same twice more
     * before the first one's time is over, also just as the service returns to the others.
     */
    @ParameterizedTest
    @CsvSource({
        "22, 5, 42, 8, 1",
        "22, 5, 42, 20, -0.5",
        "12, 2, 32, 8, 0.3",
        "12, 2, 32, 12, -0.5",
        "22, 4, 29, 6, 0.5",
        "22, 5, 42, 60, 0"
    })
    void repeatedOutagesAtTheMomentOfCancellation(
            double leaseS, double heartbeatPeriodS, double cancellationTimeS, double outageS, double pauseS) {
        for (double offset = -0.2; offset < 1; offset += 0.05) {
            CancellationSimulation run = new CancellationSimulation(
                    safetyTimes(leaseS, heartbeatPeriodS, cancellationTimeS), 3, JOBS, 7, DisabledGuard.NONE);
            for (int round = 0; round < 3; round++) {
                double refusedAt = 30 + round * (1 + outageS + pauseS);
                run.refuseNode(refusedAt, 0, 3);
                run.beginOutage(refusedAt + 1, outageS);
                run.cancel(refusedAt + offset, 1, CancellationSimulation.job(2 * round), 0.01, 0);
                run.cancel(refusedAt + offset, 2, CancellationSimulation.job(2 * round + 1), 0.4, 0.5);
            }
            run.runUntil(30 + 3 * (2 + outageS) + 60);
            assertEquals(List.of(), run.violations, "at " + offset);
            assertEquals(0, run.lostTasks, "all controllers answer, at " + offset);
        }
    }

    /** How the old leader ends at 30 s. */
    private enum LeaderCondition {
        ANSWERING,
        REFUSED,
        PLEDGED,
        SILENT
    }

    /**
     * Cancelled in the seconds in which another leads, by any node, which ends in the same second or not; the service is whole,
     * or out before the next leader has read the records, or just after.
     */
    private static List<String> violationsAcrossHandover(LeaderCondition condition, DisabledGuard disabledGuard) {
        List<String> violations = new ArrayList<>();
        for (double outageAt : new double[] {200, 29.99, 30.25, 31}) {
            for (int variant = 0; variant < 120; variant++) {
                double cancelledAt = 28.5 + variant * 0.025;
                CancellationSimulation run =
                        new CancellationSimulation(safetyTimes(12, 2, 32), 3, JOBS, variant, disabledGuard);
                switch (condition) {
                    case REFUSED -> run.refuseNode(27, 0, 20);
                    case PLEDGED -> run.beginOutage(22, 7.9);
                    case SILENT -> run.silenceNode(29, 0, 20);
                    default -> {}
                }
                run.changeLeader(30, 1);
                run.beginOutage(outageAt, 60);
                run.cancel(cancelledAt, variant % 3, CancellationSimulation.job(1), 0.05, 0);
                run.cancel(cancelledAt, 2, CancellationSimulation.job(2), 0.05, 0.2);
                if (variant / 3 % 2 == 0) {
                    run.restartNode(cancelledAt + 0.06 + (variant % 5) * 0.2, 2, 0.3);
                }
                violations.addAll(run.runUntil(140).violations);
            }
        }
        return violations;
    }

    @ParameterizedTest
    @EnumSource(LeaderCondition.class)
    void cancellationsDuringAChangeOfLeader(LeaderCondition condition) {
        assertEquals(List.of(), violationsAcrossHandover(condition, DisabledGuard.NONE));
        for (DisabledGuard guard : List.of(DisabledGuard.MAX_CANCELLATION_AGE, DisabledGuard.CANCELLED_JOB_IDS)) {
            assertFalse(violationsAcrossHandover(condition, guard).isEmpty(), "without " + guard);
        }
    }

    /** Troubles of all kinds, one on the other; each guard that is left out is missed in some run. */
    private static CancellationSimulation randomRun(long seed, DisabledGuard disabledGuard) {
        return randomRun(seed, disabledGuard, EffectListener.NONE);
    }

    public static CancellationSimulation randomRun(long seed, DisabledGuard disabledGuard, EffectListener effects) {
        Random random = new Random(seed);
        double[][] times = {{22, 5, 42}, {12, 2, 32}, {22, 4, 47}, {22, 4, 29}};
        double[] chosenTimes = times[random.nextInt(times.length)];
        int nodes = random.nextBoolean() ? 3 : 5;
        CancellationSimulation run = new CancellationSimulation(
                safetyTimes(chosenTimes[0], chosenTimes[1], chosenTimes[2]), nodes, JOBS, seed, disabledGuard);
        run.effects = effects;
        int leader = 0;
        double faultTime = 5;
        for (int round = 0; round < 4; round++) {
            faultTime += random.nextDouble() * 40;
            if (random.nextInt(3) == 0) {
                leader = random.nextInt(nodes);
                run.changeLeader(faultTime - random.nextDouble() * 8, leader);
            }
            run.refuseNode(
                    faultTime, random.nextBoolean() ? leader : random.nextInt(nodes), 3 + random.nextDouble() * 30);
            run.beginOutage(faultTime + random.nextDouble() * 8, 5 + random.nextDouble() * 80);
            if (random.nextInt(4) == 0) {
                run.silenceNode(faultTime + random.nextDouble() * 8, random.nextInt(nodes), random.nextDouble() * 40);
            }
            boolean burst = random.nextBoolean();
            for (int cancellation = 0; cancellation < (burst ? 4 : 2); cancellation++) {
                JobId job = CancellationSimulation.job(random.nextInt(JOBS));
                int node = random.nextInt(nodes);
                double cancelledAt = faultTime - (burst ? 4 : 0.5) + random.nextDouble() * (burst ? 4 : 8);
                run.cancel(
                        cancelledAt,
                        node,
                        job,
                        random.nextDouble() * 0.5,
                        random.nextInt(4) == 0 ? random.nextDouble() * 5 : 0);
                run.queryStatus(cancelledAt + random.nextDouble() * 20, random.nextInt(nodes), job);
                if (random.nextInt(3) == 0) {
                    run.restartNode(
                            cancelledAt + random.nextDouble() * 3,
                            random.nextBoolean() ? node : random.nextInt(nodes),
                            random.nextDouble());
                }
            }
        }
        return run.runUntil(300);
    }

    @Test
    void randomRunsEndTasksInTime() {
        int stopsByPeerAnswers = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            CancellationSimulation run = randomRun(seed, DisabledGuard.NONE);
            assertEquals(List.of(), run.violations, "seed " + seed);
            stopsByPeerAnswers += run.stopsByPeerAnswers;
        }
        assertTrue(
                stopsByPeerAnswers > 100,
                "the word of other controllers was hardly ever needed: " + stopsByPeerAnswers);
    }

    @ParameterizedTest
    @EnumSource(value = DisabledGuard.class, mode = EnumSource.Mode.EXCLUDE, names = "NOTHING")
    void eachDisabledGuardViolatesTheRule(DisabledGuard disabledGuard) {
        for (long seed = 0; seed < SEEDS; seed++) {
            if (!randomRun(seed, disabledGuard).violations.isEmpty()) {
                return;
            }
        }
        throw new AssertionError("no seed misses " + disabledGuard);
    }
}
