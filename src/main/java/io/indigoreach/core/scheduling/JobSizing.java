package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Span;
import java.util.Optional;

/** How much of which machine type a job needs. */
final class JobSizing {
    /** Part of an estimate that counts for a queue of short jobs while no task of their class was seen to end. */
    private static final double UNSEEN_ESTIMATE_FRACTION = 1.0 / 3;

    private final Cluster cluster;
    private final Estimates estimates;
    private final Span minimumPaidTime;

    JobSizing(Cluster cluster, Estimates estimates, Span minimumPaidTime) {
        this.cluster = cluster;
        this.estimates = estimates;
        this.minimumPaidTime = minimumPaidTime;
    }

    /**
     * The type on which a task costs least, of those that are offered where the job may run: a cheaper one elsewhere was
     * requested in vain for ever. Empty if no type fits.
     */
    Optional<MachineType> cheapestType(Job job) {
        JobSpec spec = job.spec;
        MachineType best = null;
        double bestPrice = Double.MAX_VALUE;
        for (MachineType type : cluster.machineTypes.values()) {
            int tasksPerMachine = spec.demand().timesIn(type.capacity());
            if (tasksPerMachine == 0
                    || !spec.allowsType(type.name())
                    || type.zones().stream().noneMatch(zone -> mayRunIn(job, zone))) {
                continue;
            }
            boolean onSpot = spec.spotAllowed() && type.spotPrice() > 0;
            double price = (onSpot ? type.spotPrice() : type.price()) / tasksPerMachine;
            if (price < bestPrice) {
                best = type;
                bestPrice = price;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Whether the job may run in the zone, by its specification and by the zone of its other tasks. */
    static boolean mayRunIn(Job job, String zone) {
        String boundZone = job.spec.oneZone() ? job.boundZone() : null;
        return job.spec.allowsZone(zone) && (boundZone == null || boundZone.equals(zone));
    }

    /** A task's run time in seconds of a whole machine. */
    double machineSeconds(Job job, MachineType type) {
        return estimates.run(job).seconds() / tasksPerMachine(job, type);
    }

    /** The same by what is sure: an estimate is often three times too long, and machines come for nothing then. */
    double confidentMachineSeconds(Job job, MachineType type) {
        return machineSeconds(job, type) * (estimates.hasSeen(job) ? 1 : UNSEEN_ESTIMATE_FRACTION);
    }

    /** Machines for so many tasks; those shorter than the minimum paid time follow each other on a machine. */
    double machinesFor(Job job, MachineType type, int tasks) {
        int perMachine = tasksPerMachine(job, type);
        double runSeconds = estimates.run(job).seconds();
        double fraction = job.spec.isService() ? 1 : Math.min(1, runSeconds / minimumPaidTime.seconds());
        return tasks * fraction / perMachine;
    }

    private static int tasksPerMachine(Job job, MachineType type) {
        return Math.max(1, job.spec.demand().timesIn(type.capacity()));
    }
}
