package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;

/**
 * Decides from failed tasks whether the machine or the job is at fault. A faulty machine fails the tasks of whichever
 * job it is given; a job submitted with a mistake fails on every machine.
 */
final class FaultAttribution {
    private static final Span FIRST_PAUSE = Span.seconds(2);
    private static final Span LONGEST_PAUSE = Span.seconds(30);

    private FaultAttribution() {}

    /** A task has failed: the failure counts against the machine, or against a job that is suspected to be faulty. */
    static void failed(Placement placement, Moment now) {
        Job job = placement.job;
        Machine machine = placement.machine;
        job.recordFailure(machine);
        if (job.isSuspectedFaulty()) {
            // Its failures say nothing about machines: take back what was held against them, and try rarely.
            Span pause = FIRST_PAUSE.times(Math.pow(2, Math.min(10, job.failures - 3)));
            job.retryNotBefore(now.plus(pause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause));
            machine.failedJobs.remove(job.id());
            return;
        }
        machine.failedJobs.add(job.id());
        if (machine.failedJobs.size() >= 2) {
            machine.quarantine();
        }
    }

    /** A task has completed: neither the machine nor, there, its job is to blame. */
    static void completed(Placement placement) {
        placement.machine.failedJobs.clear();
        placement.job.failedMachines.remove(placement.machine.id);
    }

    /** Whether the job may be tried on the machine: not where it has failed, unless it fails everywhere anyway. */
    static boolean allows(Job job, Machine machine, Moment now) {
        if (now.isBefore(job.retryNotBefore)) {
            return false;
        }
        return job.isSuspectedFaulty() ? job.placements().isEmpty() : !isExcluded(job, machine);
    }

    /** Whether the machine is no place for the job, however long it waits: it has failed there, and not everywhere. */
    static boolean isExcluded(Job job, Machine machine) {
        return !job.isSuspectedFaulty() && job.failedMachines.contains(machine.id);
    }
}
