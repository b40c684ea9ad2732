package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Span;
import java.util.Optional;

/** Chooses the machine type for a job and computes how many machines its tasks need. */
final class JobSizer {
    /**
     * Fraction of the owner's estimate that is used for short jobs until a task of their class has been observed to
     * complete.
     */
    private static final double UNSEEN_ESTIMATE_FRACTION = 1.0 / 3;

    private final Cluster cluster;
    private final Estimates estimates;
    private final Span minimumPaidTime;

    JobSizer(Cluster cluster, Estimates estimates, Span minimumPaidTime) {
        this.cluster = cluster;
        this.estimates = estimates;
        this.minimumPaidTime = minimumPaidTime;
    }

    /**
     * Returns the type on which a task costs least, or empty if no type fits. Only types that are offered in the job's
     * zones count: requests for a cheaper type in other zones would never start the job.
     */
    Optional<MachineType> cheapestType(Job job) {
        JobSpec spec = job.spec;
        MachineType cheapest = null;
        double lowestPrice = Double.MAX_VALUE;
        for (MachineType type : cluster.machineTypes.values()) {
            int tasksPerMachine = spec.demand().countFittingIn(type.capacity());
            if (tasksPerMachine == 0
                    || !spec.allowsType(type.name())
                    || type.zones().stream().noneMatch(zone -> mayRunInZone(job, zone))) {
                continue;
            }
            boolean onSpot = spec.spotAllowed() && type.spotPrice() > 0;
            double price = (onSpot ? type.spotPrice() : type.onDemandPrice()) / tasksPerMachine;
            if (price < lowestPrice) {
                cheapest = type;
                lowestPrice = price;
            }
        }
        return Optional.ofNullable(cheapest);
    }

    /** Returns whether the job's specification and the zone of its other tasks allow the zone. */
    static boolean mayRunInZone(Job job, String zone) {
        String boundZone = job.spec.singleZone() ? job.zoneOfPlacements() : null;
        return job.spec.allowsZone(zone) && (boundZone == null || boundZone.equals(zone));
    }

    /** Returns the expected run time of a task in machine seconds. */
    double machineSeconds(Job job, MachineType type) {
        return estimates.runTime(job).seconds() / tasksPerMachine(job, type);
    }

    /**
     * Returns the run time of a task in machine seconds, reduced while only the owner's estimate is known. Estimates
     * are often three times too long and would then rent machines that find no work.
     */
    double conservativeMachineSeconds(Job job, MachineType type) {
        return machineSeconds(job, type) * (estimates.hasObserved(job) ? 1 : UNSEEN_ESTIMATE_FRACTION);
    }

    /**
     * Returns the machines for {@code tasks}; tasks shorter than the minimum paid time run one after another on a
     * machine.
     */
    double machinesFor(Job job, MachineType type, int tasks) {
        int tasksPerMachine = tasksPerMachine(job, type);
        double runSeconds = estimates.runTime(job).seconds();
        double machineFraction = job.spec.isService() ? 1 : Math.min(1, runSeconds / minimumPaidTime.seconds());
        return tasks * machineFraction / tasksPerMachine;
    }

    private static int tasksPerMachine(Job job, MachineType type) {
        return Math.max(1, job.spec.demand().countFittingIn(type.capacity()));
    }
}
