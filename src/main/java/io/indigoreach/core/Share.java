package io.indigoreach.core;

import java.util.ArrayList;
import java.util.List;

/** A team's queue of open jobs. Machines name the share that they serve; the leader moves idle ones. */
final class Share {
    /** How long an order of the queue is kept while no job comes or goes. */
    private static final Span ORDER_LIFE = Span.seconds(1);

    final Team team;
    private final List<Job> jobs = new ArrayList<>();
    private QueueOrder.Ordered ordered = QueueOrder.Ordered.EMPTY;
    private Moment orderedAt = Moment.NEVER;
    private double cores;
    private double gpus;

    Share(Team team) {
        this.team = team;
    }

    void add(Job job) {
        jobs.add(job);
        orderedAt = Moment.NEVER;
    }

    void remove(Job job) {
        jobs.remove(job);
        orderedAt = Moment.NEVER;
    }

    List<Job> jobs() {
        return jobs;
    }

    /** The queue in the order in which it is served. */
    List<Job> queue(QueueOrder order, Moment now) {
        return ordered(order, now).jobs();
    }

    /**
     * The queue for a machine with so much room. Room for a bulky job is worth more than the same room in pieces: once
     * it is filled with small tasks, a bulky one has to wait until they have all ended, with cores idle meanwhile. So
     * where one fits, the bulky jobs count as due some time sooner, until they have the part of the machines that is
     * their part of the work: where all machines come free at once, the others must get theirs.
     */
    List<Job> queueFor(Machine m, QueueOrder order, Moment now) {
        QueueOrder.Ordered queue = ordered(order, now);
        double taken = 0;
        for (Job job : queue.bulky()) {
            taken += job.active().size() / (double) order.perMachine(job);
        }
        if (taken >= queue.bulkyPlaces()) {
            return queue.jobs();
        }
        for (Job job : queue.bulky()) {
            if (job.hasWaiting() && job.spec.demand().fitsIn(m.free()) && m.allows(job.spec)) {
                return queue.bulkyFirst();
            }
        }
        return queue.jobs();
    }

    private QueueOrder.Ordered ordered(QueueOrder order, Moment now) {
        if (!now.isBefore(orderedAt.plus(ORDER_LIFE))) {
            ordered = order.order(this, now);
            orderedAt = now;
        }
        return ordered;
    }

    void used(Demand demand, int sign) {
        cores += sign * demand.cores();
        gpus += sign * demand.gpus();
    }

    double cores() {
        return cores;
    }

    boolean hasRoomFor(Demand demand) {
        return team.allows(cores + demand.cores(), gpus + demand.gpus());
    }

    boolean isWithinGuarantee(Demand more) {
        return team.isWithinGuarantee(cores + more.cores(), gpus + more.gpus());
    }
}
