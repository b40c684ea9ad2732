package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;

/** Counts the machines that a queue has at hand before it scales out. */
final class AvailableMachines {
    private final Cluster cluster;
    private final double bootPatience;

    AvailableMachines(Cluster cluster, double bootPatience) {
        this.cluster = cluster;
        this.bootPatience = bootPatience;
    }

    /** Machines of the type that are idle or booting; one whose boot is long overdue is not counted on. */
    int count(FairShareQueue queue, String type, boolean onDemandOnly, Moment now) {
        int count = 0;
        for (Machine machine : cluster.machinesServing(queue)) {
            if (!machine.pool.type().equals(type)
                    || (onDemandOnly && machine.pool.spot())
                    || (machine.poolMembership != null && !isWarmFor(queue, machine))) {
                continue;
            }
            if (machine.isBooting(now, bootPatience)
                    || (machine.isHealthy() && machine.isIdle() && isUsableByQueue(queue, machine))) {
                count++;
            }
        }
        return count;
    }

    /** A machine of a warm pool is at hand for jobs that wait for the image that it holds. */
    private static boolean isWarmFor(FairShareQueue queue, Machine machine) {
        return queue.jobs().stream()
                .anyMatch(job -> job.hasWaiting()
                        && job.spec.image().equals(machine.poolMembership.image())
                        && machine.allows(job.spec));
    }

    /** Not if every job that waits has failed on it. */
    private static boolean isUsableByQueue(FairShareQueue queue, Machine machine) {
        return machine.failedJobs.isEmpty()
                || queue.jobs().stream()
                        .anyMatch(job ->
                                job.hasWaiting() && !job.isSuspectedFaulty() && !FaultTracker.isExcluded(job, machine));
    }
}
