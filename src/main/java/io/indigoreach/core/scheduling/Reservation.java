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
 * The reservation that the top job of a queue holds: on which machines its waiting tasks are expected to start, and
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

    /** From {@code at} on, {@code tasks} more of the top job fit on the machine. */
    private record Place(Machine machine, Moment at, int tasks) {}

    /** Reserves the earliest places for the waiting tasks of {@code top}. */
    static Reservation of(Job top, Iterable<Machine> machines, Estimates estimates, Moment now) {
        List<Place> places = new ArrayList<>();
        for (Machine machine : machines) {
            boolean booting = machine.phase == Machine.Phase.BOOTING;
            if ((booting || machine.isUsable()) && machine.allows(top.spec) && !FaultTracker.isExcluded(top, machine)) {
                addPlaces(top, machine, estimates, now, places);
            }
        }
        places.sort(Comparator.comparing(Place::at));
        Map<MachineId, Hold> holds = new HashMap<>();
        int left = top.startableCount();
        Moment lastStart = places.isEmpty() ? null : now;
        for (Place place : places) {
            if (left <= 0) {
                break;
            }
            int tasks = Math.min(left, place.tasks);
            left -= tasks;
            lastStart = place.at;
            holds.merge(
                    place.machine.id,
                    new Hold(place.at, tasks),
                    (old, more) -> new Hold(old.at, old.tasks + more.tasks));
        }
        if (left > 0 && !places.isEmpty()) {
            // More tasks than places: the rest starts in further rounds.
            int perRound = places.stream().mapToInt(Place::tasks).sum();
            int rounds = (left + perRound - 1) / perRound;
            lastStart = lastStart.plus(estimates.run(top).times(rounds));
        }
        return new Reservation(top, holds, lastStart);
    }

    /** Adds the machine's places for the top job: those free now, and those that come free as its tasks end. */
    private static void addPlaces(Job top, Machine machine, Estimates estimates, Moment now, List<Place> places) {
        Moment start = now;
        if (machine.phase == Machine.Phase.BOOTING) {
            Moment up = machine.rentedAt.plus(machine.type.boot());
            start = up.isAfter(now) ? up : now;
        }
        Demand room = machine.freeResourcesFor(top.spec);
        int reserved = addPlace(top, machine, room, start, 0, places);
        List<Placement> running = machine.placementsCopy();
        running.removeIf(placement -> placement.job.spec.isService());
        Map<Placement, Moment> ends = new HashMap<>();
        for (Placement placement : running) {
            ends.put(placement, estimates.end(placement, now));
        }
        running.sort(Comparator.comparing(ends::get));
        for (Placement placement : running) {
            room = room.plus(placement.demand());
            reserved += addPlace(top, machine, room, ends.get(placement), reserved, places);
        }
    }

    /** Adds what fits beyond the tasks that have places there already; returns for how many tasks. */
    private static int addPlace(Job top, Machine machine, Demand room, Moment start, int reserved, List<Place> places) {
        int more = top.spec.demand().timesIn(room) - reserved;
        if (more <= 0) {
            return 0;
        }
        places.add(new Place(machine, start, more));
        return more;
    }

    /** Whether a task that takes {@code demand} for {@code time} may start on the machine without delaying the top job. */
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
