package io.indigoreach.core.scheduling;

/**
 * Sums the waiting work for one machine type in queue order, in machine seconds, and the on-demand machines it needs.
 */
final class Backlog {
    final CapacityForecast spotCapacity;
    final CapacityForecast onDemandCapacity;
    /** Machines kept busy by arriving jobs whose objectives fall due before a rented machine would be up. */
    final double arrivalLoad;

    private double waitingWork;
    private double onDemandNeeded;

    Backlog(CapacityForecast spotCapacity, CapacityForecast onDemandCapacity, double arrivalLoad) {
        this.spotCapacity = spotCapacity;
        this.onDemandCapacity = onDemandCapacity;
        this.arrivalLoad = arrivalLoad;
    }

    /**
     * Returns how many on-demand machines are needed so that all work added so far starts in time for its objectives.
     */
    double onDemandNeeded() {
        return onDemandNeeded;
    }

    void addWork(double machineSeconds) {
        waitingWork += machineSeconds;
    }

    /**
     * Raises the need so that the work added so far starts in time.
     *
     * @param secondsLeft seconds until the latest start of that work
     * @param bootSeconds seconds that a machine takes to boot
     * @param minimumPaidSeconds minimum time that a rented machine is paid for
     * @param laterMachines machines occupied by work that arrives later but takes precedence
     */
    void requireStartWithin(double secondsLeft, double bootSeconds, double minimumPaidSeconds, double laterMachines) {
        double usefulSeconds = secondsLeft - bootSeconds;
        double missingWork = waitingWork + laterMachines * secondsLeft - spotCapacity.machineSecondsWithin(secondsLeft);
        if (usefulSeconds <= 0 || missingWork <= 0) {
            return;
        }
        double onDemandWork = onDemandCapacity.machineSecondsWithin(secondsLeft);
        // A machine is worth renting only if there is work for its minimum paid time.
        double newMachines = Math.max(0, missingWork - onDemandWork) / Math.max(usefulSeconds, minimumPaidSeconds);
        double usedMachines =
                onDemandCapacity.machines() * (onDemandWork > 0 ? Math.min(1, missingWork / onDemandWork) : 1);
        onDemandNeeded = Math.max(onDemandNeeded, newMachines + usedMachines);
    }

    /**
     * Raises the need so that the whole queue is served within {@code limitSeconds}, and the arrival load at any time.
     */
    void requireServedWithin(double limitSeconds) {
        double machinesForQueue = Math.floor(waitingWork / limitSeconds) - spotCapacity.machines();
        onDemandNeeded = Math.max(onDemandNeeded, Math.max(machinesForQueue, arrivalLoad - spotCapacity.machines()));
    }

    /**
     * Returns the machines for short work, given in machine seconds, that the busy machines cannot begin within the
     * wait limit. Idle and booting machines do not count here, because they are subtracted from the total need.
     */
    double machinesForShortWork(double shortWork, double waitLimitSeconds, double minimumPaidSeconds) {
        double servedWork = spotCapacity.busyMachineSecondsWithin(waitLimitSeconds)
                + onDemandCapacity.busyMachineSecondsWithin(waitLimitSeconds);
        return Math.max(0, shortWork - servedWork) / minimumPaidSeconds;
    }
}
