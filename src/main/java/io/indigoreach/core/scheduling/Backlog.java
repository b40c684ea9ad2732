package io.indigoreach.core.scheduling;

/** The work of one machine type's queue, added up in the order of the queue, in seconds of a whole machine. */
final class Backlog {
    final CapacityForecast spotCapacity;
    final CapacityForecast onDemandCapacity;
    /** Machines busy all the time with jobs whose objectives are too near to scale out for them. */
    final double arrivalLoad;

    private double waitingWork;
    private double onDemandNeeded;

    Backlog(CapacityForecast spotCapacity, CapacityForecast onDemandCapacity, double arrivalLoad) {
        this.spotCapacity = spotCapacity;
        this.onDemandCapacity = onDemandCapacity;
        this.arrivalLoad = arrivalLoad;
    }

    /** On-demand machines that are needed so that everything added so far starts in time for its objectives. */
    double onDemandNeeded() {
        return onDemandNeeded;
    }

    void addWork(double machineSeconds) {
        waitingWork += machineSeconds;
    }

    /**
     * Raises the need to what starts the work added so far in time.
     *
     * @param secondsLeft seconds until that work should have started
     * @param bootSeconds seconds that a machine takes to boot
     * @param minimumPaidSeconds seconds that a machine is paid for in any case
     * @param laterMachines machines kept busy by work that comes later and goes before it
     */
    void requireStartWithin(double secondsLeft, double bootSeconds, double minimumPaidSeconds, double laterMachines) {
        double usefulSeconds = secondsLeft - bootSeconds;
        double missingWork = waitingWork + laterMachines * secondsLeft - spotCapacity.machineSecondsWithin(secondsLeft);
        if (usefulSeconds <= 0 || missingWork <= 0) {
            return;
        }
        double onDemandWork = onDemandCapacity.machineSecondsWithin(secondsLeft);
        // A machine is worth renting if it finds work for the time that is paid in any case.
        double newMachines = Math.max(0, missingWork - onDemandWork) / Math.max(usefulSeconds, minimumPaidSeconds);
        double usedMachines =
                onDemandCapacity.machines() * (onDemandWork > 0 ? Math.min(1, missingWork / onDemandWork) : 1);
        onDemandNeeded = Math.max(onDemandNeeded, newMachines + usedMachines);
    }

    /** Raises the need to what serves the whole queue within {@code limitSeconds}, and the arriving near objectives. */
    void requireServedWithin(double limitSeconds) {
        double machinesForQueue = Math.floor(waitingWork / limitSeconds) - spotCapacity.machines();
        onDemandNeeded = Math.max(onDemandNeeded, Math.max(machinesForQueue, arrivalLoad - spotCapacity.machines()));
    }

    /**
     * Machines for short jobs' work, in seconds of a whole machine, that the busy ones do not come to within the wait
     * limit. What is idle or booting is left out here, as it is taken off the whole need.
     */
    double machinesForShortWork(double shortWork, double waitLimitSeconds, double minimumPaidSeconds) {
        double servedWork = spotCapacity.busyMachineSecondsWithin(waitLimitSeconds)
                + onDemandCapacity.busyMachineSecondsWithin(waitLimitSeconds);
        return Math.max(0, shortWork - servedWork) / minimumPaidSeconds;
    }
}
