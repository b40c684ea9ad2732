package io.indigoreach.core.warm;

import io.indigoreach.core.accounts.Line;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.Machine;
import io.indigoreach.core.scheduling.PoolMembership;
import io.indigoreach.core.scheduling.ScaleOutRequest;
import io.indigoreach.core.scheduling.WarmCapacity;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * Which machines the pools keep: how many each wants, which it takes, rents and lets go. One leader's; what a later one must
 * know stands in the machines' lines ({@link Line}), the rest it counts anew.
 *
 * <p>A pool grows at once and shrinks by whole paid terms: a machine is let go where its term ends, after the wish was
 * lower for two terms, as letting go and renting again costs a boot, a fetch and the least that is paid.
 *
 * <p>What is decided where: {@link TargetSize} how many, {@link PoolAssignment} which of those that are there, {@link PoolRental}
 * where to rent what is missing, {@link MembershipRecovery} what an earlier leader had decided.
 */
public final class PoolPlanner implements WarmCapacity {
    /** A machine not up after so many boot times is no longer counted on. */
    private static final double BOOT_PATIENCE = 2;
    /** Before a new leader rents for pools: the cloud's list, and machines on their way, are known by then. */
    private static final Span FIRST = Span.seconds(5);

    private static final Span HALF_HOUR = Span.seconds(1800);

    private final ToLongFunction<Moment> timeOfDay;
    private final TargetSize targetSize;
    private final PoolRental rental;
    private final MembershipRecovery recall = new MembershipRecovery();
    private final Map<String, PoolState> states = new TreeMap<>();
    /** Who has the least of what it wants is first. */
    private List<PoolState> fair = List.of();

    private Moment knownSince;
    private Moment planned;

    /**
     * @param term a paid term
     * @param timeOfDay in ms
     */
    public PoolPlanner(
            Collection<Team> teams,
            Supplier<? extends Collection<MachineType>> types,
            Span term,
            ToLongFunction<Moment> timeOfDay,
            Consumer<String> say) {
        this.timeOfDay = timeOfDay;
        this.targetSize = new TargetSize(teams, types, term, timeOfDay, say);
        this.rental = new PoolRental(types);
    }

    /** The pools there are, as recorded; {@code seen} is asked for a pool that is new here. */
    public void pools(Collection<PoolSpec> specs, Function<String, DemandHistory> seen) {
        for (PoolSpec spec : specs) {
            PoolState s = states.computeIfAbsent(spec.name(), n -> new PoolState());
            s.spec = spec;
            s.seen = s.seen == null ? seen.apply(spec.name()) : s.seen;
        }
    }

    /** What earlier leaders recorded of machines, once: from now on seats are given and taken. */
    public void recall(Collection<Line> lines, Moment now) {
        recall.recall(lines);
        knownSince = now;
    }

    /** What a pool's account stands at. */
    public void spent(String pool, double money) {
        PoolState s = states.get(pool);
        if (s != null) {
            s.spent = money;
        }
    }

    @Override
    public boolean isMembershipKnown() {
        return knownSince != null;
    }

    @Override
    public boolean isRetained(Machine machine) {
        return isMembershipKnown()
                ? machine.poolMembership() != null && !machine.poolMembership().isEnded()
                : machine.hasHolder();
    }

    /** The record does not name this machine any more: another leader would not claim its image. */
    public void released(Machine machine) {
        if (machine.poolMembership() != null && machine.poolMembership().isEnded()) {
            recall.letGo(machine.id());
            machine.poolMembership(null);
        }
    }

    @Override
    public void releaseForGuarantee(Machine machine, Moment now) {
        PoolState s = states.get(machine.poolMembership().pool());
        machine.poolMembership().end();
        s.leave(machine);
        s.yielded = now;
    }

    @Override
    public void scaleOutRejected(MachinePool pool) {
        if (planned != null) {
            rental.refused(pool, states.values(), planned);
        }
    }

    @Override
    public void taskStarting(Job job, Machine machine) {
        if (job.spec().isHolder()) {
            return;
        }
        String image = job.spec().image();
        boolean hit = machine.imageCache().isCached(image);
        for (PoolState s : states.values()) {
            if (s.spec.image().equals(image)) {
                s.hits += hit ? 1 : 0;
                s.misses += hit ? 0 : 1;
            }
        }
    }

    @Override
    public List<ScaleOutRequest> scaleOutRequests(Moment now) {
        List<ScaleOutRequest> out = new ArrayList<>();
        if (planned != null && now.since(knownSince).compareTo(FIRST) >= 0) {
            fair.forEach(s -> rental.rent(s, out, now));
        }
        return out;
    }

    @Override
    public void plan(Collection<Machine> machines, Collection<Job> jobs, Predicate<Machine> termEnds, Moment now) {
        if (!isMembershipKnown() || states.isEmpty()) {
            return;
        }
        machines.forEach(machine -> recall.restore(machine, states));
        count(machines, jobs, now);
        PoolAssignment membership = new PoolAssignment(termEnds, knownSince, now);
        fair = new ArrayList<>(states.values());
        for (PoolState s : fair) {
            targetSize.decide(s, now);
            membership.shrink(s);
        }
        // Who has the least of what it wants is asked first; the last machine goes to it.
        fair.sort(Comparator.comparingDouble(PoolState::filled));
        List<Machine> takeable = machines.stream()
                .filter(machine -> machine.poolMembership() == null && isLive(machine, now))
                .toList();
        boolean more = true;
        while (more) {
            more = false;
            for (PoolState s : fair) {
                more |= membership.takeOne(s, takeable);
            }
        }
        fair.forEach(s -> seatHolders(s, now));
        planned = now;
    }

    private static boolean isLive(Machine machine, Moment now) {
        return machine.isExpectedToServe()
                && (machine.phase() != Machine.Phase.BOOTING
                        || now.isBefore(
                                machine.rentedAt().plus(machine.type().boot().times(BOOT_PATIENCE))));
    }

    private void count(Collection<Machine> machines, Collection<Job> jobs, Moment now) {
        states.values().forEach(s -> s.clear(now));
        jobs.forEach(this::count);
        Set<MachineId> there = new HashSet<>();
        for (Machine machine : machines) {
            there.add(machine.id());
            if (machine.poolMembership() != null && !machine.poolMembership().isEnded() && isLive(machine, now)) {
                states.get(machine.poolMembership().pool()).join(machine);
            }
        }
        recall.retain(there);
        double hours = planned == null ? 0 : now.since(planned).seconds() / 3600;
        for (PoolState s : states.values()) {
            s.countLosses(there, hours);
            s.seen.observe(timeOfDay.applyAsLong(now), s.demand);
        }
    }

    private void count(Job job) {
        JobSpec spec = job.spec();
        if (spec.isHolder()) {
            PoolState own = states.get(MembershipRecovery.poolOf(job));
            if (own != null && spec.team().equals(own.spec.team()) && !job.isCancelled()) {
                own.holders.putIfAbsent(spec.image(), job);
            }
            return;
        }
        for (PoolState s : states.values()) {
            s.demand += s.spec.image().equals(spec.image()) ? spec.tasks() - job.doneCount() : 0;
        }
    }

    private void seatHolders(PoolState s, Moment now) {
        Span guest = s.longestGuest(timeOfDay.applyAsLong(now), HALF_HOUR);
        int offered = 0;
        for (Machine machine : s.live) {
            PoolMembership seat = machine.poolMembership();
            seat.maximumOtherTaskTime(guest);
            boolean begins = !machine.hasHolder() && !machine.imageCache().contains(seat.image());
            if (begins && offered >= PoolRental.AT_ONCE) {
                seat.holder(null);
            } else {
                seat.holder(s.holders.get(seat.image()));
                offered += begins && machine.isUsable() ? 1 : 0;
            }
        }
    }

    /** How each pool stands. */
    public List<PoolStatus> told() {
        return states.values().stream().map(PoolState::told).toList();
    }

    /** What was learned of a pool's bursts. */
    public DemandHistory seen(String pool) {
        return states.get(pool).seen;
    }
}
