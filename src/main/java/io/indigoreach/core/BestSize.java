package io.indigoreach.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How much to rent: the paper's BestSize, per machine type. When the top job exceeds the capacity, or its wait is
 * predicted to pass the limit, the size is that of all waiting long jobs plus the top short one, less the machines
 * idle or on order. Tasks much shorter than the paid term follow each other on a machine within that term.
 */
final class BestSize {
    private static final int MOST_PER_REQUEST = 50;
    /** An aim nearer than this many boot times is not met by renting. */
    private static final double AIM_REACH = 1.2;

    private final Cluster cluster;
    private final Dispatcher dispatcher;
    private final Estimates estimates;
    private final Aims aims;
    private final Tuning tuning;
    private final Map<Pool, Moment> refusedUntil = new HashMap<>();

    BestSize(Cluster cluster, Dispatcher dispatcher, Estimates estimates, Aims aims, Tuning tuning) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.estimates = estimates;
        this.aims = aims;
        this.tuning = tuning;
    }

    void refused(Pool pool, Moment now) {
        refusedUntil.put(pool, now.plus(tuning.refusedFor()));
    }

    List<RentWish> wishes(Moment now) {
        Map<Pool, Integer> wanted = new HashMap<>();
        for (Share share : cluster.shares()) {
            size(share, now, wanted);
        }
        List<RentWish> out = new ArrayList<>();
        wanted.forEach((pool, n) -> {
            for (int left = n; left > 0; left -= MOST_PER_REQUEST) {
                out.add(new RentWish(pool, Math.min(left, MOST_PER_REQUEST)));
            }
        });
        return out;
    }

    private void size(Share share, Moment now, Map<Pool, Integer> wanted) {
        Job top = dispatcher.top(share, now);
        if (top == null || !isDue(share, top, now)) {
            return;
        }
        Map<String, Need> needs = new HashMap<>();
        boolean shortTaken = false;
        double teamCores = share.cores();
        for (Job job : dispatcher.queue(share, now)) {
            int waiting = job.waiting();
            if (waiting == 0 || job.isSuspect() || !dispatcher.mayStart(job, now)) {
                continue;
            }
            boolean isShort = estimates.run(job).compareTo(tuning.shortJob()) < 0;
            if (isShort && shortTaken) {
                continue;
            }
            shortTaken |= isShort;
            if (share.team.coresMax() > 0 && job.spec.demand().cores() > 0) {
                waiting = Math.min(waiting, (int) ((share.team.coresMax() - teamCores) / job.spec.demand().cores()));
                teamCores += Math.max(0, waiting) * job.spec.demand().cores();
            }
            MachineType type = cheapest(job.spec);
            if (type == null || waiting <= 0) {
                continue;
            }
            double more = machinesFor(job, type, waiting);
            needs.computeIfAbsent(type.name(), t -> new Need(job)).add(more, mayTakeOrdinary(job, now) ? more : 0);
        }
        addBacklog(share, needs, now);
        needs.forEach((type, need) -> {
            int atHand = atHand(share, type, now);
            int n = (int) Math.ceil(need.machines - 1e-6) - atHand;
            int ordinary = Math.min(n, (int) Math.ceil(need.ordinary - 1e-6) - atHand);
            if (n > 0) {
                choosePools(need.first, cluster.types.get(type), n, ordinary, now, wanted);
            }
        });
    }

    /** What one share needs of a machine type; {@code ordinary}: the part that does not wait for spot capacity. */
    private static final class Need {
        final Job first;
        double machines;
        double ordinary;

        Need(Job first) {
            this.first = first;
        }

        void add(double more, double ofThatOrdinary) {
            machines += more;
            ordinary += ofThatOrdinary;
        }
    }

    /** The work of one machine type's queue, added up in the order of the queue, in seconds of a whole machine. */
    private static final class Backlog {
        double work;
        /** Machines beyond those that serve, so that everything added so far starts in time for its aims. */
        double missing;
    }

    /**
     * Ordinary machines for a queue that the spot machines which can be had do not serve in time: for each job, the
     * work before and including it must fit into what the machines that serve can do until the job's latest start that
     * still meets an aim, and all of it into the time that the settings allow for any queue.
     */
    private void addBacklog(Share share, Map<String, Need> needs, Moment now) {
        Map<String, Capacity> capacities = new HashMap<>();
        Map<String, Backlog> backlogs = new HashMap<>();
        for (Job job : dispatcher.queue(share, now)) {
            MachineType type = cheapest(job.spec);
            if (type == null || !job.hasWaiting() || job.isSuspect() || job.spec.shape() != Shape.ARRAY) {
                continue;
            }
            Capacity capacity = capacities.computeIfAbsent(type.name(), t -> capacity(share, type, now));
            Backlog backlog = backlogs.computeIfAbsent(type.name(), t -> new Backlog());
            Span run = estimates.run(job);
            backlog.work += job.waiting() * run.seconds() / Math.max(1, job.spec.demand().timesIn(type.capacity()));
            Span boot = type.boot();
            Moment latest = aims.latestStart(job, run, 1, now.plus(boot.times(AIM_REACH)));
            double left = latest.since(now).seconds() * tuning.aimShare();
            double useful = left - boot.seconds();
            if (useful > 0) {
                backlog.missing = Math.max(backlog.missing, (backlog.work - capacity.until(left)) / useful);
            }
        }
        needs.forEach((type, need) -> {
            Backlog backlog = backlogs.get(type);
            if (backlog != null) {
                double limit = tuning.backlogLimit().seconds();
                double beyond = Math.floor(backlog.work / limit) - capacities.get(type).machines();
                double missing = Math.max(beyond, Math.floor(backlog.missing));
                need.ordinary = Math.max(need.ordinary, missing + atHand(share, type, now));
            }
        });
    }

    /** What the machines that serve a share can do: those up, less what runs on them, and those that are coming. */
    private record Capacity(int up, double busy, int coming, double untilUp) {
        int machines() {
            return up + coming;
        }

        /** Seconds of a whole machine until so many seconds from now. */
        double until(double seconds) {
            return Math.max(0, up * seconds - busy)
                    + (coming == 0 ? 0 : coming * Math.max(0, seconds - untilUp / coming));
        }
    }

    private Capacity capacity(Share share, MachineType type, Moment now) {
        int up = 0;
        int coming = 0;
        double busy = 0;
        double untilUp = 0;
        for (Machine m : cluster.serving(share)) {
            if (!m.pool.type().equals(type.name())) {
                continue;
            }
            if (m.phase == Machine.Phase.UP && m.notice == null && !m.condemned) {
                up++;
                for (Placement p : m.tasks().values()) {
                    busy += estimates.end(p, now).since(now).seconds()
                            / Math.max(1, p.demand().timesIn(type.capacity()));
                }
            } else if (isComing(m, now)) {
                coming++;
                untilUp += Math.max(0, m.rented.plus(type.boot()).since(now).seconds());
            }
        }
        return new Capacity(up, busy, coming, untilUp);
    }

    private boolean mayTakeOrdinary(Job job, Moment now) {
        Span patience = job.spec.urgency().isMoreUrgentThan(Urgency.STANDARD) ? tuning.urgentSpotPatience()
                : tuning.spotPatience();
        return !job.spec.spotAllowed() || now.since(job.arrived).compareTo(patience) >= 0;
    }

    private boolean isDue(Share share, Job top, Moment now) {
        Moment start = dispatcher.reservation(share, top, now).lastStart();
        return start == null || start.since(top.arrived).compareTo(tuning.waitLimit()) > 0;
    }

    private double machinesFor(Job job, MachineType type, int waiting) {
        int perMachine = Math.max(1, job.spec.demand().timesIn(type.capacity()));
        double run = estimates.run(job).seconds();
        double share = job.spec.shape() == Shape.SERVICE ? 1 : Math.min(1, run / tuning.leastPaid().seconds());
        return waiting * share / perMachine;
    }

    /** Machines idle or on order; one that is long overdue is not counted on. */
    private int atHand(Share share, String type, Moment now) {
        int n = 0;
        for (Machine m : cluster.serving(share)) {
            if (!m.pool.type().equals(type)) {
                continue;
            }
            if (isComing(m, now) || m.phase == Machine.Phase.UP && m.isIdle() && m.notice == null && !m.condemned) {
                n++;
            }
        }
        return n;
    }

    private boolean isComing(Machine m, Moment now) {
        return m.phase == Machine.Phase.BOOTING
                && now.isBefore(m.rented.plus(m.type.boot().times(tuning.bootPatience())));
    }

    private MachineType cheapest(JobSpec spec) {
        MachineType best = null;
        double bestPrice = Double.MAX_VALUE;
        for (MachineType type : cluster.types.values()) {
            int fit = spec.demand().timesIn(type.capacity());
            if (fit == 0 || !spec.allowsType(type.name())) {
                continue;
            }
            double price = (spec.spotAllowed() && type.spotPrice() > 0 ? type.spotPrice() : type.price()) / fit;
            if (price < bestPrice) {
                best = type;
                bestPrice = price;
            }
        }
        return best;
    }

    /** Spot before ordinary, the zone with fewer of our machines first; pools that just refused are left alone. */
    private void choosePools(Job job, MachineType type, int count, int ofThatOrdinary, Moment now,
                             Map<Pool, Integer> wanted) {
        if (job.spec.spotAllowed() && type.spotPrice() > 0 && spread(job, type, true, count, now, wanted)) {
            return;
        }
        spread(job, type, false, ofThatOrdinary, now, wanted);
    }

    /** Shares the machines out among the zones, a request at a time; false if no pool can be asked. */
    private boolean spread(Job job, MachineType type, boolean spot, int count, Moment now, Map<Pool, Integer> wanted) {
        Map<Pool, Integer> have = new LinkedHashMap<>();
        String bound = job.spec.oneZone() ? job.boundZone() : null;
        for (String zone : type.zones()) {
            Pool pool = new Pool(type.name(), zone, spot);
            Moment until = refusedUntil.get(pool);
            if (job.spec.allowsZone(zone) && (bound == null || bound.equals(zone))
                    && (until == null || !now.isBefore(until))) {
                have.put(pool, 0);
            }
        }
        if (have.isEmpty()) {
            return false;
        }
        for (Machine m : cluster.machines.values()) {
            have.computeIfPresent(m.pool, (pool, n) -> n + 1);
        }
        for (int left = count; left > 0; left -= MOST_PER_REQUEST) {
            int n = Math.min(left, MOST_PER_REQUEST);
            Pool fewest = have.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow().getKey();
            wanted.merge(fewest, n, Integer::sum);
            have.merge(fewest, n, Integer::sum);
        }
        return true;
    }
}
