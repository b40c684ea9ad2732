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
 * The state service refuses only the leader while another controller confirms cancellations to users, and then serves
 * no node for longer than {@code cancel_s}. The cancelled jobs' tasks must end in time nevertheless, and no other tasks
 * are lost while all controllers answer each other.
 */
public class CancellationSimulationTest {
    private static final int JOBS = 8;
    private static final int SEEDS = 1000;

    private static SafetyTimes safetyTimes(double leaseS, double heartbeatPeriodS, double cancellationTimeS) {
        return new SafetyTimes(
                Span.seconds(leaseS), Span.seconds(heartbeatPeriodS), Span.seconds(cancellationTimeS), Span.seconds(3));
    }

    /**
     * {@code losesTasks}: whether all workers lose their tasks, because no reachable controller knows which cancellations
     * were confirmed.
     */
    @ParameterizedTest
    @CsvSource({
        // lease, heartbeat period, cancellation time, cancelled at, by node, delay, later, poll at, restarted node,
        // restarts at,
        // silent node, lost, case
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  -1, 0,  -1, false, confirmed by another node while the leader is refused",
        "12, 2, 32, 30.5, 1, 0.1, 0,   0,  -1, 0,  -1, false, the same with short leases",
        "22, 4, 27.5, 30.5, 1, 0.1, 0, 0,  -1, 0,  -1, false, cancellation time barely longer than the lease",
        "22, 5, 42, 31.9, 1, 0.3, 0,   0,  -1, 0,  -1, false, the outage begins before the answer arrives",
        "22, 5, 42, 30.5, 1, 0.1, 3,   0,  -1, 0,  -1, false, the node that knows pauses before it confirms",
        "22, 5, 42, 29.9, 1, 0.1, 0,   0,  -1, 0,  -1, false, seen by the last watch but the reason is no longer readable",
        "22, 5, 42, 30.5, 1, 0.1, 0,   40, -1, 0,  -1, false, confirmed again by a node that still knows",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  1,  31, -1, true, the confirming node has restarted since",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  1,  45, -1, true, the confirming node restarts after its answer: no node covers its last half second",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  2,  31, -1, true, a third node restarted: it might have confirmed others",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  -1, 0,  1, true, the confirming node does not answer",
        "22, 5, 42, 30.5, 1, 0.1, 0,   0,  0,  31, -1, true, the leader ends: the next one cannot read the records",
        "22, 5, 42, 29,   0, 0.1, 0,   0,  -1, 0,  -1, false, confirmed by the leader's own node just before",
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
     * Jobs are cancelled at the moment when the state service starts to refuse the leader, and a full outage follows
     * one second later. This repeats twice before the first cancellation time has passed, also just as the service
     * recovers for the other nodes.
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
            assertEquals(0, run.lostTasks, "tasks lost although all controllers answer, at " + offset);
        }
    }

    /** The condition of the old leader when its leadership ends at 30 s. */
    private enum LeaderCondition {
        ANSWERING,
        REFUSED,
        PLEDGED,
        SILENT
    }

    /**
     * Jobs are cancelled at any node around a change of leader; that node restarts within the same second or does not.
     * The state service works, or has an outage that begins before or just after the next leader has read the records.
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

    /** A run with overlapping random faults. */
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
        assertTrue(stopsByPeerAnswers > 100, "peers' answers were hardly ever needed: " + stopsByPeerAnswers);
    }

    @ParameterizedTest
    @EnumSource(value = DisabledGuard.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void eachDisabledGuardViolatesTheRule(DisabledGuard disabledGuard) {
        for (long seed = 0; seed < SEEDS; seed++) {
            if (!randomRun(seed, disabledGuard).violations.isEmpty()) {
                return;
            }
        }
        throw new AssertionError("no seed violates the rule without " + disabledGuard);
    }
}
