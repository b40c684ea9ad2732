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

    static void failed(Placement p, Moment now) {
        Job job = p.job;
        Machine m = p.machine;
        job.failures++;
        job.failedOn.add(m.id);
        if (job.isSuspect()) {
            // Its failures say nothing about machines: take back what was held against them, and try rarely.
            Span pause = FIRST_PAUSE.times(Math.pow(2, Math.min(10, job.failures - 3)));
            job.retryAt = now.plus(pause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause);
            m.failedJobs.remove(job.id());
            return;
        }
        m.failedJobs.add(job.id());
        if (m.failedJobs.size() >= 2) {
            m.condemned = true;
        }
    }

    static void completed(Placement p) {
        p.machine.failedJobs.clear();
        p.job.failedOn.remove(p.machine.id);
    }

    /** Whether the job may be tried on the machine: not where it has failed, unless it fails everywhere anyway. */
    static boolean allows(Job job, Machine m, Moment now) {
        if (now.isBefore(job.retryAt)) {
            return false;
        }
        return job.isSuspect() ? job.active().isEmpty() : !bars(job, m);
    }

    /** Whether the machine is no place for the job, however long it waits: it has failed there, and not everywhere. */
    static boolean bars(Job job, Machine m) {
        return !job.isSuspect() && job.failedOn.contains(m.id);
    }
}
