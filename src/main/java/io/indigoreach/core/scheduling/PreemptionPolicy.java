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

/** Stops tasks to make room for more urgent jobs and for teams that have less than their guaranteed cores. */
final class PreemptionPolicy {
    /** A task that has run for less than this is not preempted, as the cost of its start would be wasted. */
    static final Span MINIMUM_RUN = Span.seconds(32);

    /** A task that does not save its progress may be preempted only if it has run for at most this long. */
    private static final Span MAXIMUM_LOST_RUN_TIME = Span.seconds(6);

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
     * Returns the commands that stop tasks on the machine to make room for a more urgent top job, if too few places
     * come free soon without them. Candidates are tasks that save their progress and, if the top job is about to miss
     * an objective on its start, tasks that have just begun.
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

    /**
     * Urgent jobs may preempt others. So may jobs whose objective would be missed before a newly rented machine is up.
     */
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

    /** A task that saves its progress is stopped unless it has just begun or ends soon by itself. */
    private boolean hasRunLongEnough(Placement placement, Moment now) {
        Span minimumRemaining = placement.job.spec.checkpointDuration().times(2);
        return now.since(placement.stateSince).compareTo(MINIMUM_RUN) >= 0
                && estimates.expectedEnd(placement, now).since(now).compareTo(minimumRemaining) > 0;
    }

    /**
     * A task that loses its progress is stopped only if it has just begun and the top job is about to miss its
     * objective.
     */
    private boolean losesLittleProgress(Placement placement, Job topJob, Moment now) {
        return placeShortages.timeToObjective(topJob, now).ms() > 0
                && now.since(placement.stateSince).compareTo(MAXIMUM_LOST_RUN_TIME) <= 0
                && objectives.latestStartForStartObjective(placement.job) == null
                && !placement.job.spec.isService();
    }
}
