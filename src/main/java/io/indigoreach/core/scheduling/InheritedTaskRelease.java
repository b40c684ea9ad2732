package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;

/**
 * Releases the waiting tasks of inherited jobs once nothing that an earlier leader may have started is unknown: the records
 * are loaded and every machine of the failover is reconciled.
 */
final class InheritedTaskRelease {
    private final Cluster cluster;
    private final Failover failover;
    private boolean recordsLoaded;
    /** Inherited jobs that were added after the records had been loaded are not released yet. */
    private boolean lateJobsHeld;

    InheritedTaskRelease(Cluster cluster, Failover failover) {
        this.cluster = cluster;
        this.failover = failover;
    }

    /** Every record has been read. */
    void markRecordsLoaded() {
        recordsLoaded = true;
    }

    boolean areRecordsLoaded() {
        return recordsLoaded;
    }

    /** Releases all inherited tasks if no machine is left to be reconciled. */
    void releaseIfFailoverComplete() {
        if (failover.isComplete()) {
            cluster.releaseInheritedTasks();
        }
    }

    /** Nothing unknown is on this machine any more; after the last one, every job's tasks may be started. */
    void machineReconciled(MachineId id) {
        if (!failover.isComplete()) {
            failover.reconciled(id);
            if (recordsLoaded) {
                releaseIfFailoverComplete();
            }
        }
    }

    /**
     * An inherited job that is added after the records were loaded, as its record could not be read before, waits until no
     * heartbeat shows a task of an unknown job: what it had on machines is then gone, or counted as its own.
     */
    void jobAdded(Job job) {
        lateJobsHeld |= recordsLoaded && job.isInherited();
        releaseLateJobs();
    }

    /** Releases the jobs that were added late, if nothing of them can be on a machine unnoticed. */
    void releaseLateJobs() {
        if (lateJobsHeld && failover.isComplete() && !cluster.hasOrphanTasks()) {
            lateJobsHeld = false;
            cluster.releaseInheritedTasks();
        }
    }
}
