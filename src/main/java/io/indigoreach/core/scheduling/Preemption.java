package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Stops tasks that make room for more urgent work, and for teams that wait for their guarantee. */
final class Preemption {
    /** A task that has run for less is not stopped for a more urgent one: its start would have been for nothing. */
    static final Span MINIMUM_RUN = Span.seconds(32);

    /** A task that has run for no longer loses little when it is stopped without saving. */
    private static final Span MAXIMUM_LOST_RUN = Span.seconds(6);

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final DispatchRules rules;
    private final PlaceShortages shortages;
    private final GuaranteeEnforcement guarantees;

    Preemption(Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates, DispatchRules rules) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.rules = rules;
        this.shortages = new PlaceShortages(cluster, objectives, estimates, rules.placement());
        this.guarantees = new GuaranteeEnforcement(cluster, rules, shortages);
    }

    /**
     * Stops for the machine that make room for the top job where it is more urgent than what runs there, when the top
     * job would otherwise wait for longer than that takes. Stopped are tasks that keep their progress and, where an
     * objective on the top job's starts is about to be missed, tasks that have only just begun.
     */
    List<WorkerCommand> preempt(Machine machine, Moment now) {
        List<WorkerCommand> commands = guarantees.preemptBorrowedWork(machine, now);
        if (!commands.isEmpty()) {
            return commands;
        }
        FairShareQueue queue = cluster.queueOf(machine);
        if (queue != null && machine.isUsable()) {
            Optional<Job> top = rules.reservations().topJob(queue, now);
            if (top.isPresent() && mayPreemptOn(machine, top.get(), now)) {
                preemptFor(queue, top.get(), machine, now, commands);
            }
        }
        return commands;
    }

    private boolean mayPreemptOn(Machine machine, Job top, Moment now) {
        return mayPreempt(top, machine.type)
                && machine.allows(top.spec)
                && FaultTracker.isAllowed(top, machine, now)
                && rules.placement().isPlaceable(top, machine)
                && !rules.placement().awaitsImageLocality(top, machine, now);
    }

    /** Urgent jobs, and those whose objective is too near to scale out for them. */
    private boolean mayPreempt(Job top, MachineType type) {
        return top.urgency().isMoreUrgentThan(Urgency.STANDARD) || rules.order().isObjectiveTooNearToRent(top, type);
    }

    private void preemptFor(FairShareQueue queue, Job top, Machine machine, Moment now, List<WorkerCommand> commands) {
        List<Placement> victims = machine.placementsCopy();
        victims.removeIf(placement -> !isPreemptible(placement, top, now));
        if (victims.isEmpty()) {
            return;
        }
        int missing = shortages.missingPlaces(queue, top, now);
        victims.sort(Comparator.comparing((Placement placement) -> placement.job.urgency())
                .reversed());
        Demand room = machine.freeResources();
        for (Placement placement : victims) {
            int placesBefore = top.spec.demand().timesIn(room);
            room = room.plus(placement.demand());
            if (missing <= 0) {
                break;
            }
            commands.add(CommandBatch.stopWithCheckpoint(placement));
            missing -= top.spec.demand().timesIn(room) - placesBefore;
        }
        shortages.setMissingPlaces(top, missing);
    }

    private boolean isPreemptible(Placement placement, Job top, Moment now) {
        if (placement.state != TaskState.RUNNING
                || placement.stopping
                || placement.job.underServed
                || !top.urgency().isMoreUrgentThan(placement.job.urgency())) {
            return false;
        }
        return placement.job.spec.savesProgress() ? hasRunLongEnough(placement, now) : losesLittle(placement, top, now);
    }

    /** A task that keeps its progress is stopped if it has not just begun, and does not end as soon by itself. */
    private boolean hasRunLongEnough(Placement placement, Moment now) {
        Span grace = placement.job.spec.checkpointTime().times(2);
        return now.since(placement.stateSince).compareTo(MINIMUM_RUN) >= 0
                && estimates.end(placement, now).since(now).compareTo(grace) > 0;
    }

    /** One that loses its progress is stopped only if it has just begun and the top job's objective is about to be missed. */
    private boolean losesLittle(Placement placement, Job top, Moment now) {
        return shortages.timeToStart(top, now).ms() > 0
                && now.since(placement.stateSince).compareTo(MAXIMUM_LOST_RUN) <= 0
                && objectives.latestStartForWait(placement.job) == null
                && !placement.job.spec.isService();
    }
}
