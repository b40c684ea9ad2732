package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.HeartbeatNumber;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Starts tasks on a machine that has just sent a heartbeat: those of the top job of its queue first, others backfilled
 * where they do not delay it.
 */
final class Dispatcher {
    /** A job that has waited for so long takes room that it would otherwise be kept from. */
    private static final Span OVERDUE = Span.seconds(60);

    /** Less than this is rounding: the machine has no free cores. */
    private static final double NO_CORES = 1e-6;

    private final Cluster cluster;
    private final Estimates estimates;
    private final DispatchRules rules;
    private final PreemptionPolicy preemption;
    private final TaskStarter starter;
    private final HolderPlacement holders;

    Dispatcher(
            Cluster cluster,
            ServiceLevelObjectives objectives,
            Estimates estimates,
            Failover failover,
            FencingToken token,
            Span minimumPaidTime) {
        this.cluster = cluster;
        this.estimates = estimates;
        this.rules = DispatchRules.of(cluster, objectives, estimates, failover, minimumPaidTime);
        this.preemption = new PreemptionPolicy(cluster, objectives, estimates, rules);
        this.starter = new TaskStarter(cluster, token);
        this.holders = new HolderPlacement(cluster, rules.placement(), starter);
    }

    /** The rules by which tasks are started. */
    DispatchRules rules() {
        return rules;
    }

    /** Commands for the machine that make room on it for more urgent work, or for teams that wait for their guarantee. */
    List<WorkerCommand> preempt(Machine machine, Moment now) {
        return preemption.preempt(machine, now);
    }

    /** Starts tasks on the machine; returns the commands for the response to its heartbeat {@code number}. */
    List<WorkerCommand> startTasks(Machine machine, HeartbeatNumber number, Moment now) {
        CommandBatch batch = new CommandBatch(machine, number, now);
        if (!machine.isUsable()) {
            return batch.commands();
        }
        if (takesOverdueJobsOnly(machine, now)) {
            startOverdue(batch);
            return batch.commands();
        }
        for (FairShareQueue queue : queuesFor(machine)) {
            int commandsBefore = batch.commands().size();
            startFromQueue(queue, batch);
            if (batch.commands().size() > commandsBefore) {
                machine.serve(queue);
            }
            // Not after the first queue: one that is below its guarantee and has nothing to start kept the machine's
            // own
            // queue from the rest of every machine.
            if (isAtWorkOutsidePools(machine) && queue.name.equals(machine.queueName)) {
                break;
            }
        }
        if (isAtWorkOutsidePools(machine)) {
            startOverdue(batch);
        }
        holders.reconcile(batch);
        return batch.commands();
    }

    private boolean takesOverdueJobsOnly(Machine machine, Moment now) {
        return machine.surplus || rules.cordons().isCordoned(machine, now);
    }

    private static boolean isAtWorkOutsidePools(Machine machine) {
        return !machine.isIdle() && machine.poolMembership == null;
    }

    private static boolean isFull(Machine machine) {
        return machine.free().cores() <= NO_CORES;
    }

    /** The machine's own queue; an idle machine may pass to the queue that is furthest below its guarantee. */
    private List<FairShareQueue> queuesFor(Machine machine) {
        List<FairShareQueue> queues = new ArrayList<>(cluster.queues());
        queues.sort(Comparator.<FairShareQueue>comparingInt(queue -> queue.isBelowGuarantee(Demand.NOTHING) ? 0 : 1)
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
        List<Job> jobs = rules.order().jobs(queue, now);
        if (rules.reservations().isReservedForAged(machine, queue, jobs, now)) {
            startAged(queue, batch);
        }
        Job top = null;
        for (Job job : jobs) {
            if (isFull(machine) || rules.placement().keepsRoomForReplica(job, machine)) {
                return;
            }
            if (!job.hasStartable() || !rules.placement().mayStart(job, now) || job.isStarvationRelieved()) {
                continue;
            }
            start(queue, job, reservationOf(queue, top, now), batch);
            if (top == null && holdsReservation(queue, job, now)) {
                top = job;
            }
        }
    }

    /** Starts jobs without an objective that have waited long, on a machine reserved for them. */
    private void startAged(FairShareQueue queue, CommandBatch batch) {
        for (Job job : rules.reservations().agedJobs(queue)) {
            if (job.hasStartable()
                    && rules.placement().mayStart(job, batch.now())
                    && batch.machine().free().cores() > NO_CORES) {
                startBeforeAll(queue, job, batch);
            }
        }
    }

    private Optional<Reservation> reservationOf(FairShareQueue queue, Job top, Moment now) {
        return top == null ? Optional.empty() : Optional.of(rules.reservations().of(queue, top, now));
    }

    /** A job that is kept waiting for jobs with an objective must not keep places from them. */
    private boolean holdsReservation(FairShareQueue queue, Job job, Moment now) {
        ObjectiveBudget budget = rules.objectiveBudget();
        return job.hasStartable()
                && !job.isStarvationRelieved()
                && (!budget.isUnboundedFiller(job) || budget.leavesRoomForObjectives(queue, job, now));
    }

    /**
     * Starts jobs that have waited for long wherever the machine has room, of whichever queue, and also where only its
     * price or the room elsewhere speaks against it: nothing is to wait beside free room. The top job of the machine's
     * own queue is not delayed.
     */
    private void startOverdue(CommandBatch batch) {
        Machine machine = batch.machine();
        Moment now = batch.now();
        boolean ownQueueTried = !takesOverdueJobsOnly(machine, now);
        FairShareQueue ownQueue = cluster.queueOf(machine);
        Job top = ownQueue == null
                ? null
                : rules.reservations().topJob(ownQueue, now).orElse(null);
        for (FairShareQueue queue : queuesFor(machine)) {
            if (queue == ownQueue && ownQueueTried) {
                continue;
            }
            for (Job job : rules.order().jobs(queue, now)) {
                if (isFull(machine) || rules.placement().keepsRoomForReplica(job, machine)) {
                    return;
                }
                if (isOverdue(job, now)
                        && job.hasStartable()
                        && rules.placement().mayStart(job, now)) {
                    boolean wasIdle = machine.isIdle();
                    start(queue, job, reservationOf(ownQueue, top == job ? null : top, now), batch);
                    if (wasIdle && !machine.isIdle()) {
                        machine.serve(queue);
                    }
                }
            }
        }
    }

    /** Not the rest of a job whose tasks start or end, nor a job that was just stopped to empty the machine. */
    private static boolean isOverdue(Job job, Moment now) {
        return !job.isStarvationRelieved()
                && now.since(job.eligibleSince).compareTo(OVERDUE) >= 0
                && !now.isBefore(job.placementsChangedAt.plus(OVERDUE));
    }

    private void startBeforeAll(FairShareQueue queue, Job job, CommandBatch batch) {
        start(queue, job, Optional.empty(), batch, true);
    }

    private void start(FairShareQueue queue, Job job, Optional<Reservation> reservation, CommandBatch batch) {
        start(queue, job, reservation, batch, false);
    }

    /** Starts as many of the job's tasks as the machine, the reservation and the budget for fillers allow. */
    private void start(
            FairShareQueue queue,
            Job job,
            Optional<Reservation> reservation,
            CommandBatch batch,
            boolean exemptFromBudget) {
        Machine machine = batch.machine();
        Moment now = batch.now();
        Demand demand = job.spec.demand();
        boolean mayContinue = rules.placement().isSuitable(job, machine, now);
        Span runTime = estimates.onMachine(job, machine);
        boolean filler =
                mayContinue && !exemptFromBudget && rules.objectiveBudget().isUnboundedFiller(job);
        while (mayContinue
                && hasRoomFor(job, machine)
                && (!filler || rules.objectiveBudget().leavesRoomForObjectives(queue, job, now))
                && (reservation.isEmpty() || reservation.get().allows(machine, demand, runTime, estimates, now))) {
            if (!job.isWithinStartBound()) {
                // Further down the queue than the start bounds were raised: it may start here at the next heartbeat.
                job.requestStartBoundFor(demand.timesIn(machine.free()));
                return;
            }
            if (!demand.fitsIn(machine.free())) {
                batch.stop(machine.holder());
            }
            starter.start(job, batch);
            if (filler) {
                rules.objectiveBudget().fillerStarted(queue, demand);
            }
            job.taskStarted();
            mayContinue = !job.isSuspectedFaulty() && !job.starved;
        }
    }

    private boolean hasRoomFor(Job job, Machine machine) {
        return job.hasStartable()
                && job.spec.demand().fitsIn(machine.freeFor(job.spec))
                && rules.placement().isPlaceable(job, machine);
    }
}
