package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Starts tasks on a machine that has just sent a heartbeat. Jobs start in queue order; jobs behind the top job are
 * backfilled where they do not delay it.
 */
final class Dispatcher {
    /** A job that has waited this long may use free capacity that is otherwise kept from it. */
    private static final Span OVERDUE_AFTER = Span.seconds(60);

    /** Free cores up to this value are rounding errors and count as none. */
    private static final double CORES_EPSILON = 1e-6;

    private final Cluster cluster;
    private final Estimates estimates;
    private final DispatchRules rules;
    private final PreemptionPolicy preemption;
    private final TaskStarter starter;
    private final HolderPlacement holderPlacement;

    Dispatcher(
            Cluster cluster,
            ServiceLevelObjectives objectives,
            Estimates estimates,
            FailoverTracker failover,
            FencingToken token,
            Span minimumPaidTime) {
        this.cluster = cluster;
        this.estimates = estimates;
        this.rules = DispatchRules.of(cluster, objectives, estimates, failover, minimumPaidTime);
        this.preemption = new PreemptionPolicy(cluster, objectives, estimates, rules);
        this.starter = new TaskStarter(cluster, token);
        this.holderPlacement = new HolderPlacement(cluster, rules.placement(), starter);
    }

    /** The rules by which tasks are started. */
    DispatchRules rules() {
        return rules;
    }

    /**
     * Returns the commands that free capacity on the machine for more urgent jobs or for teams below their guarantee.
     */
    List<WorkerCommand> preempt(Machine machine, Moment now) {
        return preemption.preempt(machine, now);
    }

    /** Starts tasks on the machine; returns the commands for the response to its heartbeat {@code number}. */
    List<WorkerCommand> startTasks(Machine machine, HeartbeatNumber heartbeatNumber, Moment now) {
        CommandBatch batch = new CommandBatch(machine, heartbeatNumber, now);
        if (!machine.isUsable()) {
            return batch.commands();
        }
        if (takesOverdueJobsOnly(machine, now)) {
            startOverdueJobs(batch);
            return batch.commands();
        }
        for (FairShareQueue queue : queuesFor(machine)) {
            int commandsBefore = batch.commands().size();
            startFromQueue(queue, batch);
            if (batch.commands().size() > commandsBefore) {
                machine.assignTo(queue);
            }
            // The loop does not end after the first queue: a queue below its guarantee with nothing to start would keep
            // the machine's own queue from the rest of the machine.
            if (isBusyOutsidePools(machine) && queue.name.equals(machine.queueName)) {
                break;
            }
        }
        if (isBusyOutsidePools(machine)) {
            startOverdueJobs(batch);
        }
        holderPlacement.reconcile(batch);
        return batch.commands();
    }

    private boolean takesOverdueJobsOnly(Machine machine, Moment now) {
        return machine.surplus || rules.cordons().isCordoned(machine, now);
    }

    private static boolean isBusyOutsidePools(Machine machine) {
        return !machine.isIdle() && machine.poolMembership == null;
    }

    private static boolean isFull(Machine machine) {
        return machine.freeResources().cores() <= CORES_EPSILON;
    }

    /**
     * All queues: those below their guarantee first, then the one that the machine serves, then by use beyond the
     * guarantee.
     */
    private List<FairShareQueue> queuesFor(Machine machine) {
        List<FairShareQueue> queues = new ArrayList<>(cluster.queues());
        queues.sort(Comparator.<FairShareQueue>comparingInt(queue -> queue.isBelowGuarantee(Resources.NONE) ? 0 : 1)
                .thenComparingInt(queue -> queue.name.equals(machine.queueName) ? 0 : 1)
                .thenComparingDouble(FairShareQueue::coresBeyondGuarantee));
        return queues;
    }

    private void startFromQueue(FairShareQueue queue, CommandBatch batch) {
        Machine machine = batch.machine();
        Moment now = batch.now();
        if (isFull(machine)) {
            return;
        }
        List<Job> jobs = rules.order().sortedJobs(queue, now);
        if (rules.reservations().isReservedForAged(machine, queue, jobs, now)) {
            startAgedJobs(queue, batch);
        }
        Job topJob = null;
        for (Job job : jobs) {
            if (isFull(machine) || rules.placement().keepsCapacityForReplica(job, machine)) {
                return;
            }
            if (!job.hasStartable() || !rules.placement().mayStart(job, now) || job.isStarvationRelieved()) {
                continue;
            }
            start(queue, job, reservationOf(queue, topJob, now), batch);
            if (topJob == null && holdsReservation(queue, job, now)) {
                topJob = job;
            }
        }
    }

    /** Starts aged jobs without an objective on a machine that is reserved for them. */
    private void startAgedJobs(FairShareQueue queue, CommandBatch batch) {
        for (Job job : rules.reservations().agedJobs(queue)) {
            if (job.hasStartable()
                    && rules.placement().mayStart(job, batch.now())
                    && batch.machine().freeResources().cores() > CORES_EPSILON) {
                startTasksExemptFromBudget(queue, job, batch);
            }
        }
    }

    private Optional<Reservation> reservationOf(FairShareQueue queue, Job topJob, Moment now) {
        return topJob == null
                ? Optional.empty()
                : Optional.of(rules.reservations().reservationOf(queue, topJob, now));
    }

    /**
     * Excludes a job that could not start with more room on machines, and one that is held back in favour of jobs with
     * an objective: its reservation would block others although it cannot start.
     */
    private boolean holdsReservation(FairShareQueue queue, Job job, Moment now) {
        ObjectiveBudget budget = rules.objectiveBudget();
        return rules.reservations().mayHoldReservation(job, now)
                && (!budget.isUnboundedFiller(job) || budget.leavesCoresForObjectives(queue, job, now));
    }

    /**
     * Starts overdue jobs of any queue where the machine has free capacity, also on a surplus or cordoned machine, so
     * that no job waits for long beside free capacity. The top job of the machine's own queue is not delayed.
     */
    private void startOverdueJobs(CommandBatch batch) {
        Machine machine = batch.machine();
        Moment now = batch.now();
        boolean machineQueueTried = !takesOverdueJobsOnly(machine, now);
        FairShareQueue machineQueue = cluster.queueOf(machine);
        Job topJob = machineQueue == null ? null : topJobOn(machine, machineQueue, now);
        for (FairShareQueue queue : queuesFor(machine)) {
            if (queue == machineQueue && machineQueueTried) {
                continue;
            }
            for (Job job : rules.order().sortedJobs(queue, now)) {
                if (isFull(machine) || rules.placement().keepsCapacityForReplica(job, machine)) {
                    return;
                }
                if (isOverdue(job, now)
                        && job.hasStartable()
                        && rules.placement().mayStart(job, now)) {
                    boolean wasIdle = machine.isIdle();
                    start(queue, job, reservationOf(machineQueue, topJob == job ? null : topJob, now), batch);
                    if (wasIdle && !machine.isIdle()) {
                        machine.assignTo(queue);
                    }
                }
            }
        }
    }

    /** The first job of the machine's queue that may start on the machine and holds a reservation; null if none. */
    private Job topJobOn(Machine machine, FairShareQueue machineQueue, Moment now) {
        boolean overdueOnly = takesOverdueJobsOnly(machine, now);
        return rules.order().sortedJobs(machineQueue, now).stream()
                .filter(job -> (!overdueOnly || isOverdue(job, now)) && holdsReservation(machineQueue, job, now))
                .findFirst()
                .orElse(null);
    }

    /** Excludes jobs whose placements changed recently: their tasks are starting or ending, or were just preempted. */
    private static boolean isOverdue(Job job, Moment now) {
        return !job.isStarvationRelieved()
                && now.since(job.eligibleSince).compareTo(OVERDUE_AFTER) >= 0
                && !now.isBefore(job.placementsChangedAt.plus(OVERDUE_AFTER));
    }

    private void startTasksExemptFromBudget(FairShareQueue queue, Job job, CommandBatch batch) {
        start(queue, job, Optional.empty(), batch, true);
    }

    private void start(FairShareQueue queue, Job job, Optional<Reservation> reservation, CommandBatch batch) {
        start(queue, job, reservation, batch, false);
    }

    /** Starts as many of the job's tasks as the machine, the reservation and the budget for unbounded fillers allow. */
    private void start(
            FairShareQueue queue,
            Job job,
            Optional<Reservation> reservation,
            CommandBatch batch,
            boolean exemptFromBudget) {
        Machine machine = batch.machine();
        Moment now = batch.now();
        Resources demand = job.spec.demand();
        boolean mayContinue = rules.placement().isSuitable(job, machine, now);
        Span runTime = estimates.timeOnMachine(job, machine);
        boolean isFiller =
                mayContinue && !exemptFromBudget && rules.objectiveBudget().isUnboundedFiller(job);
        while (mayContinue
                && hasRoomFor(job, machine)
                && (!isFiller || rules.objectiveBudget().leavesCoresForObjectives(queue, job, now))
                && (reservation.isEmpty() || reservation.get().allows(machine, demand, runTime, estimates, now))) {
            if (!job.isWithinStartBound()) {
                // StartBounds raises bounds for the head of the queue only. The job may start here at the next
                // heartbeat.
                job.requestStartBoundFor(demand.countFittingIn(machine.freeResources()));
                return;
            }
            if (!demand.fitsIn(machine.freeResources())) {
                batch.addStop(machine.holder());
            }
            starter.start(job, batch);
            if (isFiller) {
                rules.objectiveBudget().fillerStarted(queue, demand);
            }
            job.taskStarted();
            mayContinue = !job.isSuspectedFaulty() && !job.starved;
        }
    }

    private boolean hasRoomFor(Job job, Machine machine) {
        return job.hasStartable()
                && job.spec.demand().fitsIn(machine.freeResourcesFor(job.spec))
                && rules.placement().isPlaceable(job, machine);
    }
}
