package io.indigoreach.core.warm;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.scheduling.Job;
import io.indigoreach.core.scheduling.Machine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One pool as the leader counts it: its machines, its holders, what it was asked for, and the size that was decided on. */
final class PoolState {
    /** Part of a pool that changes its image at a time, beyond which it may grow meanwhile. */
    private static final double ROLLED = 0.1;

    private static final double LOSSES_HALVE_H = 1;

    /** A request to rent that is counted on until a moment. */
    record Asked(int count, Moment since, Moment until) {}

    PoolSpec spec;
    DemandHistory seen;
    int target;
    String why = "";
    Moment lowSince;
    double spent;
    long hits;
    long misses;
    Moment yielded = Moment.NEVER;
    final Map<MachinePool, Asked> asked = new HashMap<>();
    /** Of its holders, those that are open, by image. */
    Map<String, Job> holders = Map.of();

    final List<Machine> live = new ArrayList<>();
    int demand;
    /** What was last logged of it. */
    String said = "";

    private final Map<String, Integer> zones = new HashMap<>();
    private final Set<MachineId> had = new HashSet<>();
    private double lost;
    private double hours;

    /** Before its jobs and machines are counted anew. */
    void clear(Moment now) {
        holders = new HashMap<>();
        live.clear();
        zones.clear();
        demand = 0;
        asked.values().removeIf(request -> !now.isBefore(request.until));
    }

    /** After that: which of the machines that it had are gone. */
    void countLosses(Set<MachineId> there, double hoursSince) {
        double fades = Math.pow(0.5, hoursSince / LOSSES_HALVE_H);
        long gone = had.stream().filter(id -> !there.contains(id)).count();
        lost = lost * fades + gone;
        hours = hours * fades + live.size() * hoursSince;
        had.clear();
        live.forEach(machine -> had.add(machine.id()));
    }

    /** Losses a machine and hour; one machine-hour without any is taken to have been seen before. */
    double lossRate() {
        return lost / (hours + 1);
    }

    int fresh() {
        return (int) live.stream()
                .filter(machine -> machine.poolMembership().image().equals(spec.image()))
                .count();
    }

    int ready() {
        return (int) live.stream()
                .filter(machine ->
                        machine.imageCache().isCached(machine.poolMembership().image()))
                .count();
    }

    int zone(String name) {
        return zones.getOrDefault(name, 0);
    }

    void join(Machine machine) {
        live.add(machine);
        zones.merge(machine.pool().zone(), 1, Integer::sum);
    }

    void leave(Machine machine) {
        if (live.remove(machine)) {
            zones.merge(machine.pool().zone(), -1, Integer::sum);
        }
    }

    int asked() {
        return asked.values().stream().mapToInt(Asked::count).sum();
    }

    /** The part that it has of what it wants. */
    double filled() {
        return live.size() / (double) Math.max(1, target);
    }

    /** While images change, so many more than wanted may be held, so that never fewer than the least hold any. */
    int surge() {
        return fresh() == live.size() ? 0 : Math.max(1, (int) (target * ROLLED));
    }

    /** Machines of one zone at most. */
    int mostOfOneZone() {
        return Math.max(1, (int) Math.ceil(spec.zonePart() * (target + surge())));
    }

    int missing() {
        return holders.containsKey(spec.image()) ? Math.min(target - fresh(), target + surge() - live.size()) : 0;
    }

    PoolStatus told() {
        return new PoolStatus(
                spec.name(), target, why, live.size(), ready(), live.size() - ready(), hits, misses, lossRate());
    }

    /** How long a guest may stay on its machines: until the next burst, if it is known when that is. */
    Span longestGuest(long timeOfDay, Span ahead) {
        boolean unknown = spec.learned() && seen.expected(timeOfDay, ahead, spec.wanted()) > 0;
        return unknown
                ? Span.ZERO
                : spec.windows().stream()
                        .map(w -> w.untilOpen(timeOfDay))
                        .min(Span::compareTo)
                        .orElse(Span.ZERO);
    }
}
