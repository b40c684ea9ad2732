package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineId;

/**
 * Releases the waiting tasks of inherited jobs once every task that an earlier leader may have started is known: the
 * records are loaded and every machine of the failover is reconciled.
 */
final class InheritedTaskReleaser {
    private final Cluster cluster;
    private final FailoverTracker failover;
    private boolean recordsLoaded;
    /** Whether inherited jobs that were added after the records were loaded still wait to be released. */
    private boolean hasUnreleasedLateJobs;

    InheritedTaskReleaser(Cluster cluster, FailoverTracker failover) {
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
    void markReconciled(MachineId id) {
        if (!failover.isComplete()) {
            failover.markReconciled(id);
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
    void onJobAdded(Job job) {
        hasUnreleasedLateJobs |= recordsLoaded && job.isInherited();
        releaseLateJobs();
    }

    /** Releases the jobs that were added late, once none of their tasks can be on a machine undetected. */
    void releaseLateJobs() {
        if (hasUnreleasedLateJobs && failover.isComplete() && !cluster.hasOrphanTasks()) {
            hasUnreleasedLateJobs = false;
            cluster.releaseInheritedTasks();
        }
    }
}
