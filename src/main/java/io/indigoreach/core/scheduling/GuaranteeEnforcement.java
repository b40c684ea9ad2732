package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;

/** Takes machines from teams that use more than their guarantee where another team waits for its own. */
final class GuaranteeEnforcement {
    private final Cluster cluster;
    private final DispatchRules rules;
    private final PlaceShortageTracker shortages;

    GuaranteeEnforcement(Cluster cluster, DispatchRules rules, PlaceShortageTracker shortages) {
        this.cluster = cluster;
        this.rules = rules;
        this.shortages = shortages;
    }

    /** Stops work on the machine that its team runs beyond its guarantee, if another team waits for its own. */
    List<WorkerCommand> preemptBorrowedWork(Machine machine, Moment now) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (FairShareQueue queue : cluster.queues()) {
            if (queue.guaranteed == null) {
                continue;
            }
            Job top = rules.reservations().topJob(queue, now).orElse(null);
            if (top == null) {
                continue;
            }
            yieldPoolMachine(queue, top, machine, now);
            if (!mayClaim(queue, top, machine, now) || shortages.hasEnoughPlacesSoon(queue, top, now)) {
                continue;
            }
            if (makeRoom(queue, top, machine, commands)) {
                shortages.recordGuaranteedPlace(queue, top);
                return commands;
            }
        }
        return commands;
    }

    private boolean mayClaim(FairShareQueue queue, Job top, Machine machine, Moment now) {
        return machine.isUsable()
                && queue.isBelowGuarantee(top.spec.demand())
                && machine.allows(top.spec)
                && FaultAttribution.allows(top, machine, now)
                && rules.placement().isPlaceable(top, machine);
    }

    /** Stops borrowed work until the top job fits; returns whether it does. */
    private boolean makeRoom(FairShareQueue queue, Job top, Machine machine, List<WorkerCommand> commands) {
        Demand room = machine.free();
        for (Placement placement : machine.placementsCopy()) {
            FairShareQueue borrower = cluster.queueOf(placement.job);
            if (!top.spec.demand().fitsIn(room)
                    && borrower != queue
                    && !placement.stopping
                    && placement.state == TaskState.RUNNING
                    && !borrower.isBelowGuarantee(Demand.NOTHING)) {
                room = room.plus(placement.demand());
                commands.add(CommandBatch.stopWithCheckpoint(placement));
            }
        }
        return top.spec.demand().fitsIn(room);
    }

    /**
     * An idle machine of a warm pool goes to a team that waits for its guarantee, as work beyond the paying team's own
     * guarantee would be stopped.
     */
    private void yieldPoolMachine(FairShareQueue queue, Job top, Machine machine, Moment now) {
        Job holder = machine.poolMembership == null ? null : machine.poolMembership.holder();
        if (holder != null
                && machine.isIdle()
                && machine.isUsable()
                && isPaidBeyondGuarantee(holder, queue)
                && queue.isBelowGuarantee(top.spec.demand())
                && machine.matchesPool(top.spec)
                && !machine.allows(top.spec)
                && top.spec.demand().fitsIn(machine.type.capacity())
                && !shortages.hasEnoughPlacesSoon(queue, top, now)) {
            cluster.warmCapacity.releaseForGuarantee(machine, now);
            shortages.recordGuaranteedPlace(queue, top);
        }
    }

    private boolean isPaidBeyondGuarantee(Job holder, FairShareQueue claimant) {
        FairShareQueue payer = cluster.queueOf(holder);
        return payer != claimant && !payer.isBelowGuarantee(Demand.NOTHING);
    }
}
