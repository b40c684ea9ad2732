package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Fills a machine that has just reported from the queue of its share: the top job first, others backfilled where they
 * do not delay it.
 */
final class Dispatcher {
    /** How long a reservation is kept when nothing it rests on has changed much. */
    private static final Span RESERVATION_LIFE = Span.seconds(1);

    /** A task that has run for less is not stopped for a more urgent one: its start would have been for nothing. */
    static final Span LEAST_RUN = Span.seconds(32);
    /** A place that comes free within this time is waited for. */
    private static final Span SOON = Span.seconds(6);

    /** An aim nearer than this many boot times and half of what is paid in any case is no reason to rent. */
    private static final double AIM_REACH = 1.2;

    /** A task that has run for no longer loses little when it is stopped without saving. */
    private static final Span HARDLY_BEGUN = Span.seconds(6);

    /** A job that has waited for so long takes room that it would otherwise be kept from. */
    static final Span OVERDUE = Span.seconds(60);

    /** Holders whose start is recorded ahead at once. */
    private static final int MOST_HOLDERS = 50;

    private static final Span SHORTAGE_LIFE = Span.seconds(0.5);

    /** Places that the top job lacks, less those for which room is being made since they were counted. */
    private record Shortage(Job top, Moment counted, int places) {}

    private record CachedReservation(Reservation reservation, Moment made) {}

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final Failover failover;
    private final FencingToken token;
    private final Span minimumPaidTime;
    private final Map<JobId, CachedReservation> reservations = new HashMap<>();
    private Shortage shortage;
    private final Map<FairShareQueue, Shortage> claims = new HashMap<>();
    /** Usable machines of each pool, counted once in a while. */
    private Map<MachinePool, Integer> usableMachines = Map.of();

    private Moment usableCountedAt = Moment.NEVER;
    /** Cores that each share's fillers may still take, counted once in a while. */
    private final Map<FairShareQueue, CoreBudget> fillerBudgets = new HashMap<>();

    private final ReservedCapacity reservedCapacity;
    private long attempts;

    private record CoreBudget(double cores, Moment counted) {}

    Dispatcher(
            Cluster cluster,
            ServiceLevelObjectives objectives,
            Estimates estimates,
            Failover failover,
            FencingToken token,
            Span minimumPaidTime) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.failover = failover;
        this.token = token;
        this.minimumPaidTime = minimumPaidTime;
        this.reservedCapacity = new ReservedCapacity(cluster, objectives, estimates);
    }

    /** Starts for {@code m}, to be put into the answer to its report {@code number}. */
    List<WorkerCommand> startTasks(Machine machine, HeartbeatNumber number, Moment now) {
        List<WorkerCommand> orders = new ArrayList<>();
        if (!machine.isUsable()) {
            return orders;
        }
        if (machine.surplus || isCordoned(machine, now)) {
            startOverdue(machine, number, now, orders);
            return orders;
        }
        for (FairShareQueue queue : queuesFor(machine)) {
            int before = orders.size();
            startFromQueue(queue, machine, number, now, orders);
            if (orders.size() > before) {
                machine.serve(queue);
            }
            // Not after the first share: one that is due and wants nothing kept the own share from the rest of every
            // machine.
            if (!machine.isIdle() && machine.poolMembership == null && queue.name.equals(machine.queueName)) {
                break;
            }
        }
        if (!machine.isIdle() && machine.poolMembership == null) {
            startOverdue(machine, number, now, orders);
        }
        reconcileHolder(machine, number, now, orders);
        return orders;
    }

    /** A holder sits where a warm pool has a seat and nothing else keeps the image; elsewhere it is told to go. */
    private void reconcileHolder(Machine machine, HeartbeatNumber number, Moment now, List<WorkerCommand> orders) {
        Job due = machine.poolMembership == null ? null : machine.poolMembership.holder();
        Placement sits = machine.holder();
        if (sits != null
                && cluster.warmCapacity.isKnown()
                && (sits.job != due
                        || (sits.isRunning()
                                && (!machine.imageCache.isCached(sits.job.spec.image())
                                        || machine.imageCache.isCrowded(sits.job.spec.image()))))) {
            // Started anew, it shows that its image is here, or fetches it, and the image counts as used last.
            stop(sits, orders);
        } else if (due != null
                && !due.isCancelled()
                && !machine.hasTaskWith(machine.poolMembership.image())
                && due.hasStartable()
                && mayStart(due, now)
                && !due.isSuspectedFaulty()
                && FaultAttribution.allows(due, machine, now)
                && machine.allows(due.spec)
                && due.spec.demand().fitsIn(machine.free())
                && isPlaceable(due, machine)) {
            if (due.isWithinStartBound()) {
                place(due, machine, number, now, orders);
            } else {
                due.requestStartBoundFor(MOST_HOLDERS);
            }
        }
    }

    private static void stop(Placement placement, List<WorkerCommand> orders) {
        placement.stopRequested();
        orders.add(new WorkerCommand.Stop(placement.task(), placement.attempt, Span.ZERO));
    }

    private Placement place(Job job, Machine machine, HeartbeatNumber number, Moment now, List<WorkerCommand> orders) {
        Placement placement = new Placement(
                job, job.nextStartable(), machine, token.attempt(++attempts), TaskState.ORDERED, number, now);
        cluster.warmCapacity.taskStarting(job, machine);
        cluster.addPlacement(placement);
        orders.add(new WorkerCommand.Start(placement.task(), placement.attempt));
        return placement;
    }

    /**
     * Stops for {@code m} that make room for the top job where it is more urgent than what runs there, when the top job
     * would otherwise wait for longer than that takes. Stopped are tasks that keep their progress and, where an aim on
     * the top job's starts is about to be lost, tasks that have hardly begun.
     */
    List<WorkerCommand> preempt(Machine machine, Moment now) {
        List<WorkerCommand> orders = preemptBorrowedWork(machine, now);
        if (!orders.isEmpty()) {
            return orders;
        }
        FairShareQueue queue = cluster.queueOf(machine);
        Job top = queue == null || !machine.isUsable() ? null : topJob(queue, now);
        if (top == null
                || !mayAskForRoom(top, machine.type)
                || !machine.allows(top.spec)
                || !FaultAttribution.allows(top, machine, now)
                || !isPlaceable(top, machine)
                || awaitsImageLocality(top, machine, now)) {
            return orders;
        }
        List<Placement> victims = machine.placementsCopy();
        victims.removeIf(placement -> !isPreemptible(placement, top, now));
        if (victims.isEmpty()) {
            return orders;
        }
        int wanted = missingPlaces(queue, top, now);
        victims.sort(Comparator.comparing((Placement placement) -> placement.job.urgency())
                .reversed());
        Demand room = machine.free();
        for (Placement placement : victims) {
            int before = top.spec.demand().timesIn(room);
            room = room.plus(placement.demand());
            if (wanted <= 0) {
                break;
            }
            placement.stopRequested();
            orders.add(new WorkerCommand.Stop(
                    placement.task(),
                    placement.attempt,
                    placement.job.spec.checkpointTime().times(2)));
            wanted -= top.spec.demand().timesIn(room) - before;
        }
        shortage = new Shortage(top, shortage.counted, wanted);
        return orders;
    }

    /** Urgent jobs, and those whose aim is too near to rent machines for them. */
    private boolean mayAskForRoom(Job top, MachineType type) {
        return top.urgency().isMoreUrgentThan(Urgency.STANDARD) || isObjectiveTooNearToRent(top, type);
    }

    /** How many places the top job lacks: counted over all machines once in a while, not for every report. */
    private int missingPlaces(FairShareQueue queue, Job top, Moment now) {
        if (shortage == null || shortage.top != top || !now.isBefore(shortage.counted.plus(SHORTAGE_LIFE))) {
            shortage = new Shortage(
                    top, now, top.startableCount() - comingPlaces(cluster.machinesServing(queue), top, now));
        }
        return shortage.places;
    }

    /** Stops work that its team runs beyond its guarantee where another team waits for its own. */
    private List<WorkerCommand> preemptBorrowedWork(Machine machine, Moment now) {
        List<WorkerCommand> orders = new ArrayList<>();
        for (FairShareQueue due : cluster.queues()) {
            Job top = due.guaranteed != null ? topJob(due, now) : null;
            yieldPoolMachine(due, top, machine, now);
            if (top == null
                    || !machine.isUsable()
                    || !due.isBelowGuarantee(top.spec.demand())
                    || !machine.allows(top.spec)
                    || !FaultAttribution.allows(top, machine, now)
                    || !isPlaceable(top, machine)
                    || hasEnoughComingPlaces(due, top, now)) {
                continue;
            }
            Demand room = machine.free();
            for (Placement placement : machine.placementsCopy()) {
                FairShareQueue borrower = cluster.queueOf(placement.job);
                if (!top.spec.demand().fitsIn(room)
                        && borrower != due
                        && !placement.stopping
                        && placement.state == TaskState.RUNNING
                        && !borrower.isBelowGuarantee(Demand.NOTHING)) {
                    room = room.plus(placement.demand());
                    placement.stopRequested();
                    orders.add(new WorkerCommand.Stop(
                            placement.task(),
                            placement.attempt,
                            placement.job.spec.checkpointTime().times(2)));
                }
            }
            if (top.spec.demand().fitsIn(room)) {
                claims.computeIfPresent(due, (d, claim) -> new Shortage(top, claim.counted, claim.places - 1));
                return orders;
            }
        }
        return orders;
    }

    /** An idle machine of a pool goes to a team that waits for its guarantee, as work beyond the payer's own would be stopped. */
    private void yieldPoolMachine(FairShareQueue due, Job top, Machine machine, Moment now) {
        Job holder = machine.poolMembership == null ? null : machine.poolMembership.holder();
        if (top != null
                && holder != null
                && machine.isIdle()
                && machine.isUsable()
                && cluster.queueOf(holder) != due
                && !cluster.queueOf(holder).isBelowGuarantee(Demand.NOTHING)
                && due.isBelowGuarantee(top.spec.demand())
                && machine.matchesPool(top.spec)
                && !machine.allows(top.spec)
                && top.spec.demand().fitsIn(machine.type.capacity())
                && !hasEnoughComingPlaces(due, top, now)) {
            cluster.warmCapacity.yield(machine, now);
            claims.computeIfPresent(due, (d, claim) -> new Shortage(top, claim.counted, claim.places - 1));
        }
    }

    /** Whether places for a job within its team's guarantee come free without stopping more; counted like {@link #missingPlaces}. */
    private boolean hasEnoughComingPlaces(FairShareQueue due, Job top, Moment now) {
        Shortage claim = claims.get(due);
        if (claim == null || claim.top != top || !now.isBefore(claim.counted.plus(SHORTAGE_LIFE))) {
            claim = new Shortage(top, now, top.startableCount() - comingPlaces(cluster.allMachines(), top, now));
            claims.put(due, claim);
        }
        return claim.places <= 0;
    }

    private boolean isPreemptible(Placement placement, Job top, Moment now) {
        if (placement.state != TaskState.RUNNING
                || placement.stopping
                || placement.job.underServed
                || !top.urgency().isMoreUrgentThan(placement.job.urgency())) {
            return false;
        }
        if (!placement.job.spec.savesProgress()) {
            return timeToStart(top, now).ms() > 0
                    && now.since(placement.stateSince).compareTo(HARDLY_BEGUN) <= 0
                    && objectives.latestStartForWait(placement.job) == null
                    && !placement.job.spec.isService();
        }
        return now.since(placement.stateSince).compareTo(LEAST_RUN) >= 0
                && estimates
                                .end(placement, now)
                                .since(now)
                                .compareTo(placement.job.spec.checkpointTime().times(2))
                        > 0;
    }

    /** What is left until an aim on the job's starts is lost, if that is soon; else zero. */
    private Span timeToStart(Job top, Moment now) {
        Moment due = objectives.latestStartForWait(top);
        Span left = due == null ? Span.ZERO : due.since(now);
        return left.ms() < 0 || left.compareTo(SOON) > 0 ? Span.ZERO : left;
    }

    /** Places for the top job that come free soon by themselves, or because room is being made already. */
    private int comingPlaces(Iterable<Machine> machines, Job top, Moment now) {
        int places = 0;
        Span left = timeToStart(top, now);
        Span soon = left.ms() > 0 ? left : SOON;
        for (Machine machine : machines) {
            if (!machine.isUsable() || !machine.allows(top.spec) || awaitsImageLocality(top, machine, now)) {
                continue;
            }
            Demand room = machine.freeFor(top.spec);
            for (Placement placement : machine.placements().values()) {
                if (placement.stopping
                        || placement.state == TaskState.SAVING
                        || estimates.end(placement, now).since(now).compareTo(soon) <= 0) {
                    room = room.plus(placement.demand());
                }
            }
            places += top.spec.demand().timesIn(room);
        }
        return places;
    }

    /**
     * What has waited for long starts wherever a machine has room, of whichever share, and also where only its price or the room
     * elsewhere speaks against it: nothing is to wait beside free room. It delays the own share's top job nowhere.
     */
    private void startOverdue(Machine machine, HeartbeatNumber number, Moment now, List<WorkerCommand> orders) {
        boolean tried = !machine.surplus && !isCordoned(machine, now);
        FairShareQueue own = cluster.queueOf(machine);
        Job top = own == null ? null : topJob(own, now);
        for (FairShareQueue queue : queuesFor(machine)) {
            if (queue == own && tried) {
                continue;
            }
            for (Job job : queue(queue, now)) {
                if (machine.free().cores() <= 1e-6 || keepsRoomForReplica(job, machine)) {
                    return;
                }
                if (isOverdue(job, now) && job.hasStartable() && mayStart(job, now)) {
                    boolean first = top == null || top == job;
                    boolean idle = machine.isIdle();
                    start(queue, job, machine, first ? null : reservation(own, top, now), number, now, orders, false);
                    if (idle && !machine.isIdle()) {
                        machine.serve(queue);
                    }
                }
            }
        }
    }

    /** Not the rest of a job whose tasks start or end: nor one that was just stopped to empty the machine. */
    private static boolean isOverdue(Job job, Moment now) {
        return !job.isStarvationRelieved()
                && now.since(job.eligibleSince).compareTo(OVERDUE) >= 0
                && !now.isBefore(job.placementsChangedAt.plus(OVERDUE));
    }

    /** The machine's own share; an idle machine may pass to the share that has the least of what it is due. */
    private List<FairShareQueue> queuesFor(Machine machine) {
        List<FairShareQueue> out = new ArrayList<>(cluster.queues());
        out.sort(Comparator.<FairShareQueue>comparingInt(queue -> queue.isBelowGuarantee(Demand.NOTHING) ? 0 : 1)
                .thenComparingInt(queue -> queue.name.equals(machine.queueName) ? 0 : 1)
                .thenComparingDouble(FairShareQueue::coresBeyondGuarantee));
        return out;
    }

    private void startFromQueue(
            FairShareQueue share, Machine machine, HeartbeatNumber number, Moment now, List<WorkerCommand> orders) {
        if (machine.free().cores() <= 1e-6) {
            return;
        }
        List<Job> queue = queue(share, now);
        if (reservedCapacity.isReserved(machine, share, queue, now)) {
            for (Job job : reservedCapacity.jobs(share)) {
                if (job.hasStartable() && mayStart(job, now) && machine.free().cores() > 1e-6) {
                    start(share, job, machine, null, number, now, orders, true);
                }
            }
        }
        Job top = null;
        for (Job job : queue) {
            if (machine.free().cores() <= 1e-6) {
                return;
            }
            if (keepsRoomForReplica(job, machine)) {
                return;
            }
            if (!job.hasStartable() || !mayStart(job, now) || job.isStarvationRelieved()) {
                continue;
            }
            start(share, job, machine, top == null ? null : reservation(share, top, now), number, now, orders, false);
            // One that is kept waiting for the others must not keep places from them.
            if (top == null
                    && job.hasStartable()
                    && !job.isStarvationRelieved()
                    && (!isUnboundedFiller(job) || leavesRoomForObjectives(share, job, now))) {
                top = job;
            }
        }
    }

    /**
     * Before a take-over is settled: a replica that may turn out to be nowhere is not to find its places taken by work that
     * nobody had ordered yet and that it could not push aside.
     */
    boolean keepsRoomForReplica(Job job, Machine machine) {
        return !failover.isComplete()
                && job.spec.isService()
                && job.hasWaiting()
                && !job.hasStartable()
                && machine.allows(job.spec)
                && job.spec.demand().fitsIn(machine.freeFor(job.spec));
    }

    private void start(
            FairShareQueue queue,
            Job job,
            Machine machine,
            Reservation reservation,
            HeartbeatNumber number,
            Moment now,
            List<WorkerCommand> orders,
            boolean beforeAll) {
        boolean suits = machine.allows(job.spec)
                && FaultAttribution.allows(job, machine, now)
                && !awaitsImageLocality(job, machine, now);
        Span time = estimates.onMachine(job, machine);
        boolean filler = suits && !beforeAll && isUnboundedFiller(job);
        while (suits
                && job.hasStartable()
                && job.spec.demand().fitsIn(machine.freeFor(job.spec))
                && isPlaceable(job, machine)
                && (!filler || leavesRoomForObjectives(queue, job, now))
                && (reservation == null || reservation.allows(machine, job.spec.demand(), time, estimates, now))) {
            if (!job.isWithinStartBound()) {
                // Deeper in the queue than the bounds were raised: it may start here when the machine reports next.
                job.requestStartBoundFor(job.spec.demand().timesIn(machine.free()));
                return;
            }
            if (!job.spec.demand().fitsIn(machine.free())) {
                stop(machine.holder(), orders);
            }
            Placement placement = place(job, machine, number, now, orders);
            if (filler) {
                fillerBudgets.computeIfPresent(
                        queue,
                        (key, room) ->
                                new CoreBudget(room.cores - placement.demand().cores(), room.counted));
            }
            job.taskStarted();
            suits = !job.isSuspectedFaulty() && !job.starved;
        }
    }

    /**
     * Long tasks that nobody has said a time for, and that nothing of their own urgency may push aside: once on every
     * machine they keep all who have an aim waiting until they end.
     */
    boolean isUnboundedFiller(Job job) {
        return objectives.hasNoObjective(job)
                && !job.underServed
                && !job.starved
                && !job.spec.isService()
                && !job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                && estimates.run(job).compareTo(minimumPaidTime) >= 0;
    }

    /** Whether what is left beside all fillers is enough for the jobs with an aim: those that are here, and their flow. */
    boolean leavesRoomForObjectives(FairShareQueue queue, Job job, Moment now) {
        CoreBudget room = fillerBudgets.get(queue);
        if (room == null || !now.isBefore(room.counted.plus(RESERVATION_LIFE))) {
            double cores = 0;
            for (Machine machine : cluster.machinesServing(queue)) {
                cores += machine.isUsable() ? machine.type.capacity().cores() : 0;
            }
            double aimed = 0;
            for (Job other : queue.jobs()) {
                double each = other.spec.demand().cores();
                if (isUnboundedFiller(other)) {
                    cores -= other.placements().size() * each;
                } else if (!objectives.hasNoObjective(other)) {
                    aimed += (other.placements().size() + (other.missedObjectives ? 0 : other.startableCount())) * each;
                }
            }
            double flow = queue.arrivalRate()
                    .perSecond(
                            other -> !objectives.hasNoObjective(other),
                            other -> other.spec.tasks()
                                    * estimates.run(other).seconds()
                                    * other.spec.demand().cores(),
                            minimumPaidTime,
                            now);
            double aside = Math.max(aimed, flow);
            room = new CoreBudget(aside > 0 ? cores - aside : Double.MAX_VALUE, now);
            fillerBudgets.put(queue, room);
        }
        return room.cores >= job.spec.demand().cores();
    }

    /**
     * Fetching its image here would make the task start too late for an aim that it can still meet on a machine which
     * has the image. Such a machine is waited for until the aim is lost; then any will do.
     */
    boolean awaitsImageLocality(Job job, Machine machine, Moment now) {
        if (now.isBefore(job.imageLocalityUntil) && !machine.imageCache.contains(job.spec.image())) {
            return true;
        }
        Moment due = machine.imageCache.contains(job.spec.image()) ? null : objectives.latestStartForWait(job);
        return due != null
                && now.plus(Estimates.fetch(job, machine.type)).isAfter(due)
                && now.isBefore(due)
                && cluster.isImageCached(job.spec.image());
    }

    List<Job> queue(FairShareQueue queue, Moment now) {
        return queue.ordered(
                job -> objectives
                        .latestStart(job, estimates.run(job), rounds(job, now), now)
                        .minus(clearing(job)),
                job -> objectives.lastChance(job, estimates.run(job)),
                job -> objectives.isAged(job, now),
                now);
    }

    /** A task that takes a whole machine starts only when everything else on one has ended. */
    private Span clearing(Job job) {
        boolean whole = cluster.types.values().stream()
                .allMatch(type -> job.spec.demand().timesIn(type.capacity()) <= 1);
        return whole ? minimumPaidTime : Span.ZERO;
    }

    /** How many rounds the job's waiting tasks would take with every place there is. */
    private int rounds(Job job, Moment now) {
        if (!now.isBefore(usableCountedAt.plus(RESERVATION_LIFE))) {
            usableMachines = new HashMap<>();
            usableCountedAt = now;
            for (Machine machine : cluster.machines.values()) {
                if (machine.isUsable()) {
                    usableMachines.merge(machine.pool, 1, Integer::sum);
                }
            }
        }
        int places = 0;
        for (Map.Entry<MachinePool, Integer> e : usableMachines.entrySet()) {
            MachinePool pool = e.getKey();
            if (job.spec.allowsType(pool.type())
                    && job.spec.allowsZone(pool.zone())
                    && job.spec.allowsKind(pool.spot())) {
                places += e.getValue()
                        * job.spec
                                .demand()
                                .timesIn(cluster.types.get(pool.type()).capacity());
            }
        }
        return places == 0 ? 1 : (job.waitingCount() + places - 1) / places;
    }

    /**
     * Nothing says by when the job should be served, or it is past all that was said: the design's rule alone holds for it,
     * that machines are rented while the wait passes the limit.
     */
    boolean hasNoReachableObjective(Job job, Moment now) {
        return objectives.hasNoObjective(job) || objectives.isAged(job, now);
    }

    /** By when the job's waiting tasks should have started for an aim whose latest start is not before {@code from}. */
    Moment latestStart(Job job, Moment from) {
        return objectives.latestStart(job, estimates.run(job), 1, from);
    }

    /** An aim nearer than this cannot be met by renting for what waits. */
    Span shortestRentableObjective(MachineType type) {
        return type.boot().times(AIM_REACH).plus(minimumPaidTime.times(0.5));
    }

    /**
     * Whether the job had an aim, as it came, that is too near to be met by renting for it. Urgent jobs are not meant:
     * they go first, have room made for them and wait less for spot machines in any case.
     */
    boolean isObjectiveTooNearToRent(Job job, MachineType type) {
        return !job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                && latestStart(job, job.eligibleSince)
                        .isBefore(job.eligibleSince.plus(shortestRentableObjective(type)));
    }

    /** Under a team's limit nothing can be started before all that an earlier leader started is known. */
    boolean mayStart(Job job, Moment now) {
        if (now.isBefore(job.retryNotBefore)) {
            return false;
        }
        if (cluster.teamUsage(job).team.isLimited()) {
            return failover.isComplete() && !cluster.hasOrphanTasks();
        }
        return true;
    }

    boolean isFailoverComplete() {
        return failover.isComplete();
    }

    boolean isPlaceable(Job job, Machine machine) {
        String zone = machine.pool.zone();
        if (!cluster.teamUsage(job).hasRoomFor(job.spec.demand())) {
            return false;
        }
        if (job.spec.oneZone()) {
            String bound = job.boundZone();
            if (bound != null && !bound.equals(zone)) {
                return false;
            }
        }
        return !job.spec.spread() || job.placementsInZone(zone) < job.spec.zoneLimit();
    }

    /** The top job: the first in the queue that has tasks waiting and may start. */
    Job topJob(FairShareQueue queue, Moment now) {
        for (Job job : queue(queue, now)) {
            if (job.hasStartable() && mayStart(job, now) && !job.isSuspectedFaulty() && !job.isStarvationRelieved()) {
                return job;
            }
        }
        return null;
    }

    /** Whether a start of the job on the machine would delay the top job, if that is another. */
    boolean isReserved(FairShareQueue queue, Job job, Machine machine, Moment now) {
        Job top = topJob(queue, now);
        return top != null
                && top != job
                && !reservation(queue, top, now)
                        .allows(machine, job.spec.demand(), estimates.onMachine(job, machine), estimates, now);
    }

    Reservation reservation(FairShareQueue queue, Job top, Moment now) {
        CachedReservation kept = reservations.get(top.id());
        if (kept != null && kept.reservation.top() == top && now.isBefore(kept.made.plus(RESERVATION_LIFE))) {
            return kept.reservation;
        }
        reservations.values().removeIf(r -> !now.isBefore(r.made.plus(RESERVATION_LIFE)));
        List<Machine> machines = cluster.machinesServing(queue);
        if (!reservedCapacity.isEligible(top, now)) {
            machines.removeIf(machine -> reservedCapacity.isReserved(machine, queue, queue(queue, now), now));
        }
        Reservation made = Reservation.of(top, machines, estimates, now);
        reservations.put(top.id(), new CachedReservation(made, now));
        return made;
    }

    /**
     * Whether all that waits in a share has places in what is free on some machines, each job by itself and all together.
     * Never where something waits that had better not be kept from any place: it is urgent, a replica, has an aim on its
     * starts, or may not use every machine.
     */
    boolean fitsIn(FairShareQueue queue, Collection<Demand> free, Moment now) {
        double cores = 0;
        for (Demand room : free) {
            cores += room.cores();
        }
        for (Job job : queue.jobs()) {
            if (!job.hasStartable() || job.isSuspectedFaulty() || !mayStart(job, now)) {
                continue;
            }
            Moment due = objectives.latestStartForWait(job);
            if (job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                    || job.spec.isService()
                    || !job.spec.spotAllowed()
                    || job.spec.zone() != null
                    || job.spec.types() != null
                    || (due != null && now.isBefore(due))) {
                return false;
            }
            cores -= job.startableCount() * job.spec.demand().cores();
            int lacking = job.startableCount();
            for (Iterator<Demand> rooms = free.iterator(); lacking > 0 && rooms.hasNext(); ) {
                lacking -= job.spec.demand().timesIn(rooms.next());
            }
            if (cores < 0 || lacking > 0) {
                return false;
            }
        }
        return true;
    }

    /** Put aside, and since then no more has come than the other machines have room for. */
    boolean isCordoned(Machine machine, Moment now) {
        return machine.cordonedFor != null && fitsIn(machine.cordonedFor, machine.cordonedFor.roomOutsideCordon(), now);
    }

    /** Whether an idle machine can be used by a job that waits in its share. */
    boolean isUsableByWaitingJob(Machine machine, Moment now) {
        if (machine.surplus || isCordoned(machine, now)) {
            return false;
        }
        for (FairShareQueue queue : cluster.queues()) {
            if (machine.queueName != null && !machine.queueName.equals(queue.name)) {
                continue;
            }
            for (Job job : queue.jobs()) {
                if (job.hasWaiting()
                        && !job.isSuspectedFaulty()
                        && machine.allows(job.spec)
                        && job.spec.demand().fitsIn(machine.freeFor(job.spec))
                        && !job.failedMachines.contains(machine.id)
                        && isPlaceable(job, machine)) {
                    return true;
                }
            }
        }
        return false;
    }
}
