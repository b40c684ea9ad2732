package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Team;
import io.indigoreach.core.model.Urgency;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/** Limits long tasks without an objective to the cores that jobs with an objective leave free. */
final class ObjectiveBudget {
    /** How long a computed budget is cached. */
    private static final Span BUDGET_CACHE_TIME = Span.seconds(1);

    private record CoreBudget(double cores, Moment computedAt) {}

    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final Estimates estimates;
    private final Span minimumPaidTime;
    /** The cores that unbounded fillers of each queue may still take, recomputed every {@link #BUDGET_CACHE_TIME}. */
    private final Map<FairShareQueue, CoreBudget> budgets = new HashMap<>();

    ObjectiveBudget(Cluster cluster, ServiceLevelObjectives objectives, Estimates estimates, Span minimumPaidTime) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.estimates = estimates;
        this.minimumPaidTime = minimumPaidTime;
    }

    /**
     * Whether the job's tasks are long, have no objective, and cannot be preempted by jobs of the same urgency. If
     * such tasks occupied every machine, no job with an objective could start until one of them ended.
     */
    boolean isUnboundedFiller(Job job) {
        return objectives.hasNoObjective(job)
                && !job.underServed
                && !job.starved
                && !job.spec.isService()
                && !job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                && estimates.runTime(job).compareTo(minimumPaidTime) >= 0;
    }

    /**
     * Whether one more task of the job leaves enough cores for the jobs with an objective: those in the queue, or those
     * expected by their arrival rate if that is more.
     */
    boolean leavesCoresForObjectives(FairShareQueue queue, Job job, Moment now) {
        CoreBudget budget = budgets.get(queue);
        if (budget == null || !now.isBefore(budget.computedAt.plus(BUDGET_CACHE_TIME))) {
            budget = computeBudget(queue, now);
            budgets.put(queue, budget);
        }
        return budget.cores >= job.spec.demand().cores();
    }

    /** Subtracts the cores of a started task of an unbounded filler from the budget. */
    void fillerStarted(FairShareQueue queue, Resources demand) {
        budgets.computeIfPresent(
                queue, (key, budget) -> new CoreBudget(budget.cores - demand.cores(), budget.computedAt));
    }

    private CoreBudget computeBudget(FairShareQueue queue, Moment now) {
        double availableCores = 0;
        for (Machine machine : cluster.machinesServing(queue)) {
            availableCores += machine.isUsable() ? machine.type.capacity().cores() : 0;
        }
        double presentCores = 0;
        TeamLimitCounter counter = TeamLimitCounter.ofTasksThatMayStartNow(cluster);
        for (Job job : queue.jobs()) {
            double coresPerTask = job.spec.demand().cores();
            if (isUnboundedFiller(job)) {
                availableCores -= job.placements().size() * coresPerTask;
            } else if (!objectives.hasNoObjective(job)) {
                int tasksToStart = job.missedObjectives ? 0 : counter.count(job, job.startableCount());
                presentCores += (job.placements().size() + tasksToStart) * coresPerTask;
            }
        }
        double reservedCores = Math.max(presentCores, arrivingCores(queue, now));
        return new CoreBudget(reservedCores > 0 ? availableCores - reservedCores : Double.MAX_VALUE, now);
    }

    /** The cores that jobs with an objective use on average, by their arrival rate and the limits of their teams. */
    private double arrivingCores(FairShareQueue queue, Moment now) {
        double cores = arrivingCores(queue, job -> true, now);
        for (Team team : cluster.teamsWithCoreLimit()) {
            double coresOfTeam = arrivingCores(queue, job -> job.spec.team().equals(team.name()), now);
            cores -= Math.max(0, coresOfTeam - team.maxCores());
        }
        return cores;
    }

    private double arrivingCores(FairShareQueue queue, Predicate<Job> filter, Moment now) {
        return queue.arrivalRate()
                .workPerSecond(
                        job -> !objectives.hasNoObjective(job) && filter.test(job),
                        job -> job.spec.taskCount()
                                * estimates.runTime(job).seconds()
                                * job.spec.demand().cores(),
                        minimumPaidTime,
                        now);
    }
}
