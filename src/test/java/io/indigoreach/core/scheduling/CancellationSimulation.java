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
    public enum Without {
        NOTHING,
        /** Without it, a leader answers workers regardless of the age of its knowledge of cancellations. */
        BACKSTOP,
        /** Without it, answers of peers count as received, but the cancelled jobs that they name are not stopped. */
        NAMES,
        /** Without it, a restarted process answers as if it knew what its predecessor confirmed. */
        BIRTH,
        /** Without it, a missing job counts as resolved before the reason for its absence is known. */
        UNSETTLED,
        /**
         * Without it, a leader that has not read the records counts as up to date since the start of its leadership.
         */
        RECORDS
    }

    private static final class Node {
        final double rate;
        ConfirmedCancellations told;
        Set<JobId> knows = new HashSet<>();
        double refusedUntil;
        double silentUntil;
        double downUntil;

        Node(double rate) {
            this.rate = rate;
        }

        Moment at(double now) {
            return new Moment(Math.round(now * 1000 * rate));
        }
    }

    private static final class Worker {
        double answered;
        final Set<JobId> tasks = new HashSet<>();
    }

    private record Event(double at, int order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Double.compare(at, o.at) : Integer.compare(order, o.order);
        }
    }

    /** A leader's state during one leadership. */
    private final class Reign {
        final Node node;
        final CancellationHorizon horizon = new CancellationHorizon();
        final Set<JobId> stopped = new HashSet<>();
        boolean loaded;
        double unservedSince = -1;

        Reign(Node node) {
            this.node = node;
            if (without == Without.RECORDS) {
                horizon.advanceTo(node.at(now));
            }
        }
    }

    private final SafetyTimes rules;
    private final Random random;
    private final Without without;
    final List<Node> nodes = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    public final List<String> broken = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<JobId, Double> cancelled = new HashMap<>();
    private final Map<JobId, Double> told = new HashMap<>();
    private double outageUntil;
    private double now;
    private int count;
    private Reign reign;
    EffectListener effects = EffectListener.NONE;
    /** Tasks of jobs that were not cancelled, killed because a lease expired. */
    int lost;
    /** How often a leader stopped cancelled jobs because of peers' answers while the state service did not serve it. */
    int stoppedByWord;

    CancellationSimulation(SafetyTimes rules, int nodes, int jobs, long seed, Without without) {
        this.rules = rules;
        this.random = new Random(seed);
        this.without = without;
        for (int n = 0; n < nodes; n++) {
            Node node = new Node(random.nextBoolean() ? 1 : 1.0005);
            node.told = new ConfirmedCancellations(node.at(0));
            this.nodes.add(node);
        }
        for (int w = 0; w < 4; w++) {
            Worker worker = new Worker();
            for (int j = 0; j < jobs; j++) {
                worker.tasks.add(job(j));
            }
            workers.add(worker);
            at(random.nextDouble() * rules.heartbeatPeriod().seconds(), () -> report(worker));
        }
        lead(0, 0);
    }

    static JobId job(int n) {
        return new JobId("run-" + n);
    }

    void at(double when, Runnable what) {
        events.add(new Event(when, count++, what));
    }

    private void after(double span, Runnable what) {
        at(now + span, what);
    }

    CancellationSimulation until(double end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = e.at;
            e.what.run();
            check();
        }
        return this;
    }

    private void check() {
        for (Worker w : workers) {
            if (now - w.answered > rules.workerLease().seconds()) {
                lost += (int)
                        w.tasks.stream().filter(j -> !cancelled.containsKey(j)).count();
                w.tasks.clear();
            }
            for (JobId job : w.tasks) {
                double limit = told.getOrDefault(job, Double.MAX_VALUE)
                        + rules.cancellationTime().seconds();
                if (now > limit) {
                    broken.add(job + " runs at " + now + ", cancellation confirmed at " + told.get(job));
                }
            }
        }
    }

    // ---- faults and users

    void refuse(double when, int node, double span) {
        at(when, () -> nodes.get(node).refusedUntil = now + span);
    }

    void outage(double when, double span) {
        at(when, () -> outageUntil = Math.max(outageUntil, now + span));
    }

    /** Ends the node's process and starts it again after {@code span}. */
    void restart(double when, int node, double span) {
        at(when, () -> {
            Node n = nodes.get(node);
            n.downUntil = now + span;
            after(span, () -> {
                n.told = new ConfirmedCancellations(without == Without.BIRTH ? Moment.NEVER : n.at(now));
                n.knows = new HashSet<>();
            });
            if (reign.node == n) {
                lead(now + 0.1, (node + 1) % nodes.size());
            }
        });
    }

    void silence(double when, int node, double span) {
        at(when, () -> nodes.get(node).silentUntil = now + span);
    }

    void lead(double when, int node) {
        at(when, () -> {
            reign = new Reign(nodes.get(node));
            Reign mine = reign;
            load(mine);
            ask(mine);
        });
    }

    /**
     * A user cancels a job at a node, which learns the result {@code way} later and confirms it {@code later} after
     * that.
     */
    void cancel(double when, int node, JobId job, double way, double later) {
        at(when, () -> {
            Node n = nodes.get(node);
            if (served(n) && now >= n.downUntil) {
                cancelled.putIfAbsent(job, now);
                ConfirmedCancellations process = n.told;
                after(way, () -> {
                    if (n.told == process && now >= n.downUntil) {
                        learns(n, job, later);
                    }
                });
            }
        });
    }

    /** A user queries the status of a job at a node. */
    void poll(double when, int node, JobId job) {
        at(when, () -> {
            Node n = nodes.get(node);
            if (now >= n.downUntil && cancelled.containsKey(job) && (n.knows.contains(job) || served(n))) {
                learns(n, job, 0);
            }
        });
    }

    private void learns(Node n, JobId job, double later) {
        if (n.knows.add(job)) {
            n.told.add(job, n.at(now));
        }
        after(later, () -> told.putIfAbsent(job, now));
    }

    private boolean served(Node node) {
        return now >= outageUntil && now >= node.refusedUntil;
    }

    // ---- the leader

    private void load(Reign mine) {
        if (reign != mine) {
            return;
        }
        if (!served(mine.node)) {
            after(0.3, () -> load(mine));
            return;
        }
        Moment asked = mine.node.at(now);
        Set<JobId> gone = new HashSet<>(cancelled.keySet());
        after(0.2, () -> {
            mine.stopped.addAll(gone);
            mine.horizon.advanceTo(asked);
            mine.loaded = true;
            watch(mine, gone);
        });
    }

    private void watch(Reign mine, Set<JobId> known) {
        if (reign != mine) {
            return;
        }
        if (!served(mine.node)) {
            after(0.3, () -> watch(mine, known));
            return;
        }
        Moment sent = mine.node.at(now);
        answer(mine, known, sent, now + Math.min(2, rules.maxCancellationAge().seconds() / 4));
    }

    /**
     * Waits for the watch to report a change or to end; it makes no progress while the state service refuses this node.
     */
    private void answer(Reign mine, Set<JobId> known, Moment sent, double ends) {
        if (reign != mine) {
            return;
        }
        Set<JobId> news = new HashSet<>(cancelled.keySet());
        news.removeAll(known);
        if (!served(mine.node) || (news.isEmpty() && now < ends)) {
            after(0.05, () -> answer(mine, known, sent, ends));
            return;
        }
        news.forEach(job -> {
            mine.horizon.recordGone(job);
            if (without == Without.UNSETTLED) {
                mine.horizon.resolved(job);
            }
            // The state service may answer so slowly that it starts to refuse this node first.
            after(random.nextDouble() * (random.nextInt(4) == 0 ? 6 : 0.3), () -> why(mine, job));
        });
        mine.horizon.advanceTo(sent);
        known.addAll(news);
        watch(mine, known);
    }

    private void why(Reign mine, JobId job) {
        if (reign == mine && !mine.stopped.contains(job) && !served(mine.node)) {
            after(0.5, () -> why(mine, job));
            return;
        }
        mine.stopped.add(job);
        mine.horizon.resolved(job);
    }

    private void ask(Reign mine) {
        if (reign != mine) {
            return;
        }
        after(0.5, () -> ask(mine));
        mine.unservedSince = served(mine.node) ? -1 : mine.unservedSince < 0 ? now : mine.unservedSince;
        if (mine.unservedSince < 0 || now - mine.unservedSince < 1.5) {
            return;
        }
        Moment sent = mine.node.at(now);
        Span back = mine.horizon.lookBack(sent, Span.seconds(3));
        List<CancellationSummary> words = new ArrayList<>();
        for (Node other : nodes) {
            if (other != mine.node) {
                after(
                        random.nextDouble() * 0.4,
                        () -> words.add(
                                now < other.downUntil || now < other.silentUntil
                                        ? CancellationSummary.NONE
                                        : other.told.summary(back, other.at(now))));
            }
        }
        after(0.4 + random.nextDouble() * 0.6, () -> {
            if (reign != mine || !mine.loaded) {
                return;
            }
            Moment heard = mine.node.at(now);
            CancellationSummary all = mine.node.told.summary(back, heard);
            for (CancellationSummary word : words) {
                all = all.and(word);
            }
            if (without != Without.NAMES && mine.stopped.addAll(all.cancelled())) {
                stoppedByWord++;
            }
            mine.horizon.peersAnswered(all.covered(), sent, heard);
            effects.effect(
                    EffectListener.CANCELLATIONS_TOLD,
                    back.ms(),
                    all.covered().ms(),
                    texts(all.cancelled()),
                    mine.horizon.completeUntil().ms());
        });
    }

    private void report(Worker w) {
        double sent = now;
        double way = random.nextDouble() * 0.1;
        after(way, () -> {
            Reign mine = reign;
            if (now < mine.node.downUntil || now < mine.node.silentUntil || !mayAnswer(mine)) {
                return;
            }
            Set<JobId> stops = new HashSet<>(mine.loaded ? mine.stopped : Set.of());
            effects.effect(EffectListener.WORKER_ANSWERED, workers.indexOf(w), texts(stops));
            after(way, () -> {
                w.answered = Math.max(w.answered, sent);
                w.tasks.removeAll(stops);
            });
        });
        after(rules.heartbeatPeriod().seconds() * (0.75 + random.nextDouble() / 2), () -> report(w));
    }

    private static List<String> texts(Set<JobId> jobs) {
        return jobs.stream().map(JobId::text).sorted().toList();
    }

    private boolean mayAnswer(Reign mine) {
        return without == Without.BACKSTOP
                || ((mine.loaded || without == Without.RECORDS)
                        && mine.node.at(now).since(mine.horizon.completeUntil()).compareTo(rules.maxCancellationAge())
                                < 0);
    }
}
