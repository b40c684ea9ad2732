package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How much to rent: the paper's BestSize, per machine type. When the top job exceeds the capacity, or its wait is
 * predicted to pass the limit, the size is that of all waiting long jobs plus the top short one, less the machines
 * idle or on order. Tasks much shorter than the paid term follow each other on a machine within that term.
 *
 * <p>One exception: a queue of many short jobs, each of which would be served soon by itself. Counting the top one only
 * rents a machine or two per boot, however many wait behind it. Of the short jobs' work, what the machines that are up
 * cannot begin within the wait limit is counted too, by the paid term that it fills.
 */
final class BestSize {
    private static final int MOST_PER_REQUEST = 50;
    /** Seconds in which the number of ordinary machines kept goes down by half. */
    private static final double RETENTION_HALF_LIFE_S = 60;
    /** Part of an estimate that counts for a queue of short jobs while nobody has seen one of their class end. */
    private static final double UNSEEN_ESTIMATE_SHARE = 1.0 / 3;

    private final Cluster cluster;
    private final DispatchRules rules;
    private final Estimates estimates;
    private final SchedulerSettings tuning;
    private final FailureDetector failureDetector;
    /** Ordinary machines kept, per share and type: it follows the need up at once, and down over some time. */
    private final Map<String, Kept> retained = new HashMap<>();

    private final Map<MachinePool, Moment> refusedUntil = new HashMap<>();

    BestSize(
            Cluster cluster,
            DispatchRules rules,
            Estimates estimates,
            SchedulerSettings tuning,
            FailureDetector failureDetector) {
        this.cluster = cluster;
        this.rules = rules;
        this.estimates = estimates;
        this.tuning = tuning;
        this.failureDetector = failureDetector;
    }

    void refused(MachinePool pool, Moment now) {
        refusedUntil.put(pool, now.plus(tuning.refusalBackoff()));
    }

    /** Whether it is of use to ask for machines there at this moment. */
    boolean mayAsk(MachinePool pool, Moment now) {
        return !isRefused(pool, now) && !failureDetector.isZoneCutOff(pool.zone());
    }

    private boolean isRefused(MachinePool pool, Moment now) {
        Moment until = refusedUntil.get(pool);
        return until != null && now.isBefore(until);
    }

    List<ScaleOutRequest> scaleOutRequests(Moment now) {
        Map<MachinePool, Integer> wanted = new HashMap<>();
        for (FairShareQueue queue : cluster.queues()) {
            sizeQueue(queue, now, wanted);
        }
        List<ScaleOutRequest> out = new ArrayList<>();
        wanted.forEach((pool, n) -> {
            for (int left = n; left > 0; left -= MOST_PER_REQUEST) {
                out.add(new ScaleOutRequest(pool, Math.min(left, MOST_PER_REQUEST)));
            }
        });
        return out;
    }

    private void sizeQueue(FairShareQueue queue, Moment now, Map<MachinePool, Integer> wanted) {
        Map<String, Need> needs = new HashMap<>();
        Map<String, Backlog> backlogs = backlogs(queue, now);
        Job top = rules.reservations().topJob(queue, now).orElse(null);
        if (top == null || !mustScaleOut(queue, top, now)) {
            markSurplus(queue, backlogs, needs, now);
            return;
        }
        boolean shortTaken = false;
        Map<String, Double> shortWork = new HashMap<>();
        Map<TeamUsage, Double> planned = new HashMap<>();
        for (Job job : rules.order().jobs(queue, now)) {
            int waiting = job.startableCount();
            // The leader before has seen to its own; what is there for them is not known before all have reported.
            boolean seenTo = job.inherited && !rules.placement().isFailoverComplete();
            if (waiting == 0
                    || seenTo
                    || job.isSuspectedFaulty()
                    || !rules.placement().mayStart(job, now)) {
                continue;
            }
            boolean isShort = estimates.run(job).compareTo(tuning.shortJob()) < 0;
            TeamUsage team = cluster.teamUsage(job);
            waiting = Math.min(waiting, team.room(job.spec.demand(), planned.getOrDefault(team, 0.0)));
            planned.merge(team, Math.max(0, waiting) * job.spec.demand().cores(), Double::sum);
            MachineType type = cheapest(job);
            if (type == null || waiting <= 0) {
                continue;
            }
            if (isShort) {
                shortWork.merge(type.name(), waiting * confidentMachineSeconds(job, type), Double::sum);
                if (shortTaken) {
                    continue;
                }
                shortTaken = true;
            }
            double more = machinesFor(job, type, waiting);
            Need need = needs.computeIfAbsent(type.name(), t -> new Need());
            if (!canBeRented(job, type, now)) {
                // Not as the first, whose zones the others' machines are asked for in: bound to an empty zone, it
                // stopped all.
                need.ordinary += mayTakeOrdinary(job, now) ? more : 0;
                continue;
            }
            need.add(job, more, mayTakeOrdinary(job, now));
            need.topShort = isShort ? more : need.topShort;
            need.shortOnOrdinary |= isShort && mayTakeOrdinary(job, now);
        }
        markSurplus(queue, backlogs, needs, now);
        needs.forEach((name, need) -> {
            MachineType type = cluster.types.get(name);
            double behind = Math.max(
                    0, machinesForShortBacklog(shortWork.getOrDefault(name, 0.0), backlogs.get(name)) - need.topShort);
            need.machines += behind;
            need.ordinary += need.shortOnOrdinary ? behind : 0;
            int atHand = atHand(queue, name, false, now);
            int only = need.firstOrdinary == null
                    ? 0
                    : Math.max(0, roundUp(need.ordinaryOnly) - atHand(queue, name, true, now));
            if (only > 0) {
                spreadOverZones(need.firstOrdinary, type, false, only, now, wanted);
            }
            int rest = roundUp(need.machines) - atHand - only;
            Job job = need.firstSpot;
            if (rest <= 0
                    || job == null
                    || (type.spotPrice() > 0 && spreadOverZones(job, type, true, rest, now, wanted))) {
                return;
            }
            Backlog backlog = backlogs.get(name);
            int missing = (int) Math.floor(backlog.needed - backlog.ordinary.machines());
            spreadOverZones(
                    job,
                    type,
                    false,
                    Math.min(rest, Math.max(missing, roundUp(need.ordinary) - atHand) - only),
                    now,
                    wanted);
        });
    }

    /**
     * Machines for the short jobs' work, in seconds of a whole machine, that those up do not come to within the wait
     * limit. What is idle or coming is left out here, as it is taken off the whole need.
     */
    private double machinesForShortBacklog(double work, Backlog backlog) {
        double limit = tuning.waitLimit().seconds();
        double there = backlog.spot.busyUntil(limit) + backlog.ordinary.busyUntil(limit);
        return Math.max(0, work - there) / tuning.minimumPaidTime().seconds();
    }

    private static int roundUp(double machines) {
        return (int) Math.ceil(machines - 1e-6);
    }

    /**
     * What one share needs of a machine type; {@code ordinary}: the part that does not wait for spot capacity, and
     * {@code ordinaryOnly} of it the part that may not use it.
     */
    private static final class Need {
        Job firstSpot;
        Job firstOrdinary;
        double machines;
        double ordinary;
        double ordinaryOnly;
        /** Of the machines, those for the top short job. */
        double topShort;
        /** The top short job does not wait for spot capacity, nor then do those behind it. */
        boolean shortOnOrdinary;

        void add(Job job, double more, boolean mayTakeOrdinary) {
            machines += more;
            ordinary += mayTakeOrdinary ? more : 0;
            if (job.spec.spotAllowed()) {
                firstSpot = firstSpot == null ? job : firstSpot;
            } else {
                firstOrdinary = firstOrdinary == null ? job : firstOrdinary;
                ordinaryOnly += more;
            }
        }
    }

    /** The work of one machine type's queue, added up in the order of the queue, in seconds of a whole machine. */
    private static final class Backlog {
        final Capacity spot;
        final Capacity ordinary;
        /** Machines busy all the time with the work of jobs whose aims are too near to rent for them. */
        final double flow;

        double work;
        /** Ordinary machines that are needed so that everything added so far starts in time for its aims. */
        double needed;

        Backlog(Capacity spot, Capacity ordinary, double flow) {
            this.spot = spot;
            this.ordinary = ordinary;
            this.flow = flow;
        }

        /**
         * {@code left} seconds until the work added so far should have started; a machine takes {@code boot} to come,
         * and {@code before} machines are kept busy by what comes later and goes before it.
         */
        void mustStartWithin(double left, double boot, double leastPaid, double before) {
            double useful = left - boot;
            double missing = work + before * left - spot.until(left);
            if (useful <= 0 || missing <= 0) {
                return;
            }
            double there = ordinary.until(left);
            // A machine is worth renting if it finds work for the time that is paid in any case.
            double more = Math.max(0, missing - there) / Math.max(useful, leastPaid);
            needed = Math.max(needed, more + ordinary.machines() * (there > 0 ? Math.min(1, missing / there) : 1));
        }
    }

    /**
     * Ordinary machines for a queue that the spot machines which can be had do not serve in time: for each job, the
     * work before and including it must fit into what the machines that serve can do until the job's latest start that
     * still meets an aim, and all of it into the time that the settings allow for any queue. Those that are more than
     * that get no new tasks, and so come to be idle at the end of a term.
     */
    private Map<String, Backlog> backlogs(FairShareQueue queue, Moment now) {
        Map<String, Backlog> backlogs = new HashMap<>();
        for (MachineType type : cluster.types.values()) {
            backlogs.put(
                    type.name(),
                    new Backlog(
                            capacity(queue, type, true, now),
                            capacity(queue, type, false, now),
                            arrivalLoad(queue, type, now)));
        }
        for (Job job : rules.order().jobs(queue, now)) {
            MachineType type = cheapest(job);
            if (type == null || !job.hasWaiting() || job.isSuspectedFaulty() || job.spec.isService()) {
                continue;
            }
            Backlog backlog = backlogs.get(type.name());
            backlog.work += job.waitingCount() * machineSeconds(job, type);
            Moment latest =
                    rules.order().latestStart(job, now.plus(rules.order().shortestRentableObjective(type)));
            backlog.mustStartWithin(
                    latest.since(now).seconds() * tuning.objectiveShare(),
                    type.boot().seconds(),
                    tuning.minimumPaidTime().seconds(),
                    rules.order().isObjectiveTooNearToRent(job, type) ? 0 : backlog.flow);
        }
        for (Backlog backlog : backlogs.values()) {
            double whole = Math.floor(backlog.work / tuning.backlogLimit().seconds()) - backlog.spot.machines();
            backlog.needed = Math.max(backlog.needed, Math.max(whole, backlog.flow - backlog.spot.machines()));
        }
        return backlogs;
    }

    private double arrivalLoad(FairShareQueue queue, MachineType type, Moment now) {
        return queue.arrivalRate()
                .perSecond(
                        job -> type.equals(cheapest(job)) && rules.order().isObjectiveTooNearToRent(job, type),
                        job -> job.spec.tasks() * machineSeconds(job, type),
                        tuning.minimumPaidTime(),
                        now);
    }

    /** A task's run time in seconds of a whole machine. */
    private double machineSeconds(Job job, MachineType type) {
        return estimates.run(job).seconds() / Math.max(1, job.spec.demand().timesIn(type.capacity()));
    }

    /** The same by what is sure: an estimate is often three times too long, and machines come for nothing then. */
    private double confidentMachineSeconds(Job job, MachineType type) {
        return machineSeconds(job, type) * (estimates.hasSeen(job) ? 1 : UNSEEN_ESTIMATE_SHARE);
    }

    private record Kept(double machines, Moment at) {}

    /**
     * What to keep for a need. One let go and rented again costs a boot and the least that a machine costs, so the
     * number goes down by no more than half in that time. A new leader does not know what the machines that are there
     * have been kept for, and begins with all of them.
     */
    private double retained(String what, double need, double there, Moment now) {
        Kept old = retained.getOrDefault(what, new Kept(there, now));
        double halves = now.since(old.at).seconds() / RETENTION_HALF_LIFE_S;
        double keep = Math.max(need, old.machines * Math.pow(0.5, halves));
        retained.put(what, new Kept(keep, now));
        return keep;
    }

    /** Ordinary machines beyond those needed take no new tasks, those with the least to do first. */
    private void markSurplus(FairShareQueue queue, Map<String, Backlog> backlogs, Map<String, Need> needs, Moment now) {
        Map<String, List<Machine>> ordinary = new HashMap<>();
        for (Machine machine : cluster.machinesServing(queue)) {
            if (!machine.pool.spot() && machine.phase == Machine.Phase.UP && machine.poolMembership == null) {
                ordinary.computeIfAbsent(machine.pool.type(), t -> new ArrayList<>())
                        .add(machine);
            }
        }
        boolean ordinaryOnly = queue.jobs().stream().anyMatch(job -> job.hasWaiting() && !job.spec.spotAllowed());
        ordinary.forEach((type, machines) -> {
            Backlog backlog = backlogs.get(type);
            Need need = needs.get(type);
            double needed = backlog.needed + (need == null ? 0 : need.ordinary);
            double there = machines.stream()
                    .mapToDouble(machine -> 1 - heldByReplicas(machine))
                    .sum();
            double keep = retained(queue.name + " " + type, needed, there, now);
            if (ordinaryOnly || cluster.types.get(type).spotPrice() <= 0) {
                keep = there;
            }
            machines.sort(Comparator.comparingInt(Machine::taskCount));
            double surplus = there - Math.round(keep);
            for (Machine machine : machines) {
                // One that holds replicas is paid for in any case, so the rest of it is used.
                machine.markSurplus(heldByReplicas(machine) == 0 && surplus >= 1);
                surplus -= machine.surplus ? 1 : 0;
            }
        });
    }

    /** What machines can do: those up, less what runs on them, and those that are coming. A replica takes its part. */
    private record Capacity(double up, double idle, double busy, int coming, double untilUp) {
        double machines() {
            return up + coming;
        }

        /** The same of the machines that are at work only. */
        double busyUntil(double seconds) {
            return Math.max(0, (up - idle) * seconds - busy);
        }

        /** Seconds of a whole machine until so many seconds from now. */
        double until(double seconds) {
            return Math.max(0, up * seconds - busy)
                    + (coming == 0 ? 0 : coming * Math.max(0, seconds - untilUp / coming));
        }
    }

    private Capacity capacity(FairShareQueue queue, MachineType type, boolean spot, Moment now) {
        double up = 0;
        double idle = 0;
        int coming = 0;
        double busy = 0;
        double untilUp = 0;
        for (Machine machine : cluster.machinesServing(queue)) {
            if (!machine.pool.type().equals(type.name())
                    || machine.pool.spot() != spot
                    || machine.poolMembership != null) {
                continue;
            }
            if (machine.isHealthy()) {
                up += 1 - heldByReplicas(machine);
                idle += machine.isIdle() ? 1 : 0;
                for (Placement placement : machine.placements().values()) {
                    busy += placement.job.spec.isService()
                            ? 0
                            : estimates.end(placement, now).since(now).seconds()
                                    / Math.max(1, placement.demand().timesIn(type.capacity()));
                }
            } else if (machine.isBooting(now, tuning.bootPatience())) {
                coming++;
                untilUp += Math.max(
                        0, machine.rentedAt.plus(type.boot()).since(now).seconds());
            }
        }
        return new Capacity(up, idle, busy, coming, untilUp);
    }

    /** The part of a machine that replicas hold: it does not come free by itself. */
    private static double heldByReplicas(Machine machine) {
        double held = 0;
        for (Placement placement : machine.placements().values()) {
            held += placement.job.spec.isService() ? placement.demand().shareOf(machine.type.capacity()) : 0;
        }
        return Math.min(1, held);
    }

    /**
     * Another exception (the paper's section 3 rents when the top job's predicted wait passes the limit): planned work comes as
     * late as its prediction allows, a boot included. Behind a top job that is served soon the trigger would come only when that
     * boot no longer fits before the departure.
     */
    private boolean bootsTooLate(Job job, Moment now) {
        MachineType type =
                job.spec.isPlanned() && job.hasStartable() && !job.isSuspectedFaulty() ? cheapest(job) : null;
        return type != null
                && !now.plus(type.boot())
                        .plus(estimates.run(job))
                        .plus(Estimates.fetch(job, type))
                        .plus(tuning.waitLimit())
                        .isBefore(job.dueAt())
                && rules.placement().mayStart(job, now);
    }

    /**
     * Spot machines are asked for first in any case. Where none are to be had, an aim says how long the job may wait for
     * one; without an aim that is the wait limit, or the design's rule would not hold: of 94 tasks all went one after the
     * other over a single ordinary machine.
     */
    private boolean mayTakeOrdinary(Job job, Moment now) {
        Span patience =
                job.urgency().isMoreUrgentThan(Urgency.STANDARD) ? tuning.urgentSpotPatience() : tuning.spotPatience();
        if ((rules.order().hasNoReachableObjective(job, now) || job.spec.isPlanned())
                && tuning.waitLimit().compareTo(patience) < 0) {
            patience = tuning.waitLimit();
        }
        return !job.spec.spotAllowed() || now.since(job.eligibleSince).compareTo(patience) >= 0;
    }

    private boolean mustScaleOut(FairShareQueue queue, Job top, Moment now) {
        Moment start = rules.reservations().of(queue, top, now).lastStart();
        return start == null
                || start.since(top.eligibleSince).compareTo(tuning.waitLimit()) > 0
                || queue.jobs().stream().anyMatch(job -> waitsTooLong(job, now) || bootsTooLate(job, now));
    }

    /** Behind an urgent job that is served at once others may wait for ever: their wait is past the limit, not predicted. */
    private boolean waitsTooLong(Job job, Moment now) {
        return job.hasStartable()
                && !job.isSuspectedFaulty()
                && now.since(job.eligibleSince).compareTo(tuning.waitLimit()) > 0
                && rules.placement().mayStart(job, now);
    }

    private double machinesFor(Job job, MachineType type, int waiting) {
        int perMachine = Math.max(1, job.spec.demand().timesIn(type.capacity()));
        double run = estimates.run(job).seconds();
        double share = job.spec.isService()
                ? 1
                : Math.min(1, run / tuning.minimumPaidTime().seconds());
        return waiting * share / perMachine;
    }

    /** Machines idle or on order; one that is long overdue is not counted on. */
    private int atHand(FairShareQueue queue, String type, boolean ordinaryOnly, Moment now) {
        int n = 0;
        for (Machine machine : cluster.machinesServing(queue)) {
            if (!machine.pool.type().equals(type)
                    || (ordinaryOnly && machine.pool.spot())
                    || (machine.poolMembership != null && !isWarmFor(queue, machine))) {
                continue;
            }
            if (machine.isBooting(now, tuning.bootPatience())
                    || (machine.isHealthy() && machine.isIdle() && isUsableByQueue(queue, machine))) {
                n++;
            }
        }
        return n;
    }

    /** A machine of a warm pool is at hand for who waits for what it holds. */
    private static boolean isWarmFor(FairShareQueue queue, Machine machine) {
        return queue.jobs().stream()
                .anyMatch(job -> job.hasWaiting()
                        && job.spec.image().equals(machine.poolMembership.image())
                        && machine.allows(job.spec));
    }

    /** Not if every job that waits has failed on it. */
    private static boolean isUsableByQueue(FairShareQueue queue, Machine machine) {
        return machine.failedJobs.isEmpty()
                || queue.jobs().stream()
                        .anyMatch(job -> job.hasWaiting()
                                && !job.isSuspectedFaulty()
                                && !FaultAttribution.isExcluded(job, machine));
    }

    /** Of the types that are to be had where the job may be: a cheaper one elsewhere had been asked for in vain for ever. */
    private MachineType cheapest(Job job) {
        JobSpec spec = job.spec;
        MachineType best = null;
        double bestPrice = Double.MAX_VALUE;
        for (MachineType type : cluster.types.values()) {
            int fit = spec.demand().timesIn(type.capacity());
            if (fit == 0
                    || !spec.allowsType(type.name())
                    || type.zones().stream().noneMatch(zone -> mayBeIn(job, zone))) {
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

    private static boolean mayBeIn(Job job, String zone) {
        String bound = job.spec.oneZone() ? job.boundZone() : null;
        return job.spec.allowsZone(zone) && (bound == null || bound.equals(zone));
    }

    /** Whether a pool that the job may use has not just refused. */
    private boolean canBeRented(Job job, MachineType type, Moment now) {
        return type.zones().stream()
                .filter(zone -> mayBeIn(job, zone))
                .anyMatch(zone -> (job.spec.spotAllowed() && !isRefused(new MachinePool(type.name(), zone, true), now))
                        || !isRefused(new MachinePool(type.name(), zone, false), now));
    }

    /**
     * Shares the machines out among the zones, a request at a time, the zone with fewer of our machines first; pools
     * that just refused are left alone. False if no pool can be asked.
     */
    private boolean spreadOverZones(
            Job job, MachineType type, boolean spot, int count, Moment now, Map<MachinePool, Integer> wanted) {
        Map<MachinePool, Integer> have = new LinkedHashMap<>();
        for (String zone : type.zones()) {
            MachinePool pool = new MachinePool(type.name(), zone, spot);
            if (mayBeIn(job, zone) && !isRefused(pool, now)) {
                have.put(pool, 0);
            }
        }
        if (have.keySet().stream().anyMatch(pool -> !failureDetector.isZoneCutOff(pool.zone()))) {
            have.keySet().removeIf(pool -> failureDetector.isZoneCutOff(pool.zone()));
        }
        if (have.isEmpty()) {
            return false;
        }
        for (Machine machine : cluster.machines.values()) {
            have.computeIfPresent(machine.pool, (pool, n) -> n + 1);
        }
        for (int left = count; left > 0; left -= MOST_PER_REQUEST) {
            int n = Math.min(left, MOST_PER_REQUEST);
            MachinePool fewest = have.entrySet().stream()
                    .min(Map.Entry.comparingByValue())
                    .orElseThrow()
                    .getKey();
            wanted.merge(fewest, n, Integer::sum);
            have.merge(fewest, n, Integer::sum);
        }
        return true;
    }
}
