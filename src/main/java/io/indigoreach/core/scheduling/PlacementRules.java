package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;

/** Whether a job's tasks may start now, and on which machines. */
final class PlacementRules {
    private final Cluster cluster;
    private final ServiceLevelObjectives objectives;
    private final FailoverTracker failover;

    PlacementRules(Cluster cluster, ServiceLevelObjectives objectives, FailoverTracker failover) {
        this.cluster = cluster;
        this.objectives = objectives;
        this.failover = failover;
    }

    boolean isFailoverComplete() {
        return failover.isComplete();
    }

    /** Under a team's limit nothing can be started before all that an earlier leader started is known. */
    boolean mayStart(Job job, Moment now) {
        if (now.isBefore(job.retryNotBefore)) {
            return false;
        }
        if (cluster.teamUsage(job).team.isLimited()) {
            return failover.isComplete() && !cluster.hasOrphanTasks();
        }
        return true;
    }

    /** Whether the team's limit and the job's rules on zones allow one more of its tasks on the machine. */
    boolean isPlaceable(Job job, Machine machine) {
        String zone = machine.pool.zone();
        if (!cluster.teamUsage(job).hasRoomFor(job.spec.demand())) {
            return false;
        }
        if (job.spec.oneZone()) {
            String boundZone = job.boundZone();
            if (boundZone != null && !boundZone.equals(zone)) {
                return false;
            }
        }
        return !job.spec.spread() || job.placementsInZone(zone) < job.spec.zoneLimit();
    }

    /** Whether the machine is suitable for the job: by its pool, its failures and its image, not by its free capacity. */
    boolean isSuitable(Job job, Machine machine, Moment now) {
        return machine.allows(job.spec)
                && FaultTracker.isAllowed(job, machine, now)
                && !awaitsImageLocality(job, machine, now);
    }

    /**
     * Whether fetching its image on this machine would make the task start too late for an objective that it can still
     * meet on a machine which has the image. Such a machine is waited for until the objective is missed; then any will
     * do.
     */
    boolean awaitsImageLocality(Job job, Machine machine, Moment now) {
        if (now.isBefore(job.imageLocalityUntil) && !machine.imageCache.contains(job.spec.image())) {
            return true;
        }
        Moment due = machine.imageCache.contains(job.spec.image()) ? null : objectives.latestStartForWait(job);
        return due != null
                && now.plus(Estimates.fetch(job, machine.type)).isAfter(due)
                && now.isBefore(due)
                && cluster.isImageCached(job.spec.image());
    }

    /**
     * Whether the machine keeps its room for a replica until the failover is complete: a replica that may turn out to
     * run nowhere is not to find its places taken by work that nobody had started yet and that it could not preempt.
     */
    boolean keepsRoomForReplica(Job job, Machine machine) {
        return !failover.isComplete()
                && job.spec.isService()
                && job.hasWaiting()
                && !job.hasStartable()
                && machine.allows(job.spec)
                && job.spec.demand().fitsIn(machine.freeResourcesFor(job.spec));
    }
}
