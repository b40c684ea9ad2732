package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;

/** Reclaims machines from teams beyond their guarantee for teams that wait for theirs. */
final class GuaranteeEnforcement {
    private final Cluster cluster;
    private final DispatchRules rules;
    private final PlaceShortages shortages;

    GuaranteeEnforcement(Cluster cluster, DispatchRules rules, PlaceShortages shortages) {
        this.cluster = cluster;
        this.rules = rules;
        this.shortages = shortages;
    }

    /** Stops tasks of teams beyond their guarantee on the machine, if another team waits for its guarantee. */
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
            if (!mayClaim(queue, top, machine, now) || shortages.hasEnoughComingPlaces(queue, top, now)) {
                continue;
            }
            if (makeRoom(queue, top, machine, commands)) {
                shortages.guaranteedPlaceComes(queue, top);
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

    /** Stops borrowed tasks until the top job fits; returns whether it fits. */
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
     * Gives an idle warm-pool machine to a team that waits for its guarantee, if the team that pays for the pool is
     * beyond its own guarantee. Tasks beyond that guarantee would be stopped in the same way.
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
                && !shortages.hasEnoughComingPlaces(queue, top, now)) {
            cluster.warmCapacity.yield(machine, now);
            shortages.guaranteedPlaceComes(queue, top);
        }
    }

    private boolean isPaidBeyondGuarantee(Job holder, FairShareQueue claimant) {
        FairShareQueue payer = cluster.queueOf(holder);
        return payer != claimant && !payer.isBelowGuarantee(Demand.NOTHING);
    }
}
