package io.indigoreach.core.warm;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.scheduling.Job;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;

/**
 * Decides how many machines a pool wants, and when a lower wish takes effect: a pool grows at once and shrinks after two paid terms.
 */
final class TargetSize {
    /** What renting takes for each {@link PoolRental#AT_ONCE}: a check to rent, and one to offer the fetch. */
    private static final Span SPREAD = Span.seconds(4);

    /** A size, the reason to tell people, and whether a lower size takes effect at once. */
    private record Wish(int machines, boolean atOnce, String why) {}

    private final Map<String, Team> teams = new HashMap<>();
    private final Supplier<? extends Collection<MachineType>> types;
    private final Span term;
    private final ToLongFunction<Moment> timeOfDay;
    private final Consumer<String> say;

    TargetSize(
            Collection<Team> teams,
            Supplier<? extends Collection<MachineType>> types,
            Span term,
            ToLongFunction<Moment> timeOfDay,
            Consumer<String> say) {
        teams.forEach(team -> this.teams.put(team.name(), team));
        this.types = types;
        this.term = term;
        this.timeOfDay = timeOfDay;
        this.say = say;
    }

    void decide(PoolState s, Moment now) {
        MachineType type = type(s.spec);
        if (type != null) {
            set(s, wish(s, type, now), now);
        }
    }

    private MachineType type(PoolSpec spec) {
        return types.get().stream()
                .filter(type -> spec.types().contains(type.name()))
                .findFirst()
                .orElse(null);
    }

    private Wish wish(PoolState s, MachineType type, Moment now) {
        PoolSpec p = s.spec;
        if (s.holders.isEmpty()) {
            return new Wish(
                    0,
                    true,
                    "no holder: submit a service of team " + p.team() + " with image " + p.image() + " and warm "
                            + p.name());
        }
        if (p.budget() > 0 && s.spent >= p.budget()) {
            return new Wish(0, true, "its budget is over: " + Math.round(s.spent * 100) / 100.0 + " of " + p.budget());
        }
        return limited(s, expected(s, type, now));
    }

    /** By the bursts that are expected before a machine rented now would be ready. */
    private Wish expected(PoolState s, MachineType type, Moment now) {
        PoolSpec p = s.spec;
        long at = timeOfDay.applyAsLong(now);
        Span lead = PoolSizing.lead(type, p.gb(), false).plus(SPREAD.times(p.most() / (double) PoolRental.AT_ONCE));
        double expected = p.windows().stream()
                .filter(window -> window.opensWithin(at, lead))
                .mapToDouble(BurstWindow::replicas)
                .max()
                .orElse(0);
        int replicas = Math.max(
                PoolSizing.poisson(expected, p.wanted()), p.learned() ? s.seen.expected(at, lead, p.wanted()) : 0);
        int need = PoolSizing.machines(replicas, p.replica().countFittingIn(type.capacity()));
        int withLosses = p.spot() ? PoolSizing.withLosses(need, s.lossRate(), lead) : need;
        return new Wish(
                Math.min(p.most(), Math.max(p.least(), withLosses)),
                false,
                replicas + " replicas expected within " + Math.round(lead.seconds()) + " s at " + p.wanted()
                        + ", at least " + p.least() + ", at most " + p.most());
    }

    /** No more machines than the holder has tasks, or its team may run. */
    private Wish limited(PoolState s, Wish wish) {
        Job current = s.holders.get(s.spec.image());
        Job holder = current == null ? s.holders.values().iterator().next() : current;
        int tasks = holder.spec().taskCount();
        double each = holder.spec().demand().cores();
        Team team = teams.get(s.spec.team());
        int allowed =
                team == null || team.maxCores() <= 0 || each <= 0 ? PoolSpec.MOST : (int) (team.maxCores() / each);
        if (Math.min(tasks, allowed) >= wish.machines) {
            return wish;
        }
        return new Wish(
                Math.min(tasks, allowed),
                false,
                allowed < tasks
                        ? "the limit of team " + s.spec.team() + " allows " + allowed + " holders"
                        : "the holder has " + tasks + " tasks");
    }

    private void set(PoolState s, Wish wish, Moment now) {
        s.lowSince = wish.machines >= s.target ? null : s.lowSince == null ? now : s.lowSince;
        if (wish.machines >= s.target || wish.atOnce || now.since(s.lowSince).compareTo(term.times(2)) >= 0) {
            s.target = wish.machines;
            s.lowSince = null;
        }
        s.why = wish.why;
        if (wish.atOnce && !wish.why.equals(s.said)) {
            say.accept("warm pool shrinking pool=" + s.spec.name() + " reason=" + wish.why);
        }
        s.said = wish.atOnce ? wish.why : "";
    }
}
