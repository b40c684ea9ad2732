package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;

/** Decides whether a job's tasks may start now, and on which machines. */
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

    /**
     * Whether tasks of the job may start now. Tasks of a team with a limit start only when all tasks that an earlier
     * leader started are known, because they count against the limit.
     */
    boolean mayStart(Job job, Moment now) {
        if (now.isBefore(job.retryNotBefore)) {
            return false;
        }
        if (cluster.teamUsage(job).team.hasLimits()) {
            return failover.isComplete() && !cluster.hasOrphanTasks();
        }
        return true;
    }

    /** How many of the job's startable tasks may start now by the team's limits, regardless of machines. */
    int countWithinTeamLimit(Job job) {
        return TeamLimitCounter.ofTasksThatMayStartNow(cluster).count(job, job.startableCount());
    }

    /** Whether a startable task of the job may start now by the team's limits, regardless of machines. */
    boolean hasTaskWithinTeamLimit(Job job) {
        return job.hasStartable() && !cluster.isTeamAtLimit(job);
    }

    /** Whether the team's limit and the job's zone constraints allow one more of its tasks on the machine. */
    boolean isPlaceable(Job job, Machine machine) {
        return !cluster.isTeamAtLimit(job) && remainingInZone(job, machine.pool.zone()) > 0;
    }

    /** How many more of its tasks the job's zone constraints allow in the zone. */
    static int remainingInZone(Job job, String zone) {
        if (!JobSizer.mayRunInZone(job, zone)) {
            return 0;
        }
        return job.spec.maxTasksPerZone() - (job.spec.spreadOverZones() ? job.placementsInZone(zone) : 0);
    }

    /** Whether the machine suits the job by its pool, earlier failures and image cache, regardless of free capacity. */
    boolean isSuitable(Job job, Machine machine, Moment now) {
        return machine.allows(job.spec)
                && FaultTracker.isAllowed(job, machine, now)
                && !awaitsImageLocality(job, machine, now);
    }

    /**
     * Whether the job should wait for a machine that has its image, because the fetch on this machine would miss a
     * start objective that can still be met elsewhere. Once the objective is missed, the job may use any machine.
     */
    boolean awaitsImageLocality(Job job, Machine machine, Moment now) {
        if (now.isBefore(job.imageLocalityUntil) && !machine.imageCache.contains(job.spec.image())) {
            return true;
        }
        Moment latestStart =
                machine.imageCache.contains(job.spec.image()) ? null : objectives.latestStartForStartObjective(job);
        return latestStart != null
                && now.plus(Estimates.fetchTime(job, machine.type)).isAfter(latestStart)
                && now.isBefore(latestStart)
                && cluster.isImageCached(job.spec.image());
    }

    /**
     * Whether the machine keeps capacity free for the service until the failover is complete. A replica may turn out to
     * run nowhere, and new tasks on the machine might not be preemptible for it.
     */
    boolean keepsCapacityForReplica(Job job, Machine machine) {
        return !failover.isComplete()
                && job.spec.isService()
                && job.hasWaiting()
                && !job.hasStartable()
                && machine.allows(job.spec)
                && job.spec.demand().fitsIn(machine.freeResourcesFor(job.spec));
    }
}
