package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.List;

/** Reclaims machines from teams beyond their guarantee for teams that wait for theirs. */
final class GuaranteeEnforcement {
    private final Cluster cluster;
    private final DispatchRules rules;
    private final PlaceShortageTracker shortages;

    GuaranteeEnforcement(Cluster cluster, DispatchRules rules, PlaceShortageTracker shortages) {
        this.cluster = cluster;
        this.rules = rules;
        this.shortages = shortages;
    }

    /** Stops tasks of teams beyond their guarantee on the machine, if another team waits for its guarantee. */
    List<WorkerCommand> preemptBorrowedTasks(Machine machine, Moment now) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (FairShareQueue queue : cluster.queues()) {
            if (queue.guaranteedTeamUsage == null) {
                continue;
            }
            Job topJob = rules.reservations().topJob(queue, now).orElse(null);
            if (topJob == null) {
                continue;
            }
            yieldPoolMachine(queue, topJob, machine, now);
            if (!mayClaim(queue, topJob, machine, now) || shortages.hasEnoughPlacesSoon(queue, topJob, now)) {
                continue;
            }
            if (freeCapacityFor(queue, topJob, machine, commands)) {
                shortages.recordGuaranteedPlace(queue, topJob);
                return commands;
            }
        }
        return commands;
    }

    private boolean mayClaim(FairShareQueue queue, Job topJob, Machine machine, Moment now) {
        return machine.isUsable()
                && queue.isBelowGuarantee(topJob.spec.demand())
                && machine.allows(topJob.spec)
                && FaultTracker.isAllowed(topJob, machine, now)
                && rules.placement().isPlaceable(topJob, machine);
    }

    /** Stops borrowed tasks until the top job fits; returns whether it fits. */
    private boolean freeCapacityFor(FairShareQueue queue, Job topJob, Machine machine, List<WorkerCommand> commands) {
        Resources freeCapacity = machine.freeResources();
        for (Placement placement : machine.placementsCopy()) {
            FairShareQueue borrower = cluster.queueOf(placement.job);
            if (!topJob.spec.demand().fitsIn(freeCapacity)
                    && borrower != queue
                    && !placement.stopping
                    && placement.state == TaskState.RUNNING
                    && !borrower.isBelowGuarantee(Resources.NONE)) {
                freeCapacity = freeCapacity.plus(placement.demand());
                commands.add(CommandBatch.stopWithCheckpoint(placement));
            }
        }
        return topJob.spec.demand().fitsIn(freeCapacity);
    }

    /**
     * Gives an idle warm-pool machine to a team that waits for its guarantee, if the team that pays for the pool uses
     * more than it is guaranteed. The idle machine is thus treated like a running task beyond the guarantee, which
     * would be preempted.
     */
    private void yieldPoolMachine(FairShareQueue queue, Job topJob, Machine machine, Moment now) {
        Job holder = machine.poolMembership == null ? null : machine.poolMembership.holder();
        if (holder != null
                && machine.isIdle()
                && machine.isUsable()
                && isPaidBeyondGuarantee(holder, queue)
                && queue.isBelowGuarantee(topJob.spec.demand())
                && machine.matchesPool(topJob.spec)
                && !machine.allows(topJob.spec)
                && rules.placement().isPlaceable(topJob, machine)
                && topJob.spec.demand().fitsIn(machine.type.capacity())
                && !shortages.hasEnoughPlacesSoon(queue, topJob, now)) {
            cluster.warmCapacity.releaseForGuarantee(machine, now);
            shortages.recordGuaranteedPlace(queue, topJob);
        }
    }

    private boolean isPaidBeyondGuarantee(Job holder, FairShareQueue claimant) {
        FairShareQueue payer = cluster.queueOf(holder);
        return payer != claimant && !payer.isBelowGuarantee(Resources.NONE);
    }
}
