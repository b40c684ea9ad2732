package io.indigoreach.core.scheduling;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.leadership.CancellationHorizon;
import io.indigoreach.core.leadership.CancellationSummary;
import io.indigoreach.core.leadership.ConfirmedCancellations;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates controllers, workers and users around one state service. The state service refuses requests of single
 * controllers or of all of them; any controller that it serves confirms cancellations to users; controllers restart,
 * succeed each other as leader, and query each other. The production classes decide which cancellations a leader has to
 * know. The leadership itself is always valid, because pledges can extend it through any outage. The checked property
 * is the one that users observe: the time from the first confirmation that a job is cancelled until its last task on a
 * worker has ended.
 */
public final class CancellationSimulation {
    /** A guard that a run can disable, to show that the rule is then violated. */
    public enum DisabledGuard {
        NONE,
        /** Without it, a leader answers workers regardless of the age of its knowledge of cancellations. */
        MAX_CANCELLATION_AGE,
        /** Without it, answers of peers count as received, but the cancelled jobs that they name are not stopped. */
        CANCELLED_JOB_IDS,
        /** Without it, a restarted process answers as if it knew what its predecessor confirmed. */
        PROCESS_START,
        /** Without it, a missing job counts as resolved before the reason for its absence is known. */
        UNRESOLVED_JOBS,
        /**
         * Without it, a leader that has not read the records counts as up to date since the start of its leadership.
         */
        LOADED_RECORDS
    }

    private static final class Node {
        final double clockRate;
        ConfirmedCancellations confirmedCancellations;
        Set<JobId> knownCancellations = new HashSet<>();
        double refusedUntil;
        double silentUntil;
        double downUntil;

        Node(double rate) {
            this.clockRate = rate;
        }

        Moment localTime(double now) {
            return new Moment(Math.round(now * 1000 * clockRate));
        }
    }

    private static final class Worker {
        double lastAnsweredAt;
        final Set<JobId> runningJobs = new HashSet<>();
    }

    private record Event(double time, int sequenceNumber, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time
                    ? Double.compare(time, other.time)
                    : Integer.compare(sequenceNumber, other.sequenceNumber);
        }
    }

    /** A leader's state during one leadership. */
    private final class Leadership {
        final Node node;
        final CancellationHorizon horizon = new CancellationHorizon();
        final Set<JobId> stoppedJobs = new HashSet<>();
        boolean recordsLoaded;
        double unservedSince = -1;

        Leadership(Node node) {
            this.node = node;
            if (disabledGuard == DisabledGuard.LOADED_RECORDS) {
                horizon.advanceTo(node.localTime(now));
            }
        }
    }

    private final SafetyTimes safetyTimes;
    private final Random random;
    private final DisabledGuard disabledGuard;
    final List<Node> nodes = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    public final List<String> violations = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<JobId, Double> cancelledAt = new HashMap<>();
    private final Map<JobId, Double> confirmedAt = new HashMap<>();
    private double outageUntil;
    private double now;
    private int eventCount;
    private Leadership leadership;
    EffectListener effects = EffectListener.NONE;
    /** Tasks of jobs that were not cancelled, killed because a lease expired. */
    int lostTasks;
    /** How often a leader stopped cancelled jobs that peers reported while it could not reach the state service. */
    int stopsByPeerAnswers;

    CancellationSimulation(SafetyTimes safetyTimes, int nodes, int jobs, long seed, DisabledGuard disabledGuard) {
        this.safetyTimes = safetyTimes;
        this.random = new Random(seed);
        this.disabledGuard = disabledGuard;
        for (int index = 0; index < nodes; index++) {
            Node node = new Node(random.nextBoolean() ? 1 : 1.0005);
            node.confirmedCancellations = new ConfirmedCancellations(node.localTime(0));
            this.nodes.add(node);
        }
        for (int workerIndex = 0; workerIndex < 4; workerIndex++) {
            Worker worker = new Worker();
            for (int jobIndex = 0; jobIndex < jobs; jobIndex++) {
                worker.runningJobs.add(job(jobIndex));
            }
            workers.add(worker);
            schedule(random.nextDouble() * safetyTimes.heartbeatPeriod().seconds(), () -> sendHeartbeat(worker));
        }
        changeLeader(0, 0);
    }

    static JobId job(int index) {
        return new JobId("run-" + index);
    }

    void schedule(double time, Runnable action) {
        events.add(new Event(time, eventCount++, action));
    }

    private void scheduleAfter(double delay, Runnable action) {
        schedule(now + delay, action);
    }

    CancellationSimulation runUntil(double end) {
        while (!events.isEmpty() && events.peek().time <= end) {
            Event event = events.poll();
            now = event.time;
            event.action.run();
            checkRules();
        }
        return this;
    }

    private void checkRules() {
        for (Worker worker : workers) {
            if (now - worker.lastAnsweredAt > safetyTimes.workerLease().seconds()) {
                lostTasks += (int) worker.runningJobs.stream()
                        .filter(j -> !cancelledAt.containsKey(j))
                        .count();
                worker.runningJobs.clear();
            }
            for (JobId job : worker.runningJobs) {
                double limit = confirmedAt.getOrDefault(job, Double.MAX_VALUE)
                        + safetyTimes.cancellationTime().seconds();
                if (now > limit) {
                    violations.add(job + " runs at " + now + ", cancellation confirmed at " + confirmedAt.get(job));
                }
            }
        }
    }

    // ---- faults and users

    void refuseNode(double time, int node, double duration) {
        schedule(time, () -> nodes.get(node).refusedUntil = now + duration);
    }

    void beginOutage(double time, double duration) {
        schedule(time, () -> outageUntil = Math.max(outageUntil, now + duration));
    }

    /** Ends the node's process and starts it again after {@code duration}. */
    void restartNode(double time, int node, double duration) {
        schedule(time, () -> {
            Node restarted = nodes.get(node);
            restarted.downUntil = now + duration;
            scheduleAfter(duration, () -> {
                restarted.confirmedCancellations = new ConfirmedCancellations(
                        disabledGuard == DisabledGuard.PROCESS_START ? Moment.NEVER : restarted.localTime(now));
                restarted.knownCancellations = new HashSet<>();
            });
            if (leadership.node == restarted) {
                changeLeader(now + 0.1, (node + 1) % nodes.size());
            }
        });
    }

    void silenceNode(double time, int node, double duration) {
        schedule(time, () -> nodes.get(node).silentUntil = now + duration);
    }

    void changeLeader(double time, int node) {
        schedule(time, () -> {
            leadership = new Leadership(nodes.get(node));
            Leadership current = leadership;
            readRecords(current);
            queryPeers(current);
        });
    }

    /**
     * A user cancels a job at a node, which learns the result {@code responseDelay} later and confirms it
     * {@code confirmationDelay} after that.
     */
    void cancel(double time, int node, JobId job, double responseDelay, double confirmationDelay) {
        schedule(time, () -> {
            Node confirming = nodes.get(node);
            if (isServed(confirming) && now >= confirming.downUntil) {
                cancelledAt.putIfAbsent(job, now);
                ConfirmedCancellations process = confirming.confirmedCancellations;
                scheduleAfter(responseDelay, () -> {
                    if (confirming.confirmedCancellations == process && now >= confirming.downUntil) {
                        learnCancellation(confirming, job, confirmationDelay);
                    }
                });
            }
        });
    }

    /** A user queries the status of a job at a node. */
    void queryStatus(double time, int node, JobId job) {
        schedule(time, () -> {
            Node queried = nodes.get(node);
            if (now >= queried.downUntil
                    && cancelledAt.containsKey(job)
                    && (queried.knownCancellations.contains(job) || isServed(queried))) {
                learnCancellation(queried, job, 0);
            }
        });
    }

    private void learnCancellation(Node node, JobId job, double confirmationDelay) {
        if (node.knownCancellations.add(job)) {
            node.confirmedCancellations.add(job, node.localTime(now));
        }
        scheduleAfter(confirmationDelay, () -> confirmedAt.putIfAbsent(job, now));
    }

    private boolean isServed(Node node) {
        return now >= outageUntil && now >= node.refusedUntil;
    }

    // ---- the leader

    private void readRecords(Leadership current) {
        if (leadership != current) {
            return;
        }
        if (!isServed(current.node)) {
            scheduleAfter(0.3, () -> readRecords(current));
            return;
        }
        Moment requestedAt = current.node.localTime(now);
        Set<JobId> cancelledJobs = new HashSet<>(cancelledAt.keySet());
        scheduleAfter(0.2, () -> {
            current.stoppedJobs.addAll(cancelledJobs);
            current.horizon.advanceTo(requestedAt);
            current.recordsLoaded = true;
            openWatch(current, cancelledJobs);
        });
    }

    private void openWatch(Leadership current, Set<JobId> knownCancelled) {
        if (leadership != current) {
            return;
        }
        if (!isServed(current.node)) {
            scheduleAfter(0.3, () -> openWatch(current, knownCancelled));
            return;
        }
        Moment sentAt = current.node.localTime(now);
        awaitChange(
                current,
                knownCancelled,
                sentAt,
                now + Math.min(2, safetyTimes.maxCancellationAge().seconds() / 4));
    }

    /**
     * Waits for the watch to report a change or to end; it makes no progress while the state service refuses this node.
     */
    private void awaitChange(Leadership current, Set<JobId> knownCancelled, Moment sentAt, double endsAt) {
        if (leadership != current) {
            return;
        }
        Set<JobId> newlyCancelled = new HashSet<>(cancelledAt.keySet());
        newlyCancelled.removeAll(knownCancelled);
        if (!isServed(current.node) || (newlyCancelled.isEmpty() && now < endsAt)) {
            scheduleAfter(0.05, () -> awaitChange(current, knownCancelled, sentAt, endsAt));
            return;
        }
        newlyCancelled.forEach(job -> {
            current.horizon.onRecordMissing(job);
            if (disabledGuard == DisabledGuard.UNRESOLVED_JOBS) {
                current.horizon.onMissingRecordResolved(job);
            }
            // The state service may answer so slowly that it starts to refuse this node first.
            scheduleAfter(random.nextDouble() * (random.nextInt(4) == 0 ? 6 : 0.3), () -> resolveJob(current, job));
        });
        current.horizon.advanceTo(sentAt);
        knownCancelled.addAll(newlyCancelled);
        openWatch(current, knownCancelled);
    }

    private void resolveJob(Leadership current, JobId job) {
        if (leadership == current && !current.stoppedJobs.contains(job) && !isServed(current.node)) {
            scheduleAfter(0.5, () -> resolveJob(current, job));
            return;
        }
        current.stoppedJobs.add(job);
        current.horizon.onMissingRecordResolved(job);
    }

    private void queryPeers(Leadership current) {
        if (leadership != current) {
            return;
        }
        scheduleAfter(0.5, () -> queryPeers(current));
        current.unservedSince = isServed(current.node) ? -1 : current.unservedSince < 0 ? now : current.unservedSince;
        if (current.unservedSince < 0 || now - current.unservedSince < 1.5) {
            return;
        }
        Moment sentAt = current.node.localTime(now);
        Span lookBack = current.horizon.requiredLookBack(sentAt, Span.seconds(3));
        List<CancellationSummary> answers = new ArrayList<>();
        for (Node other : nodes) {
            if (other != current.node) {
                scheduleAfter(
                        random.nextDouble() * 0.4,
                        () -> answers.add(
                                now < other.downUntil || now < other.silentUntil
                                        ? CancellationSummary.NONE
                                        : other.confirmedCancellations.summary(lookBack, other.localTime(now))));
            }
        }
        scheduleAfter(0.4 + random.nextDouble() * 0.6, () -> {
            if (leadership != current || !current.recordsLoaded) {
                return;
            }
            Moment receivedAt = current.node.localTime(now);
            CancellationSummary combined = current.node.confirmedCancellations.summary(lookBack, receivedAt);
            for (CancellationSummary answer : answers) {
                combined = combined.mergedWith(answer);
            }
            if (disabledGuard != DisabledGuard.CANCELLED_JOB_IDS && current.stoppedJobs.addAll(combined.cancelled())) {
                stopsByPeerAnswers++;
            }
            current.horizon.onPeersResponded(combined.covered(), sentAt, receivedAt);
            effects.effect(
                    EffectListener.CANCELLATIONS_REPORTED,
                    lookBack.ms(),
                    combined.covered().ms(),
                    sortedIds(combined.cancelled()),
                    current.horizon.completeUntil().ms());
        });
    }

    private void sendHeartbeat(Worker worker) {
        double sentAt = now;
        double latency = random.nextDouble() * 0.1;
        scheduleAfter(latency, () -> {
            Leadership current = leadership;
            if (now < current.node.downUntil || now < current.node.silentUntil || !mayAnswer(current)) {
                return;
            }
            Set<JobId> stoppedJobs = new HashSet<>(current.recordsLoaded ? current.stoppedJobs : Set.of());
            effects.effect(EffectListener.WORKER_RESPONSE, workers.indexOf(worker), sortedIds(stoppedJobs));
            scheduleAfter(latency, () -> {
                worker.lastAnsweredAt = Math.max(worker.lastAnsweredAt, sentAt);
                worker.runningJobs.removeAll(stoppedJobs);
            });
        });
        scheduleAfter(
                safetyTimes.heartbeatPeriod().seconds() * (0.75 + random.nextDouble() / 2),
                () -> sendHeartbeat(worker));
    }

    private static List<String> sortedIds(Set<JobId> jobs) {
        return jobs.stream().map(JobId::text).sorted().toList();
    }

    private boolean mayAnswer(Leadership current) {
        return disabledGuard == DisabledGuard.MAX_CANCELLATION_AGE
                || ((current.recordsLoaded || disabledGuard == DisabledGuard.LOADED_RECORDS)
                        && current.node
                                        .localTime(now)
                                        .since(current.horizon.completeUntil())
                                        .compareTo(safetyTimes.maxCancellationAge())
                                < 0);
    }
}
