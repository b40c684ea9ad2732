package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.model.WorkerCommand;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Stops tasks that make room for more urgent work, and for teams that wait for their guarantee. */
final class PreemptionPolicy {
    /** A task that has run for less is not stopped for a more urgent one: its start would have been for nothing. */
    static final Span MINIMUM_RUN = Span.seconds(32);

    /** A task that has run for no longer loses little when it is stopped without saving. */
    private static final Span MAXIMUM_LOST_RUN = Span.seconds(6);

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final DispatchRules rules;
    private final PlaceShortageTracker placeShortages;
    private final GuaranteeEnforcement guarantees;

    PreemptionPolicy(Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates, DispatchRules rules) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.rules = rules;
        this.placeShortages = new PlaceShortageTracker(cluster, objectives, estimates, rules.placement());
        this.guarantees = new GuaranteeEnforcement(cluster, rules, placeShortages);
    }

    /**
     * Stops for the machine that make room for the top job where it is more urgent than what runs there, when the top
     * job would otherwise wait for longer than that takes. Stopped are tasks that keep their progress and, where an
     * objective on the top job's starts is about to be missed, tasks that have only just begun.
     */
    List<WorkerCommand> preempt(Machine machine, Moment now) {
        List<WorkerCommand> commands = guarantees.preemptBorrowedTasks(machine, now);
        if (!commands.isEmpty()) {
            return commands;
        }
        FairShareQueue queue = cluster.queueOf(machine);
        if (queue != null && machine.isUsable()) {
            Optional<Job> topJob = rules.reservations().topJob(queue, now);
            if (topJob.isPresent() && mayPreemptOn(machine, topJob.get(), now)) {
                preemptFor(queue, topJob.get(), machine, now, commands);
            }
        }
        return commands;
    }

    private boolean mayPreemptOn(Machine machine, Job topJob, Moment now) {
        return mayPreempt(topJob, machine.type)
                && machine.allows(topJob.spec)
                && FaultTracker.isAllowed(topJob, machine, now)
                && rules.placement().isPlaceable(topJob, machine)
                && !rules.placement().awaitsImageLocality(topJob, machine, now);
    }

    /** Urgent jobs, and those whose objective is too near to scale out for them. */
    private boolean mayPreempt(Job topJob, MachineType type) {
        return topJob.urgency().isMoreUrgentThan(Urgency.STANDARD)
                || rules.order().isObjectiveTooNearToRent(topJob, type);
    }

    private void preemptFor(
            FairShareQueue queue, Job topJob, Machine machine, Moment now, List<WorkerCommand> commands) {
        List<Placement> victims = machine.placementsCopy();
        victims.removeIf(placement -> !isPreemptible(placement, topJob, now));
        if (victims.isEmpty()) {
            return;
        }
        int missingPlaces = placeShortages.missingPlaces(queue, topJob, now);
        victims.sort(Comparator.comparing((Placement placement) -> placement.job.urgency())
                .reversed());
        Resources free = machine.freeResources();
        for (Placement placement : victims) {
            int placesBefore = topJob.spec.demand().countFittingIn(free);
            free = free.plus(placement.demand());
            if (missingPlaces <= 0) {
                break;
            }
            commands.add(CommandBatch.stopWithCheckpoint(placement));
            missingPlaces -= topJob.spec.demand().countFittingIn(free) - placesBefore;
        }
        placeShortages.setMissingPlaces(topJob, missingPlaces);
    }

    private boolean isPreemptible(Placement placement, Job topJob, Moment now) {
        if (placement.state != TaskState.RUNNING
                || placement.stopping
                || placement.job.underServed
                || !topJob.urgency().isMoreUrgentThan(placement.job.urgency())) {
            return false;
        }
        return placement.job.spec.savesCheckpoints()
                ? hasRunLongEnough(placement, now)
                : losesLittleProgress(placement, topJob, now);
    }

    /** A task that keeps its progress is stopped if it has not just begun, and does not end as soon by itself. */
    private boolean hasRunLongEnough(Placement placement, Moment now) {
        Span minimumRemaining = placement.job.spec.checkpointDuration().times(2);
        return now.since(placement.stateSince).compareTo(MINIMUM_RUN) >= 0
                && estimates.expectedEnd(placement, now).since(now).compareTo(minimumRemaining) > 0;
    }

    /** One that loses its progress is stopped only if it has just begun and the top job's objective is about to be missed. */
    private boolean losesLittleProgress(Placement placement, Job topJob, Moment now) {
        return placeShortages.timeToObjective(topJob, now).ms() > 0
                && now.since(placement.stateSince).compareTo(MAXIMUM_LOST_RUN) <= 0
                && objectives.latestStartForStartObjective(placement.job) == null
                && !placement.job.spec.isService();
    }
}
