package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which start bounds to raise. Tasks start in index order, and a task starts only once a higher bound is
 * recorded with its job. A new leader therefore knows from the record which tasks were never started, and can start
 * them before every machine has sent a heartbeat. A bound far ahead of the started tasks would rule out few of them,
 * and one too close would make machines wait for a write. Bounds are therefore kept ahead by the tasks that the
 * machines can take within some heartbeats.
 */
final class StartBounds {
    /** Bounds are raised when they cover less than this fraction of the cores that they should cover. */
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

    /** Raises the start bounds that are too low; returns the jobs whose bounds must be recorded. */
    List<Job> raiseBounds(Moment now) {
        countCores(now);
        List<Job> raised = new ArrayList<>();
        for (FairShareQueue queue : cluster.queues()) {
            double coveredCores = 0;
            TeamLimitCounter counter = TeamLimitCounter.ofTasksThatMayRunAtOnce(cluster);
            for (Job job : order.sortedJobs(queue, now)) {
                if (job.hasStartable() && !job.isSuspectedFaulty() && coveredCores < targetCores) {
                    double coresPerTask = Math.max(1e-3, job.spec.demand().cores());
                    int startable = counter.count(job, job.startableCount());
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
     * Counts the free cores of healthy and booting machines, plus their whole capacity. No bound can be raised during
     * an outage of the state service, while the leader starts tasks until its lease ends. With a quarter of the
     * capacity, a cluster of 976 machines ran out of startable tasks 10 s into an outage.
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
