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
    private static final double LOW_FRACTION = 0.5;

    private static final Span COUNT_LIFE = Span.seconds(0.5);

    private final Cluster cluster;
    private final QueueOrder order;
    private final SchedulerSettings tuning;
    private double places;
    private Moment countedAt = Moment.NEVER;

    StartBounds(Cluster cluster, QueueOrder order, SchedulerSettings tuning) {
        this.cluster = cluster;
        this.order = order;
        this.tuning = tuning;
    }

    /** Raises the start bounds that are too low; returns the jobs whose bounds must be recorded. */
    List<Job> toRaise(Moment now) {
        count(now);
        List<Job> out = new ArrayList<>();
        for (FairShareQueue queue : cluster.queues()) {
            double ahead = 0;
            for (Job job : order.jobs(queue, now)) {
                if (job.hasStartable() && !job.isSuspectedFaulty() && ahead < places) {
                    double size = Math.max(1e-3, job.spec.demand().cores());
                    int startable = job.startableCount();
                    if (ahead < places * LOW_FRACTION
                            && !job.isWithinStartBound(within(places * LOW_FRACTION - ahead, size, startable))) {
                        job.requestStartBoundFor(within(places - ahead, size, startable));
                    }
                    ahead += startable * size;
                }
                if (job.needsHigherStartBound()) {
                    out.add(job);
                }
            }
        }
        for (Job holder : cluster.holderJobs) {
            if (holder.needsHigherStartBound()) {
                out.add(holder);
            }
        }
        return out;
    }

    private static int within(double cores, double size, int startable) {
        return (int) Math.min(startable, Math.ceil(cores / size));
    }

    /**
     * Counts the free cores of healthy and booting machines, plus their whole capacity. No bound can be raised during
     * an outage of the state service, while the leader starts tasks until its lease ends. With a quarter of the
     * capacity, a cluster of 976 machines ran out of startable tasks 10 s into an outage.
     */
    private void count(Moment now) {
        if (now.isBefore(countedAt.plus(COUNT_LIFE))) {
            return;
        }
        countedAt = now;
        places = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isBooting(now, tuning.bootPatience()) || machine.isHealthy()) {
                places += Math.max(0, machine.free().cores())
                        + machine.type.capacity().cores();
            }
        }
    }
}
