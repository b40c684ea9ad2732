package io.indigoreach.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The paper's priority queue, its priority from urgency, time and size. Urgent jobs come first; within a band, each
 * job is due at the latest start that still meets an aim of its class. Where the machines cannot start everything in
 * time, serving in that order would make all jobs a little late. So jobs are then put back to their next aim, and in
 * the end behind the others, until the rest is in time: those first that take most work for what their aim counts
 * (Moore and Hodgson's rule for the fewest late jobs).
 */
final class QueueOrder {
    /** What clearing a machine of small tasks takes, about. */
    private static final Span CLEARING = Span.seconds(120);

    /** Part of the machines' time that is counted on: images are fetched in the rest, and room is left in pieces. */
    private static final double RELIABLE = 0.9;

    /**
     * The queue, its bulky jobs, and the queue with those counted as due some time sooner.
     *
     * @param bulkyPlaces machines' worth of bulky tasks beyond which they have no precedence: their part of the work
     */
    record Ordered(List<Job> jobs, List<Job> bulky, List<Job> bulkyFirst, double bulkyPlaces) {
        static final Ordered EMPTY = new Ordered(List.of(), List.of(), List.of(), 0);
    }

    /** A job with what its place in the queue depends on. */
    private static final class Ranked {
        final Job job;
        final Urgency urgency;
        final boolean bulky;
        /** Seconds of a whole machine that its waiting tasks take. */
        final double work;
        /** Work for each part of its class's aim that it is: the more, the sooner it is put back. */
        final double price;
        Moment latest;
        boolean late;

        Ranked(Job job, boolean bulky, double work, double price, Moment latest) {
            this.job = job;
            this.urgency = job.spec.urgency() == Urgency.BEST_EFFORT ? Urgency.STANDARD : job.spec.urgency();
            this.bulky = bulky;
            this.work = work;
            this.price = price;
            this.latest = latest;
        }
    }

    private static final Comparator<Ranked> ARRIVAL = Comparator.<Ranked>comparingLong(r -> r.job.submittedMs)
            .thenComparing(r -> r.job.id());
    private static final Comparator<Ranked> DUE = Comparator.<Ranked, Moment>comparing(r -> r.latest)
            .thenComparing(ARRIVAL);
    private static final Comparator<Ranked> SERVED = Comparator.<Ranked, Urgency>comparing(r -> r.urgency)
            .thenComparing(r -> r.late).thenComparing(DUE);

    private final Cluster cluster;
    private final Aims aims;
    private final Estimates estimates;

    QueueOrder(Cluster cluster, Aims aims, Estimates estimates) {
        this.cluster = cluster;
        this.aims = aims;
        this.estimates = estimates;
    }

    Ordered order(Share share, Moment now) {
        Machines machines = machines(share, now);
        List<Ranked> all = new ArrayList<>();
        Map<Urgency, PriorityQueue<Ranked>> bands = new HashMap<>();
        for (Job job : share.jobs()) {
            int perMachine = perMachine(job);
            double work = job.waiting() * estimates.run(job).seconds() / perMachine;
            Ranked r = new Ranked(job, perMachine <= 2, work, work * cluster.seen(job.spec.jobClass()),
                    latestStart(job, now));
            all.add(r);
            if (job.hasWaiting() && !job.isSuspect()) {
                bands.computeIfAbsent(r.urgency, u -> new PriorityQueue<>(DUE)).add(r);
            }
        }
        double before = 0;
        for (Urgency urgency : Urgency.values()) {
            PriorityQueue<Ranked> band = bands.get(urgency);
            if (band != null && urgency.isMoreUrgentThan(Urgency.STANDARD)) {
                before += band.stream().mapToDouble(r -> r.work).sum();
            } else if (band != null) {
                putBack(band, before, machines, now);
            }
        }
        all.sort(SERVED);
        List<Job> jobs = jobs(all);
        List<Job> bulky = all.stream().filter(r -> r.bulky).map(r -> r.job).toList();
        if (bulky.isEmpty()) {
            return new Ordered(jobs, bulky, jobs, 0);
        }
        for (Ranked r : all) {
            if (r.bulky) {
                r.latest = r.latest.minus(CLEARING);
            }
        }
        all.sort(SERVED);
        double work = 0;
        double bulkyWork = 0;
        for (Ranked r : all) {
            double whole = r.work + running(r.job);
            work += whole;
            bulkyWork += r.bulky ? whole : 0;
        }
        return new Ordered(jobs, bulky, jobs(all), work > 0 ? machines.count * bulkyWork / work : 0);
    }

    /** Half of what its running tasks take in all: what is left of them, on average. */
    private double running(Job job) {
        return job.active().size() * estimates.run(job).seconds() / perMachine(job) / 2;
    }

    private static List<Job> jobs(List<Ranked> ranked) {
        return ranked.stream().map(r -> r.job).toList();
    }

    private void putBack(PriorityQueue<Ranked> band, double before, Machines machines, Moment now) {
        PriorityQueue<Ranked> inTime = new PriorityQueue<>(
                Comparator.<Ranked>comparingDouble(r -> -r.price).thenComparing(ARRIVAL));
        double sum = before;
        while (!band.isEmpty()) {
            Ranked next = band.poll();
            inTime.add(next);
            sum += next.work;
            while (sum > machines.until(next.latest.since(now).seconds()) && !inTime.isEmpty()) {
                Ranked costly = inTime.poll();
                sum -= costly.work;
                Moment later = latestStart(costly.job, next.latest.plus(new Span(1)));
                costly.late = !later.isAfter(next.latest) || !aims.isAim(costly.job, later);
                costly.latest = later;
                if (!costly.late) {
                    band.add(costly);
                }
            }
        }
    }

    /** By when the job's waiting tasks should have started for an aim whose latest start is not before {@code from}. */
    Moment latestStart(Job job, Moment from) {
        double fetch = 0;
        for (MachineType type : cluster.types.values()) {
            if (job.spec.allowsType(type.name())) {
                fetch = Math.max(fetch, type.fetchGbPerS());
            }
        }
        return aims.latestStart(job, estimates.longest(job, fetch), from);
    }

    /** How many of a job's tasks a machine takes. */
    int perMachine(Job job) {
        int most = 1;
        for (MachineType type : cluster.types.values()) {
            if (job.spec.allowsType(type.name())) {
                most = Math.max(most, job.spec.demand().timesIn(type.capacity()));
            }
        }
        return most;
    }

    /** What the machines that serve a share can do, as if all came free only after what they do now. */
    private record Machines(int count, double busy) {
        double until(double seconds) {
            return Math.max(0, count * seconds * RELIABLE - busy);
        }
    }

    private Machines machines(Share share, Moment now) {
        int count = 0;
        double busy = 0;
        for (Machine m : cluster.serving(share)) {
            if (m.phase == Machine.Phase.BOOTING) {
                count++;
                busy += Math.max(0, m.rented.plus(m.type.boot()).since(now).seconds());
            } else if (m.isUsable()) {
                count++;
                for (Placement p : m.tasks().values()) {
                    busy += estimates.end(p, now).since(now).seconds()
                            / Math.max(1, p.demand().timesIn(m.type.capacity()));
                }
            }
        }
        return new Machines(count, busy);
    }
}
