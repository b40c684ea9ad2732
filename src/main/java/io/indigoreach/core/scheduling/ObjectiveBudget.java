package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import java.util.HashMap;
import java.util.Map;

/** Limits long tasks without an objective to the cores that the jobs with an objective leave free. */
final class ObjectiveBudget {
    /** How long a counted budget is kept. */
    private static final Span BUDGET_LIFE = Span.seconds(1);

    private record CoreBudget(double cores, Moment counted) {}

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final Span minimumPaidTime;
    /** Cores that the unbounded fillers of each queue may still take, counted once per {@link #BUDGET_LIFE}. */
    private final Map<FairShareQueue, CoreBudget> budgets = new HashMap<>();

    ObjectiveBudget(Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates, Span minimumPaidTime) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.minimumPaidTime = minimumPaidTime;
    }

    /**
     * Whether the job's tasks are long, have no objective, and can be preempted by nothing of their own urgency: once
     * on every machine they keep all jobs with an objective waiting until they end.
     */
    boolean isUnboundedFiller(Job job) {
        return objectives.hasNoObjective(job)
                && !job.underServed
                && !job.starved
                && !job.spec.isService()
                && !job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                && estimates.run(job).compareTo(minimumPaidTime) >= 0;
    }

    /**
     * Whether one more task of the job leaves enough beside all fillers for the jobs with an objective: those that are
     * present, and those expected by their arrival rate.
     */
    boolean leavesRoomForObjectives(FairShareQueue queue, Job job, Moment now) {
        CoreBudget budget = budgets.get(queue);
        if (budget == null || !now.isBefore(budget.counted.plus(BUDGET_LIFE))) {
            budget = count(queue, now);
            budgets.put(queue, budget);
        }
        return budget.cores >= job.spec.demand().cores();
    }

    /** A task of an unbounded filler was started: its cores are taken off the budget. */
    void fillerStarted(FairShareQueue queue, Demand demand) {
        budgets.computeIfPresent(queue, (key, budget) -> new CoreBudget(budget.cores - demand.cores(), budget.counted));
    }

    private CoreBudget count(FairShareQueue queue, Moment now) {
        double cores = 0;
        for (Machine machine : cluster.machinesServing(queue)) {
            cores += machine.isUsable() ? machine.type.capacity().cores() : 0;
        }
        double present = 0;
        for (Job job : queue.jobs()) {
            double coresPerTask = job.spec.demand().cores();
            if (isUnboundedFiller(job)) {
                cores -= job.placements().size() * coresPerTask;
            } else if (!objectives.hasNoObjective(job)) {
                present += (job.placements().size() + (job.missedObjectives ? 0 : job.startableCount())) * coresPerTask;
            }
        }
        double keptFree = Math.max(present, arrivingCores(queue, now));
        return new CoreBudget(keptFree > 0 ? cores - keptFree : Double.MAX_VALUE, now);
    }

    /** Cores that the jobs with an objective use on average, by the rate at which they arrive. */
    private double arrivingCores(FairShareQueue queue, Moment now) {
        return queue.arrivalRate()
                .workPerSecond(
                        job -> !objectives.hasNoObjective(job),
                        job -> job.spec.tasks()
                                * estimates.run(job).seconds()
                                * job.spec.demand().cores(),
                        minimumPaidTime,
                        now);
    }
}
