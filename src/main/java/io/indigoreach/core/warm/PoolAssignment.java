package io.indigoreach.core.warm;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Machine;
import io.indigoreach.core.scheduling.PoolMembership;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Decides which machines leave a pool and which of those that are there join it. */
final class PoolAssignment {
    /** So long it takes on machines that boot, whoever asked for them: an earlier leader's requests are not told apart. */
    private static final Span INHERITS = Span.seconds(30);
    /** So long a pool takes no idle machine after one was asked of it for a guarantee. */
    private static final Span YIELDED = Span.seconds(30);

    private final Predicate<Machine> termEnds;
    private final Moment knownSince;
    private final Moment now;

    /** {@code termEnds}: whether a machine's paid term ends before the next check; {@code knownSince}: since when this leader plans. */
    PoolAssignment(Predicate<Machine> termEnds, Moment knownSince, Moment now) {
        this.termEnds = termEnds;
        this.knownSince = knownSince;
        this.now = now;
    }

    /** Machines of an old image as far as the pool may change at once, and those that are too many at their terms' end. */
    void shrink(PoolState s) {
        s.live.sort(Comparator.comparing(
                        (Machine machine) -> machine.poolMembership().image().equals(s.spec.image()))
                .thenComparing(machine ->
                        machine.imageCache().isCached(machine.poolMembership().image()))
                .thenComparing(machine -> -s.zone(machine.pool().zone())));
        boolean rolls = s.holders.containsKey(s.spec.image());
        int ready = s.ready();
        int under = s.live.size() - ready;
        int surge = s.surge();
        int excess = s.live.size() - s.target - surge;
        for (Machine machine : new ArrayList<>(s.live)) {
            boolean holds =
                    machine.imageCache().isCached(machine.poolMembership().image());
            boolean old = rolls && !machine.poolMembership().image().equals(s.spec.image());
            boolean mayRoll = old && under < surge && (!holds || ready > Math.min(s.spec.least(), s.target));
            boolean neededStill = old && holds && ready <= s.spec.least() && s.target > 0;
            boolean isTooMuch = excess > 0 && termEnds.test(machine) && !neededStill;
            if ((machine.isIdle() || s.target == 0) && (mayRoll || isTooMuch)) {
                machine.poolMembership().end();
                s.leave(machine);
                excess--;
                ready -= holds ? 1 : 0;
                under++;
            }
        }
    }

    /** Takes one machine that the pool may have; false if it wants none or there is none. */
    boolean takeOne(PoolState s, List<Machine> takeable) {
        if (s.missing() <= 0) {
            return false;
        }
        for (Machine machine : takeable) {
            if (machine.poolMembership() == null
                    && s.spec.allows(machine.pool())
                    && s.zone(machine.pool().zone()) < s.mostOfOneZone()
                    && take(s, machine)) {
                return true;
            }
        }
        return false;
    }

    private boolean take(PoolState s, Machine machine) {
        PoolState.Asked asked = s.asked.get(machine.pool());
        // Where it boots within seconds it may be up by now.
        boolean free = machine.phase() == Machine.Phase.BOOTING || (machine.isUsable() && machine.isIdle());
        boolean ordered = asked != null && !machine.rentedAt().isBefore(asked.since());
        if (!(free && (ordered || inherits(machine))) && !mayTakeIdle(s, machine)) {
            return false;
        }
        if (free && ordered) {
            s.asked.computeIfPresent(
                    machine.pool(),
                    (p, a) -> a.count() <= 1 ? null : new PoolState.Asked(a.count() - 1, a.since(), a.until()));
        }
        machine.poolMembership(new PoolMembership(s.spec.name(), s.spec.image(), s.spec.gb(), s.spec.replica()));
        s.join(machine);
        return true;
    }

    private boolean inherits(Machine machine) {
        return now.since(knownSince).compareTo(INHERITS) < 0
                && machine.rentedAt().isAfter(knownSince.minus(PoolRental.ASKED));
    }

    private boolean mayTakeIdle(PoolState s, Machine machine) {
        return now.since(s.yielded).compareTo(YIELDED) >= 0
                && machine.isUsable()
                && machine.isIdle()
                && (machine.imageCache().isCached(s.spec.image()) || termEnds.test(machine));
    }
}
