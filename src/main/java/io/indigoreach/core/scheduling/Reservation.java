package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The reservation that the top job of a share holds: on which machines its waiting tasks are expected to start, and
 * when. Other jobs may use those machines only if they do not delay it.
 */
final class Reservation {
    /** From {@code at} on, {@code tasks} of the top job have a place on this machine. */
    record Hold(Moment at, int tasks) {}

    private final Job top;
    private final Map<MachineId, Hold> holds;
    private final Moment lastStart;

    private Reservation(Job top, Map<MachineId, Hold> holds, Moment lastStart) {
        this.top = top;
        this.holds = holds;
        this.lastStart = lastStart;
    }

    /** When the last waiting task of the top job is expected to start; null if no machine can ever take it. */
    Moment lastStart() {
        return lastStart;
    }

    Job top() {
        return top;
    }

    Hold hold(MachineId machine) {
        return holds.get(machine);
    }

    /** Reserves the earliest places for the waiting tasks of {@code top}. */
    static Reservation of(Job top, Iterable<Machine> machines, Estimates estimates, Moment now) {
        record Place(Machine machine, Moment at, int tasks) {}
        List<Place> places = new ArrayList<>();
        int slots = 0;
        for (Machine m : machines) {
            boolean coming = m.phase == Machine.Phase.BOOTING;
            if ((!coming && !m.isUsable()) || !m.allows(top.spec) || FaultAttribution.isExcluded(top, m)) {
                continue;
            }
            Moment start = now;
            if (coming) {
                Moment up = m.rentedAt.plus(m.type.boot());
                start = up.isAfter(now) ? up : now;
            }
            Demand room = m.freeFor(top.spec);
            List<Placement> running = m.placementsCopy();
            running.removeIf(placement -> placement.job.spec.isService());
            Map<Placement, Moment> ends = new HashMap<>();
            for (Placement placement : running) {
                ends.put(placement, estimates.end(placement, now));
            }
            running.sort(Comparator.comparing(ends::get));
            int taken = 0;
            int k = 0;
            while (true) {
                int fit = top.spec.demand().timesIn(room) - taken;
                if (fit > 0) {
                    places.add(new Place(m, start, fit));
                    slots += fit;
                    taken += fit;
                }
                if (k == running.size()) {
                    break;
                }
                room = room.plus(running.get(k).demand());
                start = ends.get(running.get(k));
                k++;
            }
        }
        places.sort(Comparator.comparing(Place::at));
        Map<MachineId, Hold> holds = new HashMap<>();
        int left = top.startableCount();
        Moment last = slots == 0 ? null : now;
        for (Place place : places) {
            if (left <= 0) {
                break;
            }
            int n = Math.min(left, place.tasks);
            left -= n;
            last = place.at;
            Hold old = holds.get(place.machine.id);
            holds.put(place.machine.id, new Hold(old == null ? place.at : old.at, old == null ? n : old.tasks + n));
        }
        if (left > 0 && slots > 0) {
            // More tasks than places: the rest starts in further rounds.
            int rounds = (left + slots - 1) / slots;
            last = last.plus(estimates.run(top).times(rounds));
        }
        return new Reservation(top, holds, last);
    }

    /** Whether a task that takes {@code demand} for {@code time} may start on {@code m} without delaying the top job. */
    boolean allows(Machine machine, Demand demand, Span time, Estimates estimates, Moment now) {
        Hold hold = holds.get(machine.id);
        if (hold == null || !now.plus(time).isAfter(hold.at)) {
            return true;
        }
        Demand room = machine.type.capacity().minus(demand);
        for (Placement placement : machine.placements().values()) {
            if (!placement.job.spec.isHolder() && estimates.end(placement, now).isAfter(hold.at)) {
                room = room.minus(placement.demand());
            }
        }
        return top.spec.demand().timesIn(room) >= hold.tasks;
    }
}
