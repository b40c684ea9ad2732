package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;

/**
 * Releases the waiting tasks of inherited jobs once nothing that an earlier leader may have started is unknown: the records
 * are loaded and every machine of the failover is reconciled.
 */
final class InheritedTaskReleaser {
    private final Cluster cluster;
    private final FailoverTracker failover;
    private boolean recordsLoaded;
    /** Inherited jobs that were added after the records had been loaded are not released yet. */
    private boolean hasUnreleasedLateJobs;

    InheritedTaskReleaser(Cluster cluster, FailoverTracker failover) {
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
    void markReconciled(MachineId id) {
        if (!failover.isComplete()) {
            failover.markReconciled(id);
            if (recordsLoaded) {
                releaseIfFailoverComplete();
            }
        }
    }

    /**
     * An inherited job that is added after the records were loaded, as its record could not be read before, waits until no
     * heartbeat shows a task of an unknown job: what it had on machines is then gone, or counted as its own.
     */
    void onJobAdded(Job job) {
        hasUnreleasedLateJobs |= recordsLoaded && job.isInherited();
        releaseLateJobs();
    }

    /** Releases the jobs that were added late, if nothing of them can be on a machine unnoticed. */
    void releaseLateJobs() {
        if (hasUnreleasedLateJobs && failover.isComplete() && !cluster.hasOrphanTasks()) {
            hasUnreleasedLateJobs = false;
            cluster.releaseInheritedTasks();
        }
    }
}
