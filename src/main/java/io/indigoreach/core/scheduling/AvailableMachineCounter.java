package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;

/** Counts the machines that a queue can use before it needs to scale out. */
final class AvailableMachineCounter {
    private final Cluster cluster;
    private final double bootTimeoutFactor;

    AvailableMachineCounter(Cluster cluster, double bootTimeoutFactor) {
        this.cluster = cluster;
        this.bootTimeoutFactor = bootTimeoutFactor;
    }

    /** Counts the idle and booting machines of the type, without machines whose boot is overdue. */
    int count(FairShareQueue queue, String type, boolean onDemandOnly, Moment now) {
        int count = 0;
        for (Machine machine : cluster.machinesServing(queue)) {
            if (!machine.pool.type().equals(type)
                    || (onDemandOnly && machine.pool.spot())
                    || (machine.poolMembership != null && !isWarmFor(queue, machine))) {
                continue;
            }
            if (machine.isBooting(now, bootTimeoutFactor)
                    || (machine.isHealthy() && machine.isIdle() && isUsableByQueue(queue, machine))) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether a job that waits for the image of the machine's warm pool may run on it. */
    private static boolean isWarmFor(FairShareQueue queue, Machine machine) {
        return queue.jobs().stream()
                .anyMatch(job -> job.hasWaiting()
                        && job.spec.image().equals(machine.poolMembership.image())
                        && machine.allows(job.spec));
    }

    /** Returns whether a waiting job may use the machine: false if all of them have failed on it. */
    private static boolean isUsableByQueue(FairShareQueue queue, Machine machine) {
        return machine.failedJobs.isEmpty()
                || queue.jobs().stream()
                        .anyMatch(job ->
                                job.hasWaiting() && !job.isSuspectedFaulty() && !FaultTracker.isExcluded(job, machine));
    }
}
