package io.indigoreach.core.scheduling;

/** Machines of one type that a queue needs, divided by the kinds of machines that its jobs accept. */
final class MachineTypeNeed {
    /** The first job in the queue that may use spot machines, or null. */
    Job firstSpotJob;
    /** The first job in the queue that may use only on-demand machines, or null. */
    Job firstOnDemandOnlyJob;
    /** Machines of any kind that are needed. */
    double machines;
    /** The part of {@link #machines} for jobs that do not wait for spot capacity. */
    double onDemandMachines;
    /** The part of {@link #onDemandMachines} for jobs that may not use spot machines. */
    double onDemandOnlyMachines;
    /** The part of {@link #machines} for the top short job. */
    double topShortMachines;
    /** Whether the top short job does not wait for spot capacity; the short jobs behind it then do not wait either. */
    boolean shortJobsMayUseOnDemand;

    void add(Job job, double addedMachines, boolean mayUseOnDemand) {
        machines += addedMachines;
        onDemandMachines += mayUseOnDemand ? addedMachines : 0;
        if (job.spec.spotAllowed()) {
            firstSpotJob = firstSpotJob == null ? job : firstSpotJob;
        } else {
            firstOnDemandOnlyJob = firstOnDemandOnlyJob == null ? job : firstOnDemandOnlyJob;
            onDemandOnlyMachines += addedMachines;
        }
    }

    void addShort(double addedMachines, boolean mayUseOnDemand) {
        topShortMachines = addedMachines;
        shortJobsMayUseOnDemand |= mayUseOnDemand;
    }

    /**
     * Adds the need of a job whose pools have all refused requests; it does not determine the zones of the requests.
     */
    void addRefused(double addedMachines, boolean mayUseOnDemand) {
        onDemandMachines += mayUseOnDemand ? addedMachines : 0;
    }

    /** Adds machines for the short jobs behind the top short job. */
    void addShortBacklog(double addedMachines) {
        machines += addedMachines;
        onDemandMachines += shortJobsMayUseOnDemand ? addedMachines : 0;
    }
}
