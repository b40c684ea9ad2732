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
            2 * SchedulerFixture.SAFETY_TIMES.leaseBound().seconds() + 6;

    /** Longer than a lease. */
    private static final double OUTAGE_S = 20;
    /** The time from the partition of a leader until another node may lead. */
    private static final double PARTITIONED_LEADER_S = 4;

    private static final Team PLAIN = new Team("t", 0, CORES_MAX, 0, 0);
    private static final Team GUARANTEED = new Team("u", 4, CORES_MAX, 0, 0);

    /** The fault of machines in the last second of a leader. */
    public enum Fault {
        NONE,
        /** Neither heartbeats nor responses arrive, for longer than a lease. */
        PARTITIONED,
        /** Heartbeats arrive, responses do not. */
        RESPONSES_LOST,
        /** The worker pauses within its lease and then continues its tasks. */
        PAUSED,
        /** The old leader's last response arrives just before the worker's timeout. */
        RESPONSES_DELAYED,
        /** All controllers are unavailable for longer than a lease. */
        CONTROLLERS_DOWN,
        /**
         * A partition leaves half of the machines with the old leader, until another node may lead. Then no controller
         * reaches these machines for longer than a lease.
         */
        ZONE_PARTITIONED
    }

    private static final Set<Fault> FAULTS_WITHOUT_RESPONSES =
            EnumSet.of(Fault.PARTITIONED, Fault.CONTROLLERS_DOWN, Fault.ZONE_PARTITIONED);

    private record DelayedResponse(
            SimulatedCluster.Worker box, SimulatedCluster.Answer answer, double sentAt, double arrivesAt) {}

    private record CancelNotification(JobId job, double deliveredAt) {}

    private final Random random;
    private final Fault fault;
    public final SimulatedCluster cluster = new SimulatedCluster(PLAIN, GUARANTEED);
    private final Map<SimulatedCluster.Worker, Double> nextHeartbeat = new HashMap<>();
    private final Map<SimulatedCluster.Worker, Double> faultyUntil = new HashMap<>();
    private final List<DelayedResponse> delayedResponses = new ArrayList<>();
    private final List<CancelNotification> cancelNotifications = new ArrayList<>();
    private final Set<JobId> cancelled = new HashSet<>();
    private int submittedJobs;
    private double recordsLoadAt = Double.MAX_VALUE;
    /** The number of steps and machines with a fault in which a cancelled task was on the machine. */
    int cancelledTasksOnFaultyMachines;

    public TeamLimitSimulation(long seed, Fault fault) {
        this.random = new Random(seed);
        this.fault = fault;
    }

    public void simulate(int leaderChanges, double intervalS) {
        for (int i = 0; i < MACHINES; i++) {
            nextHeartbeat.put(cluster.worker("m" + i, 0), random.nextDouble() * 2);
        }
        cluster.startLeaderWithRecords(0);
        submitAll(0);
        double now = run(0, 10);
        assertEquals(CORES_MAX, cluster.usedCores(PLAIN, now));
        assertEquals(CORES_MAX, cluster.usedCores(GUARANTEED, now));
        for (int i = 0; i < leaderChanges; i++) {
            double termStart = now
                    + (fault == Fault.CONTROLLERS_DOWN
                            ? OUTAGE_S
                            : fault == Fault.ZONE_PARTITIONED ? PARTITIONED_LEADER_S : 1);
            startFaults(now, termStart);
            boolean cancelsBeforeChange = random.nextBoolean();
            if (cancelsBeforeChange) {
                cancelAll(now, fault == Fault.ZONE_PARTITIONED ? termStart : now);
            }
            now = run(now, termStart);
            cluster.startLeader(now);
            for (SimulatedCluster.Worker box : cluster.workers()) {
                if (fault == Fault.ZONE_PARTITIONED && isInZone(box)) {
                    faultyUntil.put(box, now + OUTAGE_S);
                }
            }
            recordsLoadAt = now + random.nextDouble() * 2;
            if (!cancelsBeforeChange) {
                now = run(now, now + random.nextInt(8) * STEP_S);
                cancelAll(now, now);
            }
            now = run(now, now + intervalS);
        }
        now = run(now, now + SETTLED_S);
        assertEquals(CORES_MAX, cluster.usedCores(PLAIN, now), "waiting tasks have started");
        assertEquals(CORES_MAX, cluster.usedCores(GUARANTEED, now), "waiting tasks have started");
    }

    /** Submits services, one-zone arrays and other arrays of both teams, more than their limits allow. */
    private void submitAll(double now) {
        for (Team team : List.of(PLAIN, GUARANTEED)) {
            submit(team, JobKind.SERVICE, 2, false, now);
            submit(team, JobKind.ARRAY, 2, true, now);
            submit(team, JobKind.ARRAY, 12, false, now);
        }
    }

    private void submit(Team team, JobKind kind, int tasks, boolean oneZone, double now) {
        JobSpec spec = SchedulerFixture.spec(++submittedJobs, tasks, 1, kind == JobKind.SERVICE ? 0 : 500);
        cluster.submit(
                JobSpec.builder(spec.id())
                        .jobClass(spec.jobClass())
                        .team(team.name())
                        .kind(kind)
                        .urgency(spec.urgency())
                        .taskCount(tasks)
                        .demand(spec.demand())
                        .image(spec.image())
                        .imageGb(0)
                        .singleZone(oneZone)
                        .spotAllowed()
                        .estimatedRunTime(spec.estimatedRunTime())
                        .build(),
                now);
    }

    private boolean isInZone(SimulatedCluster.Worker box) {
        return box.name.compareTo("m" + MACHINES / 2) < 0;
    }

    /**
     * Injects the simulated fault. If controllers are down, it affects all machines until {@code termStart}; in a zone
     * partition, those that the old leader cannot reach. Otherwise it affects about half of the machines, for a random
     * duration per machine; a hung worker resumes before its lease expires.
     */
    private void startFaults(double now, double termStart) {
        for (SimulatedCluster.Worker box : cluster.workers()) {
            if (fault == Fault.CONTROLLERS_DOWN || fault == Fault.ZONE_PARTITIONED) {
                faultyUntil.put(box, fault == Fault.ZONE_PARTITIONED && isInZone(box) ? now : termStart);
            } else if (random.nextBoolean()) {
                faultyUntil.put(box, now + (fault == Fault.PAUSED ? 4 + random.nextInt(8) : 3 + random.nextInt(20)));
            }
        }
    }

    /** Cancels all jobs with a running task and submits new ones; the leader is notified within two seconds. */
    private void cancelAll(double now, double notifiedFrom) {
        for (JobId job : cluster.runningTasks(now).stream().map(TaskId::job).collect(Collectors.toSet())) {
            if (cancelled.add(job)) {
                cluster.cancel(job, now);
                cancelNotifications.add(new CancelNotification(job, notifiedFrom + random.nextInt(8) * STEP_S));
            }
        }
        submitAll(now);
    }

    private boolean isFaulty(SimulatedCluster.Worker box, double now) {
        return now < faultyUntil.getOrDefault(box, 0.0);
    }

    private double run(double from, double until) {
        double now = from;
        for (; now < until; now += STEP_S) {
            step(now);
        }
        return now;
    }

    private void step(double now) {
        if (now >= recordsLoadAt) {
            recordsLoadAt = Double.MAX_VALUE;
            cluster.loadRecords();
        }
        for (CancelNotification notification : List.copyOf(cancelNotifications)) {
            if (now >= notification.deliveredAt) {
                cluster.core.cancelJob(notification.job);
                cancelNotifications.remove(notification);
            }
        }
        for (DelayedResponse delayed : List.copyOf(delayedResponses)) {
            if (now >= delayed.arrivesAt) {
                delayed.box.receive(delayed.answer, delayed.sentAt, now);
                delayedResponses.remove(delayed);
            }
        }
        for (SimulatedCluster.Worker box : cluster.workers()) {
            boolean isFaulty = isFaulty(box, now);
            if (now >= nextHeartbeat.get(box) && !(isFaulty && fault == Fault.PAUSED)) {
                nextHeartbeat.put(box, now + 1.5 + random.nextDouble());
                report(box, isFaulty ? fault : Fault.NONE, now);
            }
            cancelledTasksOnFaultyMachines +=
                    isFaulty && box.tasks.keySet().stream().anyMatch(t -> cancelled.contains(t.job())) ? 1 : 0;
        }
        cluster.core.expireLeases(atSeconds(now));
        cluster.usedCores(PLAIN, now);
        cluster.usedCores(GUARANTEED, now);
    }

    private void report(SimulatedCluster.Worker box, Fault activeFault, double now) {
        box.expireLease(now);
        Heartbeat heartbeat = box.nextHeartbeat();
        SimulatedCluster.Answer answer =
                FAULTS_WITHOUT_RESPONSES.contains(activeFault) ? null : cluster.answerHeartbeat(heartbeat, now);
        if (answer != null && activeFault == Fault.RESPONSES_DELAYED) {
            delayedResponses.add(
                    new DelayedResponse(box, answer, now, now + SimulatedCluster.ANSWER_TIMEOUT_S - STEP_S));
            nextHeartbeat.put(box, now + SimulatedCluster.ANSWER_TIMEOUT_S);
        } else if (answer != null && activeFault != Fault.RESPONSES_LOST) {
            box.receive(answer, now, now);
        }
    }
}
