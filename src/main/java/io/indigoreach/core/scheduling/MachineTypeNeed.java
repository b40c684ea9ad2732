package io.indigoreach.core.scheduling;

/** How many machines of one type a queue needs, by what its jobs accept. */
final class MachineTypeNeed {
    /** The first job in the queue that may use spot machines, and the first that may not; null if there is none. */
    Job firstSpotJob;

    Job firstOnDemandOnlyJob;
    double machines;
    /** Of the machines, those for jobs that do not wait for spot capacity. */
    double onDemandMachines;
    /** Of these, those for jobs that may not use spot machines. */
    double onDemandOnlyMachines;
    /** Of the machines, those for the top short job. */
    double topShortMachines;
    /** The top short job does not wait for spot capacity, nor then do those behind it. */
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

    /** The need of a job whose pools have all just refused: it does not say in which zones machines are requested. */
    void addRefused(double addedMachines, boolean mayUseOnDemand) {
        onDemandMachines += mayUseOnDemand ? addedMachines : 0;
    }

    /** Machines for the short jobs behind the top one. */
    void addShortBacklog(double addedMachines) {
        machines += addedMachines;
        onDemandMachines += shortJobsMayUseOnDemand ? addedMachines : 0;
    }
}
