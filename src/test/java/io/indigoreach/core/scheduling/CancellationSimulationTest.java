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
 * The state service refuses the leader alone, another controller tells users that jobs are cancelled, and then it answers nobody for
 * longer than {@code cancel_s}: those jobs' tasks are gone in time all the same, and as long as all controllers answer each other
 * nothing else is lost.
 */
public class CancellationSimulationTest {
    private static final int JOBS = 8;
    private static final int SEEDS = 1000;

    private static SafetyTimes rules(double lease, double report, double cancel) {
        return new SafetyTimes(Span.seconds(lease), Span.seconds(report), Span.seconds(cancel), Span.seconds(3));
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
            assertEquals(0, run.lost, "all controllers answer, at " + offset);
        }
    }

    /** How the old leader ends at 30 s. */
    private enum Ending {
        ANSWERING,
        REFUSED,
        PLEDGED,
        SILENT
    }

    /**
     * Cancelled in the seconds in which another leads, by any node, which ends in the same second or not; the service is whole,
     * or out before the next leader has read the records, or just after.
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

    /** Troubles of all kinds, one on the other; each guard that is left out is missed in some run. */
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
        assertTrue(stopped > 100, "the word of other controllers was hardly ever needed: " + stopped);
    }

    @ParameterizedTest
    @EnumSource(value = Without.class, mode = EnumSource.Mode.EXCLUDE, names = "NOTHING")
    void withoutAnyOfItsGuardsItIsBroken(Without without) {
        for (long seed = 0; seed < SEEDS; seed++) {
            if (!random(seed, without).broken.isEmpty()) {
                return;
            }
        }
        throw new AssertionError("no seed misses " + without);
    }
}
