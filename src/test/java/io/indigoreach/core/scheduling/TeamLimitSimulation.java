package io.indigoreach.core.scheduling;

import static io.indigoreach.core.scheduling.SimulatedWorld.at;
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
 * Repeatedly cancels all running jobs and changes the leader while every team is at its limit and half of the machines
 * have a fault. Every step measures the teams' usage on the workers.
 */
public final class TeamLimitSimulation {
    private static final double STEP_S = 0.25;
    private static final int MACHINES = 8;
    private static final double CORES_MAX = 8;
    /**
     * After this time each machine has sent heartbeats to the new leader and its orphan tasks are gone, or its lease
     * has expired.
     */
    private static final double SETTLED_S =
            2 * SimulatedWorld.RULES.leaseBound().seconds() + 6;

    /** Longer than a lease. */
    private static final double AWAY_S = 20;
    /** The time from the partition of a leader until another node may lead. */
    private static final double LEADS_ON_S = 4;

    private static final Team PLAIN = new Team("t", 0, CORES_MAX, 0, 0);
    private static final Team GUARANTEED = new Team("u", 4, CORES_MAX, 0, 0);

    /** The fault of machines in the last second of a leader. */
    public enum Trouble {
        NONE,
        /** Neither heartbeats nor responses arrive, for longer than a lease. */
        CUT,
        /** Heartbeats arrive, responses do not. */
        DEAF,
        /** The worker pauses within its lease and then continues its tasks. */
        HUNG,
        /** The old leader's last response arrives just before the worker's timeout. */
        HELD_UP,
        /** All controllers are unavailable for longer than a lease. */
        AWAY,
        /**
         * A partition leaves half of the machines with the old leader, until another node may lead. Then no controller
         * reaches these machines for longer than a lease.
         */
        ZONE
    }

    private static final Set<Trouble> UNANSWERED = EnumSet.of(Trouble.CUT, Trouble.AWAY, Trouble.ZONE);

    private record Late(SimulatedCluster.Box box, SimulatedCluster.Answer answer, double sent, double arrives) {}

    private record Word(JobId job, double heard) {}

    private final Random random;
    private final Trouble trouble;
    public final SimulatedCluster site = new SimulatedCluster(PLAIN, GUARANTEED);
    private final Map<SimulatedCluster.Box, Double> nextReport = new HashMap<>();
    private final Map<SimulatedCluster.Box, Double> troubledUntil = new HashMap<>();
    private final List<Late> late = new ArrayList<>();
    private final List<Word> words = new ArrayList<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private int jobs;
    private double loads = Double.MAX_VALUE;
    /** The number of steps and machines with a fault in which a cancelled task was on the machine. */
    int outOfReach;

    public TeamLimitSimulation(long seed, Trouble trouble) {
        this.random = new Random(seed);
        this.trouble = trouble;
    }

    public void play(int changes, double everyS) {
        for (int i = 0; i < MACHINES; i++) {
            nextReport.put(site.box("m" + i, 0), random.nextDouble() * 2);
        }
        site.lead(0);
        submitAll(0);
        double now = run(0, 10);
        assertEquals(CORES_MAX, site.used(PLAIN, now));
        assertEquals(CORES_MAX, site.used(GUARANTEED, now));
        for (int i = 0; i < changes; i++) {
            double begins = now + (trouble == Trouble.AWAY ? AWAY_S : trouble == Trouble.ZONE ? LEADS_ON_S : 1);
            befall(now, begins);
            boolean before = random.nextBoolean();
            if (before) {
                cancelAll(now, trouble == Trouble.ZONE ? begins : now);
            }
            now = run(now, begins);
            site.begin(now);
            for (SimulatedCluster.Box box : site.boxes()) {
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
        assertEquals(CORES_MAX, site.used(PLAIN, now), "waiting tasks have started");
        assertEquals(CORES_MAX, site.used(GUARANTEED, now), "waiting tasks have started");
    }

    /** Submits services, one-zone arrays and other arrays of both teams, more than their limits allow. */
    private void submitAll(double now) {
        for (Team team : List.of(PLAIN, GUARANTEED)) {
            submit(team, JobKind.SERVICE, 2, false, now);
            submit(team, JobKind.ARRAY, 2, true, now);
            submit(team, JobKind.ARRAY, 12, false, now);
        }
    }

    private void submit(Team team, JobKind shape, int tasks, boolean oneZone, double now) {
        JobSpec s = SimulatedWorld.spec(++jobs, tasks, 1, shape == JobKind.SERVICE ? 0 : 500);
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

    private boolean isInZone(SimulatedCluster.Box box) {
        return box.name.compareTo("m" + MACHINES / 2) < 0;
    }

    /**
     * Starts the fault on about half of the machines, each for a random time; a hung worker resumes within its lease.
     */
    private void befall(double now, double begins) {
        for (SimulatedCluster.Box box : site.boxes()) {
            if (trouble == Trouble.AWAY || trouble == Trouble.ZONE) {
                troubledUntil.put(box, trouble == Trouble.ZONE && isInZone(box) ? now : begins);
            } else if (random.nextBoolean()) {
                troubledUntil.put(
                        box, now + (trouble == Trouble.HUNG ? 4 + random.nextInt(8) : 3 + random.nextInt(20)));
            }
        }
    }

    /** Cancels all jobs with a running task and submits new ones; the leader is notified within two seconds. */
    private void cancelAll(double now, double heardFrom) {
        for (JobId job : site.running(now).stream().map(TaskId::job).collect(Collectors.toSet())) {
            if (cancelled.add(job)) {
                site.cancel(job, now);
                words.add(new Word(job, heardFrom + random.nextInt(8) * STEP_S));
            }
        }
        submitAll(now);
    }

    private boolean isTroubled(SimulatedCluster.Box box, double now) {
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
            site.load();
        }
        for (Word word : List.copyOf(words)) {
            if (now >= word.heard) {
                site.core.cancelJob(word.job);
                words.remove(word);
            }
        }
        for (Late l : List.copyOf(late)) {
            if (now >= l.arrives) {
                l.box.take(l.answer, l.sent, now);
                late.remove(l);
            }
        }
        for (SimulatedCluster.Box box : site.boxes()) {
            boolean troubled = isTroubled(box, now);
            if (now >= nextReport.get(box) && !(troubled && trouble == Trouble.HUNG)) {
                nextReport.put(box, now + 1.5 + random.nextDouble());
                report(box, troubled ? trouble : Trouble.NONE, now);
            }
            outOfReach += troubled && box.tasks.keySet().stream().anyMatch(t -> cancelled.contains(t.job())) ? 1 : 0;
        }
        site.core.expireLeases(at(now));
        site.used(PLAIN, now);
        site.used(GUARANTEED, now);
    }

    private void report(SimulatedCluster.Box box, Trouble meets, double now) {
        box.live(now);
        Heartbeat heartbeat = box.write();
        SimulatedCluster.Answer answer = UNANSWERED.contains(meets) ? null : site.answer(heartbeat, now);
        if (answer != null && meets == Trouble.HELD_UP) {
            late.add(new Late(box, answer, now, now + SimulatedCluster.PATIENCE_S - STEP_S));
            nextReport.put(box, now + SimulatedCluster.PATIENCE_S);
        } else if (answer != null && meets != Trouble.DEAF) {
            box.take(answer, now, now);
        }
    }
}
