package io.indigoreach.core.warm;

import io.indigoreach.core.Job;
import io.indigoreach.core.JobSpec;
import io.indigoreach.core.Keeper;
import io.indigoreach.core.Machine;
import io.indigoreach.core.MachineId;
import io.indigoreach.core.MachineType;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Pool;
import io.indigoreach.core.RentWish;
import io.indigoreach.core.Span;
import io.indigoreach.core.Team;
import io.indigoreach.core.accounts.Line;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * Which machines the pools keep: how many each wants, which it takes, rents and lets go. One leader's; what a later one must
 * know stands in the machines' lines ({@link Line}), the rest it counts anew.
 *
 * <p>A pool grows at once and shrinks by whole paid terms: a machine is let go where its term ends, after the wish was
 * lower for two terms, as letting go and renting again costs a boot, a fetch and the least that is paid.
 */
public final class Plan implements Keeper {
    /** Machines of a pool that are asked for, or begin to fetch, at a check. */
    private static final int AT_ONCE = 50;
    /** What that takes for each {@link #AT_ONCE}: a check to rent, and one to offer the fetch. */
    private static final Span SPREAD = Span.seconds(4);
    /** A machine not up after so many boot times is no longer counted on. */
    private static final double BOOT_PATIENCE = 2;
    /** For so long a request to rent is waited for; {@link #ANSWERED}: what it brought after its answer. */
    private static final Span ASKED = Span.seconds(60);

    private static final Span ANSWERED = Span.seconds(5);
    /** Before a new leader rents for pools: the cloud's list, and machines on their way, are known by then. */
    private static final Span FIRST = Span.seconds(5);
    /** So long it takes on machines that boot, whoever asked for them: an earlier leader's requests are not told apart. */
    private static final Span INHERITS = Span.seconds(30);
    /** Part of a pool that changes its image at a time, beyond which it may grow meanwhile. */
    private static final double ROLLED = 0.1;

    private static final double LOSSES_HALVE_H = 1;
    /** So long a pool takes no idle machine after one was asked of it for a guarantee. */
    private static final Span YIELDED = Span.seconds(30);

    private static final Span HALF_HOUR = Span.seconds(1800);

    private record Asked(int count, Moment since, Moment until) {}

    private static final class State {
        PoolSpec spec;
        Seen seen;
        int target;
        String why = "";
        Moment lowSince;
        double spent;
        long hits;
        long misses;
        double lost;
        double hours;
        Moment yielded = Moment.NEVER;
        final Map<Pool, Asked> asked = new HashMap<>();
        final Set<MachineId> had = new HashSet<>();
        /** Of its holders, those that are open, by image. */
        Map<String, Job> holders = Map.of();

        final List<Machine> live = new ArrayList<>();
        final Map<String, Integer> zones = new HashMap<>();
        int demand;
        String said = "";

        int fresh() {
            return (int) live.stream()
                    .filter(m -> m.seat().image().equals(spec.image()))
                    .count();
        }

        int ready() {
            return (int) live.stream()
                    .filter(m -> m.images().holds(m.seat().image()))
                    .count();
        }

        int zone(String name) {
            return zones.getOrDefault(name, 0);
        }

        void join(Machine m) {
            live.add(m);
            zones.merge(m.pool().zone(), 1, Integer::sum);
        }

        void leave(Machine m) {
            if (live.remove(m)) {
                zones.merge(m.pool().zone(), -1, Integer::sum);
            }
        }

        int asked() {
            return asked.values().stream().mapToInt(Asked::count).sum();
        }

        double per() {
            return live.size() / (double) Math.max(1, target);
        }
    }

    private final Map<String, Team> teams = new HashMap<>();
    private final Supplier<? extends Collection<MachineType>> types;
    private final Span term;
    private final ToLongFunction<Moment> timeOfDay;
    private final Consumer<String> say;
    private final Map<String, State> states = new TreeMap<>();
    /** Lines of an earlier leader for machines that have not reported to this one. */
    private final Map<MachineId, Line> recalled = new HashMap<>();
    /** Machines that left a pool, and whose holder has not yet. */
    private final Set<MachineId> letGo = new HashSet<>();

    private final Map<Pool, Moment> refusedUntil = new HashMap<>();
    /** Who has the least of what it wants is first. */
    private List<State> fair = List.of();

    private Moment knownSince;
    private Moment planned;

    /**
     * @param term a paid term
     * @param timeOfDay in ms
     */
    public Plan(
            Collection<Team> teams,
            Supplier<? extends Collection<MachineType>> types,
            Span term,
            ToLongFunction<Moment> timeOfDay,
            Consumer<String> say) {
        teams.forEach(t -> this.teams.put(t.name(), t));
        this.types = types;
        this.term = term;
        this.timeOfDay = timeOfDay;
        this.say = say;
    }

    /** The pools there are, as recorded; {@code seen} is asked for a pool that is new here. */
    public void pools(Collection<PoolSpec> specs, java.util.function.Function<String, Seen> seen) {
        for (PoolSpec spec : specs) {
            State s = states.computeIfAbsent(spec.name(), n -> new State());
            s.spec = spec;
            s.seen = s.seen == null ? seen.apply(spec.name()) : s.seen;
        }
    }

    /** What earlier leaders recorded of machines, once: from now on seats are given and taken. */
    public void recall(Collection<Line> lines, Moment now) {
        lines.stream().filter(line -> !line.image().isEmpty()).forEach(line -> recalled.put(line.machine(), line));
        knownSince = now;
    }

    /** What a pool's account stands at. */
    public void spent(String pool, double money) {
        State s = states.get(pool);
        if (s != null) {
            s.spent = money;
        }
    }

    @Override
    public boolean isKnown() {
        return knownSince != null;
    }

    @Override
    public boolean keeps(Machine m) {
        return isKnown() ? m.seat() != null && !m.seat().isDropped() : m.hasHolder();
    }

    /** The record does not name this machine any more: another leader would not claim its image. */
    public void released(Machine m) {
        if (m.seat() != null && m.seat().isDropped()) {
            letGo.add(m.id());
            m.seat(null);
        }
    }

    @Override
    public void yield(Machine m, Moment now) {
        State s = states.get(m.seat().pool());
        m.seat().drop();
        s.leave(m);
        s.yielded = now;
    }

    @Override
    public void refused(Pool pool) {
        if (planned != null) {
            refusedUntil.put(pool, planned.plus(ANSWERED.times(2)));
            Moment until = planned.plus(ANSWERED);
            states.values().forEach(s -> s.asked.computeIfPresent(pool, (p, a) -> new Asked(a.count, a.since, until)));
        }
    }

    @Override
    public void starting(Job job, Machine m) {
        String image = job.spec().image();
        for (State s : job.spec().isHolder() ? List.<State>of() : states.values()) {
            if (s.spec.image().equals(image)) {
                s.hits += m.images().holds(image) ? 1 : 0;
                s.misses += m.images().holds(image) ? 0 : 1;
            }
        }
    }

    @Override
    public List<RentWish> wishes(Moment now) {
        List<RentWish> out = new ArrayList<>();
        if (planned != null && now.since(knownSince).compareTo(FIRST) >= 0) {
            fair.forEach(s -> rent(s, out, now));
        }
        return out;
    }

    @Override
    public void plan(Collection<Machine> machines, Collection<Job> jobs, Predicate<Machine> termEnds, Moment now) {
        if (!isKnown() || states.isEmpty()) {
            return;
        }
        recallSeats(machines);
        count(machines, jobs, now);
        fair = new ArrayList<>(states.values());
        for (State s : fair) {
            size(s, now);
            shrink(s, termEnds);
        }
        // Who has the least of what it wants is asked first; the last machine goes to it.
        fair.sort(Comparator.comparingDouble(State::per));
        List<Machine> takeable = machines.stream()
                .filter(m -> m.seat() == null && isLive(m, now))
                .toList();
        boolean more = true;
        while (more) {
            more = false;
            for (State s : fair) {
                more |= take(s, takeable, termEnds, now);
            }
        }
        fair.forEach(s -> seatHolders(s, now));
        planned = now;
    }

    private void recallSeats(Collection<Machine> machines) {
        for (Machine m : machines) {
            Line line = recalled.get(m.id());
            Job sits = m.holderJob();
            if (sits == null) {
                letGo.remove(m.id());
            }
            State s = states.get(line != null ? line.payer().pool() : sits == null ? "" : poolOf(sits));
            if (m.seat() == null && s != null && line != null) {
                m.seat(new Seat(s.spec.name(), line.image(), line.gb(), s.spec.replica()));
            } else if (m.seat() == null && s != null && m.session() > 0 && !letGo.contains(m.id())) {
                // Its line was lost, or never written: a holder shows whose it is.
                m.seat(new Seat(s.spec.name(), sits.spec().image(), sits.spec().imageGb(), s.spec.replica()));
            }
            if (line != null && m.session() > 0) {
                m.images().recall(line.image(), line.gb(), line.session() == m.session());
                recalled.remove(m.id());
            }
        }
    }

    /** The pool that a holder names. */
    public static String poolOf(Job job) {
        return String.valueOf(job.spec().more().get(JobSpec.WARM));
    }

    private static boolean isLive(Machine m, Moment now) {
        return m.isCountedOn()
                && (m.phase() != Machine.Phase.BOOTING
                        || now.isBefore(m.rented().plus(m.type().boot().times(BOOT_PATIENCE))));
    }

    private void count(Collection<Machine> machines, Collection<Job> jobs, Moment now) {
        for (State s : states.values()) {
            s.holders = new HashMap<>();
            s.live.clear();
            s.zones.clear();
            s.demand = 0;
            s.asked.values().removeIf(a -> !now.isBefore(a.until));
        }
        for (Job job : jobs) {
            State own = job.spec().isHolder() ? states.get(poolOf(job)) : null;
            if (own != null && job.spec().team().equals(own.spec.team()) && !job.isCancelled()) {
                own.holders.putIfAbsent(job.spec().image(), job);
            }
            for (State s : job.spec().isHolder() ? List.<State>of() : states.values()) {
                s.demand +=
                        s.spec.image().equals(job.spec().image()) ? job.spec().tasks() - job.doneCount() : 0;
            }
        }
        Set<MachineId> there = new HashSet<>();
        for (Machine m : machines) {
            there.add(m.id());
            if (m.seat() != null && !m.seat().isDropped() && isLive(m, now)) {
                states.get(m.seat().pool()).join(m);
            }
        }
        double hours = planned == null ? 0 : now.since(planned).seconds() / 3600;
        letGo.retainAll(there);
        for (State s : states.values()) {
            double fades = Math.pow(0.5, hours / LOSSES_HALVE_H);
            long gone = s.had.stream().filter(id -> !there.contains(id)).count();
            s.lost = s.lost * fades + gone;
            s.hours = s.hours * fades + s.live.size() * hours;
            s.had.clear();
            s.live.forEach(m -> s.had.add(m.id()));
            s.seen.observe(timeOfDay.applyAsLong(now), s.demand);
        }
    }

    private MachineType type(State s) {
        return types.get().stream()
                .filter(t -> s.spec.types().contains(t.name()))
                .findFirst()
                .orElse(null);
    }

    /** Losses a machine and hour; one machine-hour without any is taken to have been seen before. */
    private static double lossRate(State s) {
        return s.lost / (s.hours + 1);
    }

    private void size(State s, Moment now) {
        PoolSpec p = s.spec;
        MachineType type = type(s);
        if (type == null) {
            return;
        }
        long at = timeOfDay.applyAsLong(now);
        Span lead = Sizing.lead(type, p.gb(), false).plus(SPREAD.times(p.most() / (double) AT_ONCE));
        double expected = p.windows().stream()
                .filter(w -> w.opensWithin(at, lead))
                .mapToDouble(Window::replicas)
                .max()
                .orElse(0);
        int replicas =
                Math.max(Sizing.poisson(expected, p.wanted()), p.learned() ? s.seen.expected(at, lead, p.wanted()) : 0);
        int need = Sizing.machines(replicas, p.replica().timesIn(type.capacity()));
        int want =
                Math.min(p.most(), Math.max(p.least(), p.spot() ? Sizing.withLosses(need, lossRate(s), lead) : need));
        String why = replicas + " replicas expected within " + Math.round(lead.seconds()) + " s at " + p.wanted()
                + ", at least " + p.least() + ", at most " + p.most();
        Job holder = s.holders.get(p.image());
        Team team = teams.get(p.team());
        boolean atOnce = true;
        if (s.holders.isEmpty()) {
            want = 0;
            why = "no holder: submit a service of team " + p.team() + " with image " + p.image() + " and warm "
                    + p.name();
        } else if (p.budget() > 0 && s.spent >= p.budget()) {
            want = 0;
            why = "its budget is over: " + Math.round(s.spent * 100) / 100.0 + " of " + p.budget();
        } else {
            atOnce = false;
            Job any = holder == null ? s.holders.values().iterator().next() : holder;
            int tasks = any.spec().tasks();
            double each = any.spec().demand().cores();
            int allowed =
                    team == null || team.coresMax() <= 0 || each <= 0 ? PoolSpec.MOST : (int) (team.coresMax() / each);
            if (Math.min(tasks, allowed) < want) {
                want = Math.min(tasks, allowed);
                why = allowed < tasks
                        ? "the limit of team " + p.team() + " allows " + allowed + " holders"
                        : "the holder has " + tasks + " tasks";
            }
        }
        lower(s, want, atOnce, why, now);
    }

    private void lower(State s, int want, boolean atOnce, String why, Moment now) {
        s.lowSince = want >= s.target ? null : s.lowSince == null ? now : s.lowSince;
        if (want >= s.target || atOnce || now.since(s.lowSince).compareTo(term.times(2)) >= 0) {
            s.target = want;
            s.lowSince = null;
        }
        s.why = why;
        if (atOnce && !why.equals(s.said)) {
            say.accept("pool " + s.spec.name() + " shrinks at the end of its machines' terms: " + why);
        }
        s.said = atOnce ? why : "";
    }

    /** While images change, so many more than wanted may be held, so that never fewer than the least hold any. */
    private static int surge(State s) {
        return s.fresh() == s.live.size() ? 0 : Math.max(1, (int) (s.target * ROLLED));
    }

    private void shrink(State s, Predicate<Machine> termEnds) {
        s.live.sort(Comparator.comparing((Machine m) -> m.seat().image().equals(s.spec.image()))
                .thenComparing(m -> m.images().holds(m.seat().image()))
                .thenComparing(m -> -s.zone(m.pool().zone())));
        boolean rolls = s.holders.containsKey(s.spec.image());
        int ready = s.ready();
        int under = s.live.size() - ready;
        int surge = surge(s);
        int excess = s.live.size() - s.target - surge;
        for (Machine m : new ArrayList<>(s.live)) {
            boolean holds = m.images().holds(m.seat().image());
            boolean old = rolls && !m.seat().image().equals(s.spec.image());
            boolean mayRoll = old && under < surge && (!holds || ready > Math.min(s.spec.least(), s.target));
            boolean neededStill = old && holds && ready <= s.spec.least() && s.target > 0;
            boolean isTooMuch = excess > 0 && termEnds.test(m) && !neededStill;
            if ((m.isIdle() || s.target == 0) && (mayRoll || isTooMuch)) {
                m.seat().drop();
                s.leave(m);
                excess--;
                ready -= holds ? 1 : 0;
                under++;
            }
        }
    }

    /** Takes one machine that the pool may have; false if it wants none or there is none. */
    private boolean take(State s, List<Machine> takeable, Predicate<Machine> termEnds, Moment now) {
        if (missing(s) <= 0) {
            return false;
        }
        for (Machine m : takeable) {
            if (m.seat() != null || !s.spec.allows(m.pool()) || s.zone(m.pool().zone()) >= most(s)) {
                continue;
            }
            Asked asked = s.asked.get(m.pool());
            // Where it boots within seconds it may be up by now.
            boolean free = m.phase() == Machine.Phase.BOOTING || (m.isUsable() && m.isIdle());
            boolean inherits =
                    now.since(knownSince).compareTo(INHERITS) < 0 && m.rented().isAfter(knownSince.minus(ASKED));
            boolean ordered = asked != null && !m.rented().isBefore(asked.since);
            boolean ends = now.since(s.yielded).compareTo(YIELDED) >= 0
                    && m.isUsable()
                    && m.isIdle()
                    && (m.images().holds(s.spec.image()) || termEnds.test(m));
            if ((free && (ordered || inherits)) || ends) {
                if (free && ordered) {
                    s.asked.computeIfPresent(
                            m.pool(), (p, a) -> a.count <= 1 ? null : new Asked(a.count - 1, a.since, a.until));
                }
                m.seat(new Seat(s.spec));
                s.join(m);
                return true;
            }
        }
        return false;
    }

    /** Machines of one zone at most. */
    private static int most(State s) {
        return Math.max(1, (int) Math.ceil(s.spec.zonePart() * (s.target + surge(s))));
    }

    private static int missing(State s) {
        return s.holders.containsKey(s.spec.image())
                ? Math.min(s.target - s.fresh(), s.target + surge(s) - s.live.size())
                : 0;
    }

    private void rent(State s, List<RentWish> out, Moment now) {
        for (int left = Math.min(AT_ONCE, missing(s) - s.asked()); left > 0; ) {
            Pool from = fewest(s, out, now);
            if (from == null) {
                return;
            }
            int n = Math.min(left, most(s) - s.zone(from.zone()));
            out.add(new RentWish(from, n));
            s.asked.put(from, new Asked(n, now, now.plus(ASKED)));
            left -= n;
        }
    }

    /** Where to rent: the zone with the fewest, of those with room by the spread that do not refuse. */
    private Pool fewest(State s, List<RentWish> chosen, Moment now) {
        Pool best = null;
        for (MachineType t : types.get()) {
            for (String zone : t.zones()) {
                Pool pool = new Pool(t.name(), zone, s.spec.spot());
                Moment refused = refusedUntil.get(pool);
                if (s.spec.allows(pool)
                        && s.zone(zone) < most(s)
                        && !s.asked.containsKey(pool)
                        && (refused == null || !now.isBefore(refused))
                        && chosen.stream().noneMatch(w -> w.pool().equals(pool))
                        && (best == null || s.zone(zone) < s.zone(best.zone()))) {
                    best = pool;
                }
            }
        }
        return best;
    }

    private void seatHolders(State s, Moment now) {
        long at = timeOfDay.applyAsLong(now);
        boolean unknown = s.spec.learned() && s.seen.expected(at, HALF_HOUR, s.spec.wanted()) > 0;
        Span guest = unknown
                ? Span.ZERO
                : s.spec.windows().stream()
                        .map(w -> w.untilOpen(at))
                        .min(Span::compareTo)
                        .orElse(Span.ZERO);
        int offered = 0;
        for (Machine m : s.live) {
            Seat seat = m.seat();
            seat.longestGuest(guest);
            boolean begins = !m.hasHolder() && !m.images().contains(seat.image());
            if (begins && offered >= AT_ONCE) {
                seat.holder(null);
            } else {
                seat.holder(s.holders.get(seat.image()));
                offered += begins && m.isUsable() ? 1 : 0;
            }
        }
    }

    /** How each pool stands. */
    public List<Told> told() {
        return states.values().stream()
                .map(s -> new Told(
                        s.spec.name(),
                        s.target,
                        s.why,
                        s.live.size(),
                        s.ready(),
                        s.live.size() - s.ready(),
                        s.hits,
                        s.misses,
                        lossRate(s)))
                .toList();
    }

    /** What was learned of a pool's bursts. */
    public Seen seen(String pool) {
        return states.get(pool).seen;
    }
}
