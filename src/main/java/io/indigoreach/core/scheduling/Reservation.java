package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The reservation of a queue's top job: the machines on which its waiting tasks are expected to start, and when. Other
 * jobs are backfilled on those machines only if they do not delay the top job. Nothing is reserved for tasks that the
 * limit of their team or their zone constraints keep from starting.
 */
final class Reservation {
    /** From {@code from} on, the machine is reserved for {@code taskCount} tasks of the top job. */
    record ReservedSlots(Moment from, int taskCount) {}

    private final Job topJob;
    private final Map<MachineId, ReservedSlots> slotsByMachine;
    private final Moment lastStart;

    private Reservation(Job topJob, Map<MachineId, ReservedSlots> slotsByMachine, Moment lastStart) {
        this.topJob = topJob;
        this.slotsByMachine = slotsByMachine;
        this.lastStart = lastStart;
    }

    /** When the last waiting task of the top job is expected to start; null if no current machine can run it. */
    Moment lastStart() {
        return lastStart;
    }

    Job topJob() {
        return topJob;
    }

    ReservedSlots slotsOn(MachineId machine) {
        return slotsByMachine.get(machine);
    }

    /** From {@code from} on, {@code taskCount} more tasks of the top job fit on the machine. */
    private record FreeSlots(Machine machine, Moment from, int taskCount) {}

    /** Reserves the earliest available slots for the waiting tasks of the top job that may start by its team's limit. */
    static Reservation of(
            Job topJob, Iterable<Machine> machines, PlacementRules rules, Estimates estimates, Moment now) {
        List<FreeSlots> freeSlots = earliestFreeSlots(topJob, machines, estimates, now);
        Map<MachineId, ReservedSlots> slotsByMachine = new HashMap<>();
        Map<String, Integer> remainingByZone = new HashMap<>();
        int remaining = rules.countWithinTeamLimit(topJob);
        Moment lastStart = freeSlots.isEmpty() ? null : now;
        for (FreeSlots slots : freeSlots) {
            if (remaining <= 0) {
                break;
            }
            String zone = slots.machine.pool.zone();
            int remainingInZone =
                    remainingByZone.computeIfAbsent(zone, name -> PlacementRules.remainingInZone(topJob, name));
            int taskCount = Math.min(Math.min(remaining, remainingInZone), slots.taskCount);
            if (taskCount <= 0) {
                continue;
            }
            remaining -= taskCount;
            remainingByZone.put(zone, remainingInZone - taskCount);
            lastStart = slots.from;
            slotsByMachine.merge(
                    slots.machine.id,
                    new ReservedSlots(slots.from, taskCount),
                    (old, more) -> new ReservedSlots(old.from, old.taskCount + more.taskCount));
        }
        if (remaining > 0 && !freeSlots.isEmpty()) {
            // There are more tasks than slots: the remaining tasks start in further rounds.
            int perRound = freeSlots.stream().mapToInt(FreeSlots::taskCount).sum();
            int rounds = (remaining + perRound - 1) / perRound;
            lastStart = lastStart.plus(estimates.runTime(topJob).times(rounds));
        }
        return new Reservation(topJob, slotsByMachine, lastStart);
    }

    /** The slots for the top job on the machines that it may use, the earliest first. */
    private static List<FreeSlots> earliestFreeSlots(
            Job topJob, Iterable<Machine> machines, Estimates estimates, Moment now) {
        List<FreeSlots> freeSlots = new ArrayList<>();
        for (Machine machine : machines) {
            boolean booting = machine.phase == Machine.Phase.BOOTING;
            if ((booting || machine.isUsable())
                    && machine.allows(topJob.spec)
                    && PlacementRules.remainingInZone(topJob, machine.pool.zone()) > 0
                    && !FaultTracker.isExcluded(topJob, machine)) {
                addSlotsOfMachine(topJob, machine, estimates, now, freeSlots);
            }
        }
        freeSlots.sort(Comparator.comparing(FreeSlots::from));
        return freeSlots;
    }

    /** Adds the machine's slots for the top job: those free now, and those freed as running tasks end. */
    private static void addSlotsOfMachine(
            Job topJob, Machine machine, Estimates estimates, Moment now, List<FreeSlots> freeSlots) {
        Moment start = now;
        if (machine.phase == Machine.Phase.BOOTING) {
            Moment bootEnd = machine.rentedAt.plus(machine.type.bootTime());
            start = bootEnd.isAfter(now) ? bootEnd : now;
        }
        Resources free = machine.freeResourcesFor(topJob.spec);
        int reserved = addFreeSlots(topJob, machine, free, start, 0, freeSlots);
        List<Placement> running = machine.placementsCopy();
        running.removeIf(placement -> placement.job.spec.isService());
        Map<Placement, Moment> ends = new HashMap<>();
        for (Placement placement : running) {
            ends.put(placement, estimates.expectedEnd(placement, now));
        }
        running.sort(Comparator.comparing(ends::get));
        for (Placement placement : running) {
            free = free.plus(placement.demand());
            reserved += addFreeSlots(topJob, machine, free, ends.get(placement), reserved, freeSlots);
        }
    }

    /** Adds a slot for the tasks that fit beyond the {@code reserved} ones; returns their number. */
    private static int addFreeSlots(
            Job topJob, Machine machine, Resources free, Moment start, int reserved, List<FreeSlots> freeSlots) {
        int additional = topJob.spec.demand().countFittingIn(free) - reserved;
        if (additional <= 0) {
            return 0;
        }
        freeSlots.add(new FreeSlots(machine, start, additional));
        return additional;
    }

    /**
     * Whether a task that takes {@code demand} for {@code runTime} may start on the machine without delaying the top job.
     */
    boolean allows(Machine machine, Resources demand, Span runTime, Estimates estimates, Moment now) {
        ReservedSlots reserved = slotsByMachine.get(machine.id);
        if (reserved == null || !now.plus(runTime).isAfter(reserved.from)) {
            return true;
        }
        Resources free = machine.type.capacity().minus(demand);
        for (Placement placement : machine.placements().values()) {
            if (!placement.job.spec.isWarmPoolHolder()
                    && estimates.expectedEnd(placement, now).isAfter(reserved.from)) {
                free = free.minus(placement.demand());
            }
        }
        return topJob.spec.demand().countFittingIn(free) >= reserved.taskCount;
    }
}
