package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;

/**
 * Decides from failed tasks whether the machine or the job is at fault. On a faulty machine the tasks of all jobs
 * fail; a job that was submitted with a mistake fails on every machine.
 */
final class FaultTracker {
    private static final Span INITIAL_RETRY_DELAY = Span.seconds(2);
    private static final Span MAX_RETRY_DELAY = Span.seconds(30);
    /** Number of jobs that have to fail on a machine before it is quarantined. */
    private static final int FAILED_JOBS_TO_QUARANTINE = 2;

    private FaultTracker() {}

    /** Records a failed task against its machine, or against its job if the job is suspected to be faulty. */
    static void recordFailure(Placement placement, Moment now) {
        Job job = placement.job;
        Machine machine = placement.machine;
        job.recordFailure(machine);
        if (job.isSuspectedFaulty()) {
            // The job's failures say nothing about the machine, so clear its entry and retry the job rarely.
            Span retryDelay = INITIAL_RETRY_DELAY.times(Math.pow(2, Math.min(10, job.failures - 3)));
            job.retryNotBefore(now.plus(retryDelay.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : retryDelay));
            machine.failedJobs.remove(job.id());
            return;
        }
        machine.failedJobs.add(job.id());
        if (machine.failedJobs.size() >= FAILED_JOBS_TO_QUARANTINE) {
            machine.quarantine();
        }
    }

    /** Records a completed task, which clears the machine's failures and the job's failure on this machine. */
    static void recordCompletion(Placement placement) {
        placement.machine.failedJobs.clear();
        placement.job.failedMachines.remove(placement.machine.id);
    }

    /** Whether the job may run on the machine: not if it has failed there, unless it fails on all machines. */
    static boolean isAllowed(Job job, Machine machine, Moment now) {
        if (now.isBefore(job.retryNotBefore)) {
            return false;
        }
        return job.isSuspectedFaulty() ? job.placements().isEmpty() : !isExcluded(job, machine);
    }

    /** Whether the job must never use the machine because it failed there but does not fail on all machines. */
    static boolean isExcluded(Job job, Machine machine) {
        return !job.isSuspectedFaulty() && job.failedMachines.contains(machine.id);
    }
}
