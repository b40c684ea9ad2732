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

    /** The jobs whose start bounds are to be written now. */
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
     * Cores that are free or coming, and all of them once more: in an outage no bound can be raised, and a leader starts tasks
     * until its lease ends. With a quarter of them, a fleet of 976 machines ran dry 10 s into an outage.
     */
    private void count(Moment now) {
        if (now.isBefore(countedAt.plus(COUNT_LIFE))) {
            return;
        }
        countedAt = now;
        places = 0;
        for (Machine machine : cluster.machines.values()) {
            if (machine.isBooting(now, tuning.bootPatience()) || machine.isHealthy()) {
                places += Math.max(0, machine.freeResources().cores())
                        + machine.type.capacity().cores();
            }
        }
    }
}
