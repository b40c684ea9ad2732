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
    private final ServiceLevelObjectives aims;
    private final Estimates estimates;
    private final Failover takeOver;
    private final FencingToken token;
    private final Span leastPaid;
    private final Map<JobId, CachedReservation> reservations = new HashMap<>();
    private Shortage shortage;
    private final Map<FairShareQueue, Shortage> claims = new HashMap<>();
    /** Usable machines of each pool, counted once in a while. */
    private Map<MachinePool, Integer> usable = Map.of();

    private Moment usableAt = Moment.NEVER;
    /** Cores that each share's fillers may still take, counted once in a while. */
    private final Map<FairShareQueue, CoreBudget> fillerRoom = new HashMap<>();

    private final ReservedCapacity corner;
    private long attempts;

    private record CoreBudget(double cores, Moment counted) {}

    Dispatcher(
            Cluster cluster,
            ServiceLevelObjectives aims,
            Estimates estimates,
            Failover takeOver,
            FencingToken token,
            Span leastPaid) {
        this.cluster = cluster;
        this.aims = aims;
        this.estimates = estimates;
        this.takeOver = takeOver;
        this.token = token;
        this.leastPaid = leastPaid;
        this.corner = new ReservedCapacity(cluster, aims, estimates);
    }

    /** Starts for {@code m}, to be put into the answer to its report {@code number}. */
    List<WorkerCommand> fill(Machine m, HeartbeatNumber number, Moment now) {
        List<WorkerCommand> orders = new ArrayList<>();
        if (!m.isUsable()) {
            return orders;
        }
        if (m.spare || isAside(m, now)) {
            fillWithOverdue(m, number, now, orders);
            return orders;
        }
        for (FairShareQueue share : candidates(m)) {
            int before = orders.size();
            fillFrom(share, m, number, now, orders);
            if (orders.size() > before) {
                m.share = share.name;
            }
            // Not after the first share: one that is due and wants nothing kept the own share from the rest of every
            // machine.
            if (!m.isIdle() && m.seat == null && share.name.equals(m.share)) {
                break;
            }
        }
        if (!m.isIdle() && m.seat == null) {
            fillWithOverdue(m, number, now, orders);
        }
        tendHolder(m, number, now, orders);
        return orders;
    }

    /** A holder sits where a warm pool has a seat and nothing else keeps the image; elsewhere it is told to go. */
    private void tendHolder(Machine m, HeartbeatNumber number, Moment now, List<WorkerCommand> orders) {
        Job due = m.seat == null ? null : m.seat.holder();
        Placement sits = m.holder();
        if (sits != null
                && cluster.keeper.isKnown()
                && (sits.job != due
                        || (sits.isRunning()
                                && (!m.images.holds(sits.job.spec.image())
                                        || m.images.isCrowded(sits.job.spec.image()))))) {
            // Started anew, it shows that its image is here, or fetches it, and the image counts as used last.
            stop(sits, orders);
        } else if (due != null
                && !due.isCancelled()
                && !m.hasTaskWith(m.seat.image())
                && due.hasStartable()
                && mayStart(due, now)
                && !due.isSuspect()
                && FaultAttribution.allows(due, m, now)
                && m.allows(due.spec)
                && due.spec.demand().fitsIn(m.free())
                && placeable(due, m)) {
            if (due.hasOrderable()) {
                place(due, m, number, now, orders);
            } else {
                due.wantOrderable(MOST_HOLDERS);
            }
        }
    }

    private static void stop(Placement p, List<WorkerCommand> orders) {
        p.stopping = true;
        orders.add(new WorkerCommand.Stop(p.task(), p.attempt, Span.ZERO));
    }

    private Placement place(Job job, Machine m, HeartbeatNumber number, Moment now, List<WorkerCommand> orders) {
        Placement p =
                new Placement(job, job.nextStartable(), m, token.attempt(++attempts), TaskState.ORDERED, number, now);
        cluster.keeper.starting(job, m);
        cluster.place(p);
        orders.add(new WorkerCommand.Start(p.task(), p.attempt));
        return p;
    }

    /**
     * Stops for {@code m} that make room for the top job where it is more urgent than what runs there, when the top job
     * would otherwise wait for longer than that takes. Stopped are tasks that keep their progress and, where an aim on
     * the top job's starts is about to be lost, tasks that have hardly begun.
     */
    List<WorkerCommand> makeRoom(Machine m, Moment now) {
        List<WorkerCommand> orders = giveBack(m, now);
        if (!orders.isEmpty()) {
            return orders;
        }
        FairShareQueue share = cluster.share(m);
        Job top = share == null || !m.isUsable() ? null : top(share, now);
        if (top == null
                || !mayAskForRoom(top, m.type)
                || !m.allows(top.spec)
                || !FaultAttribution.allows(top, m, now)
                || !placeable(top, m)
                || isLeftToHolders(top, m, now)) {
            return orders;
        }
        List<Placement> victims = m.tasksCopy();
        victims.removeIf(p -> !mayYield(p, top, now));
        if (victims.isEmpty()) {
            return orders;
        }
        int wanted = wanted(share, top, now);
        victims.sort(Comparator.comparing((Placement p) -> p.job.urgency()).reversed());
        Demand room = m.free();
        for (Placement p : victims) {
            int before = top.spec.demand().timesIn(room);
            room = room.plus(p.demand());
            if (wanted <= 0) {
                break;
            }
            p.stopping = true;
            orders.add(new WorkerCommand.Stop(
                    p.task(), p.attempt, p.job.spec.checkpointTime().times(2)));
            wanted -= top.spec.demand().timesIn(room) - before;
        }
        shortage = new Shortage(top, shortage.counted, wanted);
        return orders;
    }

    /** Urgent jobs, and those whose aim is too near to rent machines for them. */
    private boolean mayAskForRoom(Job top, MachineType type) {
        return top.urgency().isMoreUrgentThan(Urgency.STANDARD) || isNear(top, type);
    }

    /** How many places the top job lacks: counted over all machines once in a while, not for every report. */
    private int wanted(FairShareQueue share, Job top, Moment now) {
        if (shortage == null || shortage.top != top || !now.isBefore(shortage.counted.plus(SHORTAGE_LIFE))) {
            shortage = new Shortage(top, now, top.startable() - comingPlaces(cluster.serving(share), top, now));
        }
        return shortage.places;
    }

    /** Stops work that its team runs beyond its guarantee where another team waits for its own. */
    private List<WorkerCommand> giveBack(Machine m, Moment now) {
        List<WorkerCommand> orders = new ArrayList<>();
        for (FairShareQueue due : cluster.shares()) {
            Job top = due.guaranteed != null ? top(due, now) : null;
            yieldSeat(due, top, m, now);
            if (top == null
                    || !m.isUsable()
                    || !due.isDue(top.spec.demand())
                    || !m.allows(top.spec)
                    || !FaultAttribution.allows(top, m, now)
                    || !placeable(top, m)
                    || isProvidedFor(due, top, now)) {
                continue;
            }
            Demand room = m.free();
            for (Placement p : m.tasksCopy()) {
                FairShareQueue borrower = cluster.share(p.job);
                if (!top.spec.demand().fitsIn(room)
                        && borrower != due
                        && !p.stopping
                        && p.state == TaskState.RUNNING
                        && !borrower.isDue(Demand.NOTHING)) {
                    room = room.plus(p.demand());
                    p.stopping = true;
                    orders.add(new WorkerCommand.Stop(
                            p.task(), p.attempt, p.job.spec.checkpointTime().times(2)));
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
    private void yieldSeat(FairShareQueue due, Job top, Machine m, Moment now) {
        Job holder = m.seat == null ? null : m.seat.holder();
        if (top != null
                && holder != null
                && m.isIdle()
                && m.isUsable()
                && cluster.share(holder) != due
                && !cluster.share(holder).isDue(Demand.NOTHING)
                && due.isDue(top.spec.demand())
                && m.isOfKind(top.spec)
                && !m.allows(top.spec)
                && top.spec.demand().fitsIn(m.type.capacity())
                && !isProvidedFor(due, top, now)) {
            cluster.keeper.yield(m, now);
            claims.computeIfPresent(due, (d, claim) -> new Shortage(top, claim.counted, claim.places - 1));
        }
    }

    /** Whether places for a job within its team's guarantee come free without stopping more; counted like {@link #wanted}. */
    private boolean isProvidedFor(FairShareQueue due, Job top, Moment now) {
        Shortage claim = claims.get(due);
        if (claim == null || claim.top != top || !now.isBefore(claim.counted.plus(SHORTAGE_LIFE))) {
            claim = new Shortage(top, now, top.startable() - comingPlaces(cluster.all(), top, now));
            claims.put(due, claim);
        }
        return claim.places <= 0;
    }

    private boolean mayYield(Placement p, Job top, Moment now) {
        if (p.state != TaskState.RUNNING
                || p.stopping
                || p.job.owed
                || !top.urgency().isMoreUrgentThan(p.job.urgency())) {
            return false;
        }
        if (!p.job.spec.savesProgress()) {
            return timeToStart(top, now).ms() > 0
                    && now.since(p.since).compareTo(HARDLY_BEGUN) <= 0
                    && aims.startBy(p.job) == null
                    && !p.job.spec.isService();
        }
        return now.since(p.since).compareTo(LEAST_RUN) >= 0
                && estimates
                                .end(p, now)
                                .since(now)
                                .compareTo(p.job.spec.checkpointTime().times(2))
                        > 0;
    }

    /** What is left until an aim on the job's starts is lost, if that is soon; else zero. */
    private Span timeToStart(Job top, Moment now) {
        Moment due = aims.startBy(top);
        Span left = due == null ? Span.ZERO : due.since(now);
        return left.ms() < 0 || left.compareTo(SOON) > 0 ? Span.ZERO : left;
    }

    /** Places for the top job that come free soon by themselves, or because room is being made already. */
    private int comingPlaces(Iterable<Machine> machines, Job top, Moment now) {
        int places = 0;
        Span left = timeToStart(top, now);
        Span soon = left.ms() > 0 ? left : SOON;
        for (Machine m : machines) {
            if (!m.isUsable() || !m.allows(top.spec) || isLeftToHolders(top, m, now)) {
                continue;
            }
            Demand room = m.freeFor(top.spec);
            for (Placement p : m.tasks().values()) {
                if (p.stopping
                        || p.state == TaskState.SAVING
                        || estimates.end(p, now).since(now).compareTo(soon) <= 0) {
                    room = room.plus(p.demand());
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
    private void fillWithOverdue(Machine m, HeartbeatNumber number, Moment now, List<WorkerCommand> orders) {
        boolean tried = !m.spare && !isAside(m, now);
        FairShareQueue own = cluster.share(m);
        Job top = own == null ? null : top(own, now);
        for (FairShareQueue share : candidates(m)) {
            if (share == own && tried) {
                continue;
            }
            for (Job job : queue(share, now)) {
                if (m.free().cores() <= 1e-6 || keepsRoom(job, m)) {
                    return;
                }
                if (isOverdue(job, now) && job.hasStartable() && mayStart(job, now)) {
                    boolean first = top == null || top == job;
                    boolean idle = m.isIdle();
                    start(share, job, m, first ? null : reservation(own, top, now), number, now, orders, false);
                    m.share = idle && !m.isIdle() ? share.name : m.share;
                }
            }
        }
    }

    /** Not the rest of a job whose tasks start or end: nor one that was just stopped to empty the machine. */
    private static boolean isOverdue(Job job, Moment now) {
        return !job.hadItsTurn()
                && now.since(job.arrived).compareTo(OVERDUE) >= 0
                && !now.isBefore(job.changedAt.plus(OVERDUE));
    }

    /** The machine's own share; an idle machine may pass to the share that has the least of what it is due. */
    private List<FairShareQueue> candidates(Machine m) {
        List<FairShareQueue> out = new ArrayList<>(cluster.shares());
        out.sort(Comparator.<FairShareQueue>comparingInt(s -> s.isDue(Demand.NOTHING) ? 0 : 1)
                .thenComparingInt(s -> s.name.equals(m.share) ? 0 : 1)
                .thenComparingDouble(FairShareQueue::beyond));
        return out;
    }

    private void fillFrom(
            FairShareQueue share, Machine m, HeartbeatNumber number, Moment now, List<WorkerCommand> orders) {
        if (m.free().cores() <= 1e-6) {
            return;
        }
        List<Job> queue = queue(share, now);
        if (corner.has(m, share, queue, now)) {
            for (Job job : corner.jobs(share)) {
                if (job.hasStartable() && mayStart(job, now) && m.free().cores() > 1e-6) {
                    start(share, job, m, null, number, now, orders, true);
                }
            }
        }
        Job top = null;
        for (Job job : queue) {
            if (m.free().cores() <= 1e-6) {
                return;
            }
            if (keepsRoom(job, m)) {
                return;
            }
            if (!job.hasStartable() || !mayStart(job, now) || job.hadItsTurn()) {
                continue;
            }
            start(share, job, m, top == null ? null : reservation(share, top, now), number, now, orders, false);
            // One that is kept waiting for the others must not keep places from them.
            if (top == null
                    && job.hasStartable()
                    && !job.hadItsTurn()
                    && (!isFiller(job) || leavesRoom(share, job, now))) {
                top = job;
            }
        }
    }

    /**
     * Before a take-over is settled: a replica that may turn out to be nowhere is not to find its places taken by work that
     * nobody had ordered yet and that it could not push aside.
     */
    boolean keepsRoom(Job job, Machine m) {
        return !takeOver.isSettled()
                && job.spec.isService()
                && job.hasWaiting()
                && !job.hasStartable()
                && m.allows(job.spec)
                && job.spec.demand().fitsIn(m.freeFor(job.spec));
    }

    private void start(
            FairShareQueue share,
            Job job,
            Machine m,
            Reservation reservation,
            HeartbeatNumber number,
            Moment now,
            List<WorkerCommand> orders,
            boolean beforeAll) {
        boolean suits = m.allows(job.spec) && FaultAttribution.allows(job, m, now) && !isLeftToHolders(job, m, now);
        Span time = estimates.onMachine(job, m);
        boolean filler = suits && !beforeAll && isFiller(job);
        while (suits
                && job.hasStartable()
                && job.spec.demand().fitsIn(m.freeFor(job.spec))
                && placeable(job, m)
                && (!filler || leavesRoom(share, job, now))
                && (reservation == null || reservation.allows(m, job.spec.demand(), time, estimates, now))) {
            if (!job.hasOrderable()) {
                // Deeper in the queue than the bounds were raised: it may start here when the machine reports next.
                job.wantOrderable(job.spec.demand().timesIn(m.free()));
                return;
            }
            if (!job.spec.demand().fitsIn(m.free())) {
                stop(m.holder(), orders);
            }
            Placement p = place(job, m, number, now, orders);
            if (filler) {
                fillerRoom.computeIfPresent(
                        share,
                        (s, room) -> new CoreBudget(room.cores - p.demand().cores(), room.counted));
            }
            job.begunFirst |= job.toBegin;
            suits = !job.isSuspect() && !job.toBegin;
        }
    }

    /**
     * Long tasks that nobody has said a time for, and that nothing of their own urgency may push aside: once on every
     * machine they keep all who have an aim waiting until they end.
     */
    boolean isFiller(Job job) {
        return aims.isWithout(job)
                && !job.owed
                && !job.toBegin
                && !job.spec.isService()
                && !job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                && estimates.run(job).compareTo(leastPaid) >= 0;
    }

    /** Whether what is left beside all fillers is enough for the jobs with an aim: those that are here, and their flow. */
    boolean leavesRoom(FairShareQueue share, Job job, Moment now) {
        CoreBudget room = fillerRoom.get(share);
        if (room == null || !now.isBefore(room.counted.plus(RESERVATION_LIFE))) {
            double cores = 0;
            for (Machine m : cluster.serving(share)) {
                cores += m.isUsable() ? m.type.capacity().cores() : 0;
            }
            double aimed = 0;
            for (Job other : share.jobs()) {
                double each = other.spec.demand().cores();
                if (isFiller(other)) {
                    cores -= other.active().size() * each;
                } else if (!aims.isWithout(other)) {
                    aimed += (other.active().size() + (other.late ? 0 : other.startable())) * each;
                }
            }
            double flow = share.inflow()
                    .perSecond(
                            other -> !aims.isWithout(other),
                            other -> other.spec.tasks()
                                    * estimates.run(other).seconds()
                                    * other.spec.demand().cores(),
                            leastPaid,
                            now);
            double aside = Math.max(aimed, flow);
            room = new CoreBudget(aside > 0 ? cores - aside : Double.MAX_VALUE, now);
            fillerRoom.put(share, room);
        }
        return room.cores >= job.spec.demand().cores();
    }

    /**
     * Fetching its image here would make the task start too late for an aim that it can still meet on a machine which
     * has the image. Such a machine is waited for until the aim is lost; then any will do.
     */
    boolean isLeftToHolders(Job job, Machine m, Moment now) {
        if (now.isBefore(job.leftToHoldersUntil) && !m.images.contains(job.spec.image())) {
            return true;
        }
        Moment due = m.images.contains(job.spec.image()) ? null : aims.startBy(job);
        return due != null
                && now.plus(Estimates.fetch(job, m.type)).isAfter(due)
                && now.isBefore(due)
                && cluster.isHeld(job.spec.image());
    }

    List<Job> queue(FairShareQueue share, Moment now) {
        return share.queue(
                job -> aims.latestStart(job, estimates.run(job), rounds(job, now), now)
                        .minus(clearing(job)),
                job -> aims.lastChance(job, estimates.run(job)),
                job -> aims.isAged(job, now),
                now);
    }

    /** A task that takes a whole machine starts only when everything else on one has ended. */
    private Span clearing(Job job) {
        boolean whole = cluster.types.values().stream()
                .allMatch(type -> job.spec.demand().timesIn(type.capacity()) <= 1);
        return whole ? leastPaid : Span.ZERO;
    }

    /** How many rounds the job's waiting tasks would take with every place there is. */
    private int rounds(Job job, Moment now) {
        if (!now.isBefore(usableAt.plus(RESERVATION_LIFE))) {
            usable = new HashMap<>();
            usableAt = now;
            for (Machine m : cluster.machines.values()) {
                if (m.isUsable()) {
                    usable.merge(m.pool, 1, Integer::sum);
                }
            }
        }
        int places = 0;
        for (Map.Entry<MachinePool, Integer> e : usable.entrySet()) {
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
        return places == 0 ? 1 : (job.waiting() + places - 1) / places;
    }

    /**
     * Nothing says by when the job should be served, or it is past all that was said: the design's rule alone holds for it,
     * that machines are rented while the wait passes the limit.
     */
    boolean isUnderTheRuleAlone(Job job, Moment now) {
        return aims.isWithout(job) || aims.isAged(job, now);
    }

    /** By when the job's waiting tasks should have started for an aim whose latest start is not before {@code from}. */
    Moment latestStart(Job job, Moment from) {
        return aims.latestStart(job, estimates.run(job), 1, from);
    }

    /** An aim nearer than this cannot be met by renting for what waits. */
    Span reach(MachineType type) {
        return type.boot().times(AIM_REACH).plus(leastPaid.times(0.5));
    }

    /**
     * Whether the job had an aim, as it came, that is too near to be met by renting for it. Urgent jobs are not meant:
     * they go first, have room made for them and wait less for spot machines in any case.
     */
    boolean isNear(Job job, MachineType type) {
        return !job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                && latestStart(job, job.arrived).isBefore(job.arrived.plus(reach(type)));
    }

    /** Under a team's limit nothing can be started before all that an earlier leader started is known. */
    boolean mayStart(Job job, Moment now) {
        if (now.isBefore(job.retryAt)) {
            return false;
        }
        if (cluster.use(job).team.isLimited()) {
            return takeOver.isSettled() && !cluster.hasStrangers();
        }
        return true;
    }

    boolean isSettled() {
        return takeOver.isSettled();
    }

    boolean placeable(Job job, Machine m) {
        String zone = m.pool.zone();
        if (!cluster.use(job).hasRoomFor(job.spec.demand())) {
            return false;
        }
        if (job.spec.oneZone()) {
            String bound = job.boundZone();
            if (bound != null && !bound.equals(zone)) {
                return false;
            }
        }
        return !job.spec.spread() || job.activeIn(zone) < job.spec.zoneLimit();
    }

    /** The top job: the first in the queue that has tasks waiting and may start. */
    Job top(FairShareQueue share, Moment now) {
        for (Job job : queue(share, now)) {
            if (job.hasStartable() && mayStart(job, now) && !job.isSuspect() && !job.hadItsTurn()) {
                return job;
            }
        }
        return null;
    }

    /** Whether a start of the job on the machine would delay the top job, if that is another. */
    boolean isReserved(FairShareQueue share, Job job, Machine m, Moment now) {
        Job top = top(share, now);
        return top != null
                && top != job
                && !reservation(share, top, now)
                        .allows(m, job.spec.demand(), estimates.onMachine(job, m), estimates, now);
    }

    Reservation reservation(FairShareQueue share, Job top, Moment now) {
        CachedReservation kept = reservations.get(top.id());
        if (kept != null && kept.reservation.top() == top && now.isBefore(kept.made.plus(RESERVATION_LIFE))) {
            return kept.reservation;
        }
        reservations.values().removeIf(r -> !now.isBefore(r.made.plus(RESERVATION_LIFE)));
        List<Machine> machines = cluster.serving(share);
        if (!corner.isFor(top, now)) {
            machines.removeIf(m -> corner.has(m, share, queue(share, now), now));
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
    boolean fits(FairShareQueue share, Collection<Demand> free, Moment now) {
        double cores = 0;
        for (Demand room : free) {
            cores += room.cores();
        }
        for (Job job : share.jobs()) {
            if (!job.hasStartable() || job.isSuspect() || !mayStart(job, now)) {
                continue;
            }
            Moment due = aims.startBy(job);
            if (job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                    || job.spec.isService()
                    || !job.spec.spotAllowed()
                    || job.spec.zone() != null
                    || job.spec.types() != null
                    || (due != null && now.isBefore(due))) {
                return false;
            }
            cores -= job.startable() * job.spec.demand().cores();
            int lacking = job.startable();
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
    boolean isAside(Machine m, Moment now) {
        return m.aside != null && fits(m.aside, m.aside.roomBeside(), now);
    }

    /** Whether an idle machine can be used by a job that waits in its share. */
    boolean isWanted(Machine m, Moment now) {
        if (m.spare || isAside(m, now)) {
            return false;
        }
        for (FairShareQueue share : cluster.shares()) {
            if (m.share != null && !m.share.equals(share.name)) {
                continue;
            }
            for (Job job : share.jobs()) {
                if (job.hasWaiting()
                        && !job.isSuspect()
                        && m.allows(job.spec)
                        && job.spec.demand().fitsIn(m.freeFor(job.spec))
                        && !job.failedOn.contains(m.id)
                        && placeable(job, m)) {
                    return true;
                }
            }
        }
        return false;
    }
}
