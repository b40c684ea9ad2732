package io.indigoreach.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How much to rent: the paper's BestSize, per machine type. When the top job exceeds the capacity, or its wait is
 * predicted to pass the limit, the size is that of all waiting long jobs plus the top short one, less the machines
 * idle or on order. Tasks much shorter than the paid term follow each other on a machine within that term.
 */
final class BestSize {
    private static final int MOST_PER_REQUEST = 50;

    private final Cluster cluster;
    private final Dispatcher dispatcher;
    private final Estimates estimates;
    private final Tuning tuning;
    private final Map<Pool, Moment> refusedUntil = new HashMap<>();

    BestSize(Cluster cluster, Dispatcher dispatcher, Estimates estimates, Tuning tuning) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.estimates = estimates;
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
        wanted.forEach((pool, n) -> out.add(new RentWish(pool, Math.min(n, MOST_PER_REQUEST))));
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

    /**
     * Ordinary machines for a queue too long for the spot machines that can be had: as many as drain it in the time
     * that the settings allow. Without this, a day's work ends late for the sake of a price that nobody asked for.
     */
    private void addBacklog(Share share, Map<String, Need> needs, Moment now) {
        Map<String, Double> seconds = new HashMap<>();
        for (Job job : share.jobs()) {
            MachineType type = cheapest(job.spec);
            if (type != null && job.hasWaiting() && !job.isSuspect() && job.spec.shape() == Shape.ARRAY) {
                double perMachine = Math.max(1, job.spec.demand().timesIn(type.capacity()));
                seconds.merge(type.name(), job.waiting() * estimates.run(job).seconds() / perMachine, Double::sum);
            }
        }
        needs.forEach((type, need) -> {
            long serving = cluster.serving(share).stream().filter(m -> m.pool.type().equals(type)
                    && (m.isUsable() || isComing(m, now))).count();
            double missing = Math.floor(seconds.getOrDefault(type, 0.0) / tuning.backlogLimit().seconds()) - serving;
            need.ordinary = Math.max(need.ordinary, missing + atHand(share, type, now));
        });
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
        if (job.spec.spotAllowed() && type.spotPrice() > 0) {
            Pool spot = choose(job, type, true, now);
            if (spot != null) {
                wanted.merge(spot, count, Integer::sum);
                return;
            }
        }
        Pool ordinary = ofThatOrdinary > 0 ? choose(job, type, false, now) : null;
        if (ordinary != null) {
            wanted.merge(ordinary, ofThatOrdinary, Integer::sum);
        }
    }

    private Pool choose(Job job, MachineType type, boolean spot, Moment now) {
        Pool best = null;
        long fewest = Long.MAX_VALUE;
        String bound = job.spec.oneZone() ? job.boundZone() : null;
        for (String zone : type.zones()) {
            Pool pool = new Pool(type.name(), zone, spot);
            Moment until = refusedUntil.get(pool);
            if (!job.spec.allowsZone(zone) || bound != null && !bound.equals(zone)
                    || until != null && now.isBefore(until)) {
                continue;
            }
            long have = cluster.machines.values().stream().filter(m -> m.pool.equals(pool)).count();
            if (have < fewest) {
                best = pool;
                fewest = have;
            }
        }
        return best;
    }
}
