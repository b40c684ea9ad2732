package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Urgency;
import java.util.Collection;
import java.util.Iterator;

/** Whether waiting jobs need a machine, or have room on the others so that it may stay cordoned or be returned. */
final class CordonRules {
    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final PlacementRules rules;

    CordonRules(Cluster cluster, ServiceLevelObjectives objectives, PlacementRules rules) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.rules = rules;
    }

    /** Whether the machine is cordoned, and no more waits by now than the other machines have room for. */
    boolean isCordoned(Machine machine, Moment now) {
        return machine.cordonedFor != null && fitsIn(machine.cordonedFor, machine.cordonedFor.roomOutsideCordon(), now);
    }

    /**
     * Whether all that waits in a queue has places in what is free on some machines, each job by itself and all
     * together. Never where a job waits that should not be kept from any place.
     */
    boolean fitsIn(FairShareQueue queue, Collection<Demand> free, Moment now) {
        double cores = 0;
        for (Demand room : free) {
            cores += room.cores();
        }
        for (Job job : queue.jobs()) {
            if (!job.hasStartable() || job.isSuspectedFaulty() || !rules.mayStart(job, now)) {
                continue;
            }
            if (needsEveryPlace(job, now)) {
                return false;
            }
            cores -= job.startableCount() * job.spec.demand().cores();
            if (cores < 0 || !fitsIn(job, free)) {
                return false;
            }
        }
        return true;
    }

    private static boolean fitsIn(Job job, Collection<Demand> free) {
        int lacking = job.startableCount();
        for (Iterator<Demand> rooms = free.iterator(); lacking > 0 && rooms.hasNext(); ) {
            lacking -= job.spec.demand().timesIn(rooms.next());
        }
        return lacking <= 0;
    }

    /** It is urgent, a replica, may not use every machine, or has an objective on its starts that can still be met. */
    private boolean needsEveryPlace(Job job, Moment now) {
        Moment due = objectives.latestStartForWait(job);
        return job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                || job.spec.isService()
                || isBoundToSomeMachines(job)
                || (due != null && now.isBefore(due));
    }

    private static boolean isBoundToSomeMachines(Job job) {
        return !job.spec.spotAllowed() || job.spec.zone() != null || job.spec.types() != null;
    }

    /** Whether an idle machine can be used by a job that waits in a queue which the machine serves. */
    boolean isUsableByWaitingJob(Machine machine, Moment now) {
        if (machine.surplus || isCordoned(machine, now)) {
            return false;
        }
        for (FairShareQueue queue : cluster.queues()) {
            if (machine.queueName != null && !machine.queueName.equals(queue.name)) {
                continue;
            }
            for (Job job : queue.jobs()) {
                if (isUsableBy(job, machine)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean isUsableBy(Job job, Machine machine) {
        return job.hasWaiting()
                && !job.isSuspectedFaulty()
                && machine.allows(job.spec)
                && job.spec.demand().fitsIn(machine.freeResourcesFor(job.spec))
                && !job.failedMachines.contains(machine.id)
                && rules.isPlaceable(job, machine);
    }
}
