package io.indigoreach.core.warm;

import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.ScaleOutRequest;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Decides where pools rent what they miss, and remembers what the cloud refused. */
final class PoolRental {
    /** Machines of a pool that are asked for, or begin to fetch, at a check. */
    static final int AT_ONCE = 50;
    /** For so long a request to rent is waited for; {@link #ANSWERED}: what it brought after its answer. */
    static final Span ASKED = Span.seconds(60);

    private static final Span ANSWERED = Span.seconds(5);

    private final Supplier<? extends Collection<MachineType>> types;
    private final Map<MachinePool, Moment> refusedUntil = new HashMap<>();

    PoolRental(Supplier<? extends Collection<MachineType>> types) {
        this.types = types;
    }

    void refused(MachinePool pool, Collection<PoolState> states, Moment planned) {
        refusedUntil.put(pool, planned.plus(ANSWERED.times(2)));
        Moment until = planned.plus(ANSWERED);
        states.forEach(s -> s.asked.computeIfPresent(pool, (p, a) -> new PoolState.Asked(a.count(), a.since(), until)));
    }

    void rent(PoolState s, List<ScaleOutRequest> out, Moment now) {
        int left = Math.min(AT_ONCE, s.missing() - s.asked());
        while (left > 0) {
            MachinePool from = fewest(s, out, now);
            if (from == null) {
                return;
            }
            int count = Math.min(left, s.mostOfOneZone() - s.zone(from.zone()));
            out.add(new ScaleOutRequest(from, count));
            s.asked.put(from, new PoolState.Asked(count, now, now.plus(ASKED)));
            left -= count;
        }
    }

    /** Where to rent: the zone with the fewest, of those with room by the spread that do not refuse. */
    private MachinePool fewest(PoolState s, List<ScaleOutRequest> chosen, Moment now) {
        MachinePool best = null;
        for (MachineType type : types.get()) {
            for (String zone : type.zones()) {
                MachinePool pool = new MachinePool(type.name(), zone, s.spec.spot());
                if (mayRent(s, pool, chosen, now) && (best == null || s.zone(zone) < s.zone(best.zone()))) {
                    best = pool;
                }
            }
        }
        return best;
    }

    private boolean mayRent(PoolState s, MachinePool pool, List<ScaleOutRequest> chosen, Moment now) {
        Moment refused = refusedUntil.get(pool);
        return s.spec.allows(pool)
                && s.zone(pool.zone()) < s.mostOfOneZone()
                && !s.asked.containsKey(pool)
                && (refused == null || !now.isBefore(refused))
                && chosen.stream().noneMatch(request -> request.pool().equals(pool));
    }
}
