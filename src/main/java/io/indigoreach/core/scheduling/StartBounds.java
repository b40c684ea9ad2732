package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Which start bounds to raise. Tasks start in the order of their numbers, and one is started only once a bound above it
 * is recorded with its job: so a new leader knows by the record which tasks were never started, and starts them before
 * it has heard every machine. A bound far ahead of the starts would tell it little, one too close would have machines
 * wait for a write: bounds are kept ahead of the queue by what the machines can take within some heartbeats.
 */
final class StartBounds {
    /** A bound is raised when less than this part of what should be ahead is left. */
    private static final double REFILL_FRACTION = 0.5;

    private static final Span COUNT_CACHE_TIME = Span.seconds(0.5);

    private final Cluster cluster;
    private final QueueOrder order;
    private final SchedulerSettings settings;
    private double targetCores;
    private Moment countedAt = Moment.NEVER;

    StartBounds(Cluster cluster, QueueOrder order, SchedulerSettings settings) {
        this.cluster = cluster;
        this.order = order;
        this.settings = settings;
    }

    /** The jobs whose start bounds are to be written now. */
    List<Job> raiseBounds(Moment now) {
        countCores(now);
        List<Job> raised = new ArrayList<>();
        for (FairShareQueue queue : cluster.queues()) {
            double coveredCores = 0;
            for (Job job : order.sortedJobs(queue, now)) {
                if (job.hasStartable() && !job.isSuspectedFaulty() && coveredCores < targetCores) {
                    double coresPerTask = Math.max(1e-3, job.spec.demand().cores());
                    int startable = job.startableCount();
                    if (coveredCores < targetCores * REFILL_FRACTION
                            && !job.isWithinStartBound(tasksWithin(
                                    targetCores * REFILL_FRACTION - coveredCores, coresPerTask, startable))) {
                        job.requestStartBoundFor(tasksWithin(targetCores - coveredCores, coresPerTask, startable));
                    }
                    coveredCores += startable * coresPerTask;
                }
                if (job.needsHigherStartBound()) {
                    raised.add(job);
                }
            }
        }
        for (Job holder : cluster.holderJobs) {
            if (holder.needsHigherStartBound()) {
                raised.add(holder);
            }
        }
        return raised;
    }

    private static int tasksWithin(double cores, double coresPerTask, int startable) {
        return (int) Math.min(startable, Math.ceil(cores / coresPerTask));
    }

    /**
     * Cores that are free or coming, and all of them once more: in an outage no bound can be raised, and a leader starts tasks
     * until its lease ends. With a quarter of them, a fleet of 976 machines ran dry 10 s into an outage.
     */
    private void countCores(Moment now) {
        if (now.isBefore(countedAt.plus(COUNT_CACHE_TIME))) {
            return;
        }
        countedAt = now;
        targetCores = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isBooting(now, settings.bootPatience()) || machine.isHealthy()) {
                targetCores += Math.max(0, machine.freeResources().cores())
                        + machine.type.capacity().cores();
            }
        }
    }
}
