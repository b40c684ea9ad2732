package io.indigoreach.core.scheduling;

/** The work of one machine type's queue, added up in the order of the queue, in seconds of a whole machine. */
final class Backlog {
    final CapacityForecast spot;
    final CapacityForecast onDemand;
    /** Machines busy all the time with jobs whose objectives are too near to scale out for them. */
    final double arrivalLoad;

    private double work;
    private double onDemandNeeded;

    Backlog(CapacityForecast spot, CapacityForecast onDemand, double arrivalLoad) {
        this.spot = spot;
        this.onDemand = onDemand;
        this.arrivalLoad = arrivalLoad;
    }

    /** On-demand machines that are needed so that everything added so far starts in time for its objectives. */
    double onDemandNeeded() {
        return onDemandNeeded;
    }

    void add(double machineSeconds) {
        work += machineSeconds;
    }

    /**
     * Raises the need to what starts the work added so far in time.
     *
     * @param secondsLeft seconds until that work should have started
     * @param bootSeconds seconds that a machine takes to boot
     * @param minimumPaidSeconds seconds that a machine is paid for in any case
     * @param laterMachines machines kept busy by work that comes later and goes before it
     */
    void mustStartWithin(double secondsLeft, double bootSeconds, double minimumPaidSeconds, double laterMachines) {
        double usefulSeconds = secondsLeft - bootSeconds;
        double missing = work + laterMachines * secondsLeft - spot.until(secondsLeft);
        if (usefulSeconds <= 0 || missing <= 0) {
            return;
        }
        double present = onDemand.until(secondsLeft);
        // A machine is worth renting if it finds work for the time that is paid in any case.
        double more = Math.max(0, missing - present) / Math.max(usefulSeconds, minimumPaidSeconds);
        double used = onDemand.machines() * (present > 0 ? Math.min(1, missing / present) : 1);
        onDemandNeeded = Math.max(onDemandNeeded, more + used);
    }

    /** Raises the need to what serves the whole queue within {@code limitSeconds}, and the arriving near objectives. */
    void mustBeServedWithin(double limitSeconds) {
        double whole = Math.floor(work / limitSeconds) - spot.machines();
        onDemandNeeded = Math.max(onDemandNeeded, Math.max(whole, arrivalLoad - spot.machines()));
    }

    /**
     * Machines for short jobs' work, in seconds of a whole machine, that the busy ones do not come to within the wait
     * limit. What is idle or booting is left out here, as it is taken off the whole need.
     */
    double machinesForShortWork(double shortWork, double waitLimitSeconds, double minimumPaidSeconds) {
        double served = spot.busyUntil(waitLimitSeconds) + onDemand.busyUntil(waitLimitSeconds);
        return Math.max(0, shortWork - served) / minimumPaidSeconds;
    }
}
