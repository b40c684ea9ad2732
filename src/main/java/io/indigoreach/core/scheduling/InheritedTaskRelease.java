package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;

/**
 * Releases the waiting tasks of inherited jobs once every task that an earlier leader may have started is known: the
 * records are loaded and every machine of the failover is reconciled.
 */
final class InheritedTaskRelease {
    private final Cluster cluster;
    private final Failover failover;
    private boolean recordsLoaded;
    /** Whether inherited jobs that were added after the records were loaded still wait to be released. */
    private boolean lateJobsHeld;

    InheritedTaskRelease(Cluster cluster, Failover failover) {
        this.cluster = cluster;
        this.failover = failover;
    }

    /** Called once all records have been read. */
    void markRecordsLoaded() {
        recordsLoaded = true;
    }

    boolean areRecordsLoaded() {
        return recordsLoaded;
    }

    /** Releases all inherited tasks if every machine of the failover is reconciled. */
    void releaseIfFailoverComplete() {
        if (failover.isComplete()) {
            cluster.releaseInheritedTasks();
        }
    }

    /** Marks a machine as reconciled; after the last one, all inherited tasks are released. */
    void machineReconciled(MachineId id) {
        if (!failover.isComplete()) {
            failover.reconciled(id);
            if (recordsLoaded) {
                releaseIfFailoverComplete();
            }
        }
    }

    /**
     * Handles a job that was added. An inherited job whose record could only be read after the other records were
     * loaded waits until no heartbeat shows a task of an unknown job: by then its tasks on machines have ended or are
     * counted as its own.
     */
    void jobAdded(Job job) {
        lateJobsHeld |= recordsLoaded && job.isInherited();
        releaseLateJobs();
    }

    /** Releases the jobs that were added late, once none of their tasks can be on a machine undetected. */
    void releaseLateJobs() {
        if (lateJobsHeld && failover.isComplete() && !cluster.hasOrphanTasks()) {
            lateJobsHeld = false;
            cluster.releaseInheritedTasks();
        }
    }
}
