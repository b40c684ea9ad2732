package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Urgency;
import java.util.Collection;
import java.util.Iterator;

/** Decides whether waiting jobs need a machine, or fit on the others so that it may stay cordoned or be returned. */
final class CordonRules {
    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final PlacementRules placementRules;

    CordonRules(Cluster cluster, ServiceLevelObjectives objectives, PlacementRules placementRules) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.placementRules = placementRules;
    }

    /** Returns whether the machine is cordoned and all jobs that wait now still fit on the other machines. */
    boolean isCordoned(Machine machine, Moment now) {
        return machine.cordonedFor != null && fitsIn(machine.cordonedFor, machine.cordonedFor.freeOutsideCordon(), now);
    }

    /**
     * Returns whether the waiting jobs of a queue fit into the free resources of some machines, each job by itself and
     * all jobs by their sum of cores. Returns false if {@link #needsEveryMachine} holds for a waiting job.
     */
    boolean fitsIn(FairShareQueue queue, Collection<Resources> freeResources, Moment now) {
        double cores = 0;
        for (Resources machineFree : freeResources) {
            cores += machineFree.cores();
        }
        TeamLimitCounter counter = TeamLimitCounter.ofTasksThatMayStartNow(cluster);
        for (Job job : queue.jobs()) {
            if (!placementRules.hasTaskWithinTeamLimit(job)
                    || job.isSuspectedFaulty()
                    || !placementRules.mayStart(job, now)) {
                continue;
            }
            if (needsEveryMachine(job, now)) {
                return false;
            }
            int tasks = counter.count(job, job.startableCount());
            cores -= tasks * job.spec.demand().cores();
            if (cores < 0 || !fitsIn(job, tasks, freeResources)) {
                return false;
            }
        }
        return true;
    }

    private static boolean fitsIn(Job job, int tasks, Collection<Resources> freeResources) {
        int missing = tasks;
        for (Iterator<Resources> freeIterator = freeResources.iterator(); missing > 0 && freeIterator.hasNext(); ) {
            missing -= job.spec.demand().countFittingIn(freeIterator.next());
        }
        return missing <= 0;
    }

    /**
     * Returns whether no machine should be cordoned while the job waits: it is urgent, a service, restricted to some
     * machines, or can still meet an objective on its start.
     */
    private boolean needsEveryMachine(Job job, Moment now) {
        Moment latestStart = objectives.latestStartForStartObjective(job);
        return job.urgency().isMoreUrgentThan(Urgency.STANDARD)
                || job.spec.isService()
                || isRestrictedToSomeMachines(job)
                || (latestStart != null && now.isBefore(latestStart));
    }

    private static boolean isRestrictedToSomeMachines(Job job) {
        return !job.spec.spotAllowed()
                || job.spec.zone() != null
                || job.spec.singleZone()
                || job.spec.spreadOverZones()
                || job.spec.machineTypes() != null;
    }

    /** Returns whether a job that waits in a queue which the machine serves can use the idle machine. */
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
                && placementRules.isPlaceable(job, machine);
    }
}
