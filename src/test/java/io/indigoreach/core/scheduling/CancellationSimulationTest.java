package io.indigoreach.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.CancellationSimulation.Without;
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

    private static SafetyTimes rules(double lease, double report, double cancel) {
        return new SafetyTimes(Span.seconds(lease), Span.seconds(report), Span.seconds(cancel), Span.seconds(3));
    }

    /**
     * {@code lost}: whether all workers lose their tasks, because no reachable controller knows which cancellations
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
    void tasksAreGoneInTime(
            double lease,
            double report,
            double cancel,
            double toldAt,
            int by,
            double way,
            double later,
            double poll,
            int restarted,
            double restartsAt,
            int silent,
            boolean lost,
            String what) {
        CancellationSimulation run =
                new CancellationSimulation(rules(lease, report, cancel), 3, JOBS, 7, Without.NOTHING);
        run.refuse(30, 0, 14);
        run.outage(32, 60);
        run.cancel(toldAt, by, CancellationSimulation.job(1), way, later);
        if (poll > 0) {
            run.poll(poll, by, CancellationSimulation.job(1));
        }
        if (restarted >= 0) {
            run.restart(restartsAt, restarted, 0.2);
        }
        if (silent >= 0) {
            run.silence(31, silent, 60);
        }
        run.until(100);
        assertEquals(List.of(), run.broken, what);
        assertEquals(lost, run.lost > 0, what);
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
    void theVeryMomentAndAgainBeforeItHasEnded(
            double lease, double report, double cancel, double outage, double pause) {
        for (double offset = -0.2; offset < 1; offset += 0.05) {
            CancellationSimulation run =
                    new CancellationSimulation(rules(lease, report, cancel), 3, JOBS, 7, Without.NOTHING);
            for (int round = 0; round < 3; round++) {
                double at = 30 + round * (1 + outage + pause);
                run.refuse(at, 0, 3);
                run.outage(at + 1, outage);
                run.cancel(at + offset, 1, CancellationSimulation.job(2 * round), 0.01, 0);
                run.cancel(at + offset, 2, CancellationSimulation.job(2 * round + 1), 0.4, 0.5);
            }
            run.until(30 + 3 * (2 + outage) + 60);
            assertEquals(List.of(), run.broken, "at " + offset);
            assertEquals(0, run.lost, "tasks lost although all controllers answer, at " + offset);
        }
    }

    /** The condition of the old leader when its leadership ends at 30 s. */
    private enum Ending {
        ANSWERING,
        REFUSED,
        PLEDGED,
        SILENT
    }

    /**
     * Jobs are cancelled at any node around a change of leader; that node restarts within the same second or does not.
     * The state service works, or has an outage that begins before or just after the next leader has read the records.
     */
    private static List<String> handover(Ending ending, Without without) {
        List<String> broken = new ArrayList<>();
        for (double outageAt : new double[] {200, 29.99, 30.25, 31}) {
            for (int told = 0; told < 120; told++) {
                double at = 28.5 + told * 0.025;
                CancellationSimulation run = new CancellationSimulation(rules(12, 2, 32), 3, JOBS, told, without);
                switch (ending) {
                    case REFUSED -> run.refuse(27, 0, 20);
                    case PLEDGED -> run.outage(22, 7.9);
                    case SILENT -> run.silence(29, 0, 20);
                    default -> {}
                }
                run.lead(30, 1);
                run.outage(outageAt, 60);
                run.cancel(at, told % 3, CancellationSimulation.job(1), 0.05, 0);
                run.cancel(at, 2, CancellationSimulation.job(2), 0.05, 0.2);
                if (told / 3 % 2 == 0) {
                    run.restart(at + 0.06 + (told % 5) * 0.2, 2, 0.3);
                }
                broken.addAll(run.until(140).broken);
            }
        }
        return broken;
    }

    @ParameterizedTest
    @EnumSource(Ending.class)
    void cancelledAsTheLeadershipChangesHands(Ending ending) {
        assertEquals(List.of(), handover(ending, Without.NOTHING));
        for (Without guard : List.of(Without.BACKSTOP, Without.NAMES)) {
            assertFalse(handover(ending, guard).isEmpty(), "without " + guard);
        }
    }

    /** A run with overlapping random faults. */
    private static CancellationSimulation random(long seed, Without without) {
        return random(seed, without, EffectListener.NONE);
    }

    public static CancellationSimulation random(long seed, Without without, EffectListener effects) {
        Random r = new Random(seed);
        double[][] times = {{22, 5, 42}, {12, 2, 32}, {22, 4, 47}, {22, 4, 29}};
        double[] t = times[r.nextInt(times.length)];
        int nodes = r.nextBoolean() ? 3 : 5;
        CancellationSimulation run = new CancellationSimulation(rules(t[0], t[1], t[2]), nodes, JOBS, seed, without);
        run.effects = effects;
        int leader = 0;
        double at = 5;
        for (int n = 0; n < 4; n++) {
            at += r.nextDouble() * 40;
            if (r.nextInt(3) == 0) {
                leader = r.nextInt(nodes);
                run.lead(at - r.nextDouble() * 8, leader);
            }
            run.refuse(at, r.nextBoolean() ? leader : r.nextInt(nodes), 3 + r.nextDouble() * 30);
            run.outage(at + r.nextDouble() * 8, 5 + r.nextDouble() * 80);
            if (r.nextInt(4) == 0) {
                run.silence(at + r.nextDouble() * 8, r.nextInt(nodes), r.nextDouble() * 40);
            }
            boolean burst = r.nextBoolean();
            for (int j = 0; j < (burst ? 4 : 2); j++) {
                JobId job = CancellationSimulation.job(r.nextInt(JOBS));
                int by = r.nextInt(nodes);
                double when = at - (burst ? 4 : 0.5) + r.nextDouble() * (burst ? 4 : 8);
                run.cancel(when, by, job, r.nextDouble() * 0.5, r.nextInt(4) == 0 ? r.nextDouble() * 5 : 0);
                run.poll(when + r.nextDouble() * 20, r.nextInt(nodes), job);
                if (r.nextInt(3) == 0) {
                    run.restart(when + r.nextDouble() * 3, r.nextBoolean() ? by : r.nextInt(nodes), r.nextDouble());
                }
            }
        }
        return run.until(300);
    }

    @Test
    void noSeedBreaksTheRule() {
        int stopped = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            CancellationSimulation run = random(seed, Without.NOTHING);
            assertEquals(List.of(), run.broken, "seed " + seed);
            stopped += run.stoppedByWord;
        }
        assertTrue(stopped > 100, "peers' answers were hardly ever needed: " + stopped);
    }

    @ParameterizedTest
    @EnumSource(value = Without.class, mode = EnumSource.Mode.EXCLUDE, names = "NOTHING")
    void withoutAnyOfItsGuardsItIsBroken(Without without) {
        for (long seed = 0; seed < SEEDS; seed++) {
            if (!random(seed, without).broken.isEmpty()) {
                return;
            }
        }
        throw new AssertionError("no seed violates the rule without " + without);
    }
}
