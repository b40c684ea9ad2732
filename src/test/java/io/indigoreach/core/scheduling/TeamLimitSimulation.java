package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SchedulerFixture.atSeconds;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.model.Heartbeat;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.TaskId;
import io.indigoreach.core.model.Team;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Every team is at its limit as all jobs that run are cancelled and the leader changes, so many times; half of the machines can't be
 * heard meanwhile. What the teams use is looked at on the workers at every step.
 */
public final class TeamLimitSimulation {
    private static final double STEP_S = 0.25;
    private static final int MACHINES = 8;
    private static final double CORES_MAX = 8;
    /** By then whoever leads has heard each machine and seen strangers go, or its lease is over. */
    private static final double SETTLED_S =
            2 * SchedulerFixture.SAFETY_TIMES.leaseBound().seconds() + 6;

    /** Longer than a lease. */
    private static final double AWAY_S = 20;
    /** From when a leader is cut off until another may lead. */
    private static final double LEADS_ON_S = 4;

    private static final Team PLAIN = new Team("t", 0, CORES_MAX, 0, 0);
    private static final Team GUARANTEED = new Team("u", 4, CORES_MAX, 0, 0);

    /** What befalls a machine in the last second of a leader. */
    public enum Trouble {
        NONE,
        /** Neither its reports arrive nor answers, for longer than a lease. */
        CUT,
        /** Its reports arrive, answers do not. */
        DEAF,
        /** It stands still within its lease and goes on with what it ran. */
        HUNG,
        /** The old leader's last answer comes just before the worker would drop it. */
        HELD_UP,
        /** All controllers are away for longer than a lease. */
        AWAY,
        /**
         * Half of the machines are cut off with the old leader, which answers them, and nobody else, until another may lead; then nobody
         * does for longer than a lease.
         */
        ZONE
    }

    private static final Set<Trouble> UNANSWERED = EnumSet.of(Trouble.CUT, Trouble.AWAY, Trouble.ZONE);

    private record Late(SimulatedCluster.Worker box, SimulatedCluster.Answer answer, double sent, double arrives) {}

    private record Word(JobId job, double heard) {}

    private final Random random;
    private final Trouble trouble;
    public final SimulatedCluster site = new SimulatedCluster(PLAIN, GUARANTEED);
    private final Map<SimulatedCluster.Worker, Double> nextReport = new HashMap<>();
    private final Map<SimulatedCluster.Worker, Double> troubledUntil = new HashMap<>();
    private final List<Late> late = new ArrayList<>();
    private final List<Word> words = new ArrayList<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private int jobs;
    private double loads = Double.MAX_VALUE;
    /** Steps in which a cancelled task was on a machine that its leader could not hear. */
    int outOfReach;

    public TeamLimitSimulation(long seed, Trouble trouble) {
        this.random = new Random(seed);
        this.trouble = trouble;
    }

    public void play(int changes, double everyS) {
        for (int i = 0; i < MACHINES; i++) {
            nextReport.put(site.worker("m" + i, 0), random.nextDouble() * 2);
        }
        site.startLeaderWithRecords(0);
        submitAll(0);
        double now = run(0, 10);
        assertEquals(CORES_MAX, site.usedCores(PLAIN, now));
        assertEquals(CORES_MAX, site.usedCores(GUARANTEED, now));
        for (int i = 0; i < changes; i++) {
            double begins = now + (trouble == Trouble.AWAY ? AWAY_S : trouble == Trouble.ZONE ? LEADS_ON_S : 1);
            befall(now, begins);
            boolean before = random.nextBoolean();
            if (before) {
                cancelAll(now, trouble == Trouble.ZONE ? begins : now);
            }
            now = run(now, begins);
            site.startLeader(now);
            for (SimulatedCluster.Worker box : site.workers()) {
                if (trouble == Trouble.ZONE && isInZone(box)) {
                    troubledUntil.put(box, now + AWAY_S);
                }
            }
            loads = now + random.nextDouble() * 2;
            if (!before) {
                now = run(now, now + random.nextInt(8) * STEP_S);
                cancelAll(now, now);
            }
            now = run(now, now + everyS);
        }
        now = run(now, now + SETTLED_S);
        assertEquals(CORES_MAX, site.usedCores(PLAIN, now), "what waits has begun");
        assertEquals(CORES_MAX, site.usedCores(GUARANTEED, now), "what waits has begun");
    }

    /** Arrays, gangs and services of both teams, and more than their limits allow. */
    private void submitAll(double now) {
        for (Team team : List.of(PLAIN, GUARANTEED)) {
            submit(team, JobKind.SERVICE, 2, false, now);
            submit(team, JobKind.ARRAY, 2, true, now);
            submit(team, JobKind.ARRAY, 12, false, now);
        }
    }

    private void submit(Team team, JobKind shape, int tasks, boolean oneZone, double now) {
        JobSpec s = SchedulerFixture.spec(++jobs, tasks, 1, shape == JobKind.SERVICE ? 0 : 500);
        site.submit(
                JobSpec.builder(s.id())
                        .jobClass(s.jobClass())
                        .team(team.name())
                        .kind(shape)
                        .urgency(s.urgency())
                        .tasks(tasks)
                        .demand(s.demand())
                        .image(s.image())
                        .imageGb(0)
                        .oneZone(oneZone)
                        .spotAllowed()
                        .estimate(s.estimate())
                        .build(),
                now);
    }

    private boolean isInZone(SimulatedCluster.Worker box) {
        return box.name.compareTo("m" + MACHINES / 2) < 0;
    }

    /** Half of the machines, each for its own time; one that hangs goes on within its lease. */
    private void befall(double now, double begins) {
        for (SimulatedCluster.Worker box : site.workers()) {
            if (trouble == Trouble.AWAY || trouble == Trouble.ZONE) {
                troubledUntil.put(box, trouble == Trouble.ZONE && isInZone(box) ? now : begins);
            } else if (random.nextBoolean()) {
                troubledUntil.put(
                        box, now + (trouble == Trouble.HUNG ? 4 + random.nextInt(8) : 3 + random.nextInt(20)));
            }
        }
    }

    /** All jobs of which something runs; whoever leads hears of it within two seconds. New ones come instead. */
    private void cancelAll(double now, double heardFrom) {
        for (JobId job : site.runningTasks(now).stream().map(TaskId::job).collect(Collectors.toSet())) {
            if (cancelled.add(job)) {
                site.cancel(job, now);
                words.add(new Word(job, heardFrom + random.nextInt(8) * STEP_S));
            }
        }
        submitAll(now);
    }

    private boolean isTroubled(SimulatedCluster.Worker box, double now) {
        return now < troubledUntil.getOrDefault(box, 0.0);
    }

    private double run(double from, double until) {
        double now = from;
        for (; now < until; now += STEP_S) {
            step(now);
        }
        return now;
    }

    private void step(double now) {
        if (now >= loads) {
            loads = Double.MAX_VALUE;
            site.loadRecords();
        }
        for (Word word : List.copyOf(words)) {
            if (now >= word.heard) {
                site.core.cancelJob(word.job);
                words.remove(word);
            }
        }
        for (Late l : List.copyOf(late)) {
            if (now >= l.arrives) {
                l.box.receive(l.answer, l.sent, now);
                late.remove(l);
            }
        }
        for (SimulatedCluster.Worker box : site.workers()) {
            boolean troubled = isTroubled(box, now);
            if (now >= nextReport.get(box) && !(troubled && trouble == Trouble.HUNG)) {
                nextReport.put(box, now + 1.5 + random.nextDouble());
                report(box, troubled ? trouble : Trouble.NONE, now);
            }
            outOfReach += troubled && box.tasks.keySet().stream().anyMatch(t -> cancelled.contains(t.job())) ? 1 : 0;
        }
        site.core.expireLeases(atSeconds(now));
        site.usedCores(PLAIN, now);
        site.usedCores(GUARANTEED, now);
    }

    private void report(SimulatedCluster.Worker box, Trouble meets, double now) {
        box.expireLease(now);
        Heartbeat heartbeat = box.nextHeartbeat();
        SimulatedCluster.Answer answer = UNANSWERED.contains(meets) ? null : site.answerHeartbeat(heartbeat, now);
        if (answer != null && meets == Trouble.HELD_UP) {
            late.add(new Late(box, answer, now, now + SimulatedCluster.ANSWER_TIMEOUT_S - STEP_S));
            nextReport.put(box, now + SimulatedCluster.ANSWER_TIMEOUT_S);
        } else if (answer != null && meets != Trouble.DEAF) {
            box.receive(answer, now, now);
        }
    }
}
