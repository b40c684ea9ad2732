package io.indigoreach.core.scheduling;

/**
 * Sums the waiting work for one machine type in queue order, in machine seconds, and the on-demand machines it needs.
 */
final class Backlog {
    final CapacityForecast spot;
    final CapacityForecast onDemand;
    /** Machines kept busy by arriving jobs whose objectives fall due before a rented machine would be up. */
    final double arrivalLoad;

    private double work;
    private double onDemandNeeded;

    Backlog(CapacityForecast spot, CapacityForecast onDemand, double arrivalLoad) {
        this.spot = spot;
        this.onDemand = onDemand;
        this.arrivalLoad = arrivalLoad;
    }

    /**
     * Returns how many on-demand machines are needed so that all work added so far starts in time for its objectives.
     */
    double onDemandNeeded() {
        return onDemandNeeded;
    }

    void add(double machineSeconds) {
        work += machineSeconds;
    }

    /**
     * Raises the need so that the work added so far starts in time.
     *
     * @param secondsLeft seconds until the latest start of that work
     * @param bootSeconds seconds that a machine takes to boot
     * @param minimumPaidSeconds minimum time that a rented machine is paid for
     * @param laterMachines machines kept busy by work that arrives later and goes first
     */
    void mustStartWithin(double secondsLeft, double bootSeconds, double minimumPaidSeconds, double laterMachines) {
        double usefulSeconds = secondsLeft - bootSeconds;
        double missing = work + laterMachines * secondsLeft - spot.until(secondsLeft);
        if (usefulSeconds <= 0 || missing <= 0) {
            return;
        }
        double present = onDemand.until(secondsLeft);
        // A machine is worth renting only if there is work for its minimum paid time.
        double more = Math.max(0, missing - present) / Math.max(usefulSeconds, minimumPaidSeconds);
        double used = onDemand.machines() * (present > 0 ? Math.min(1, missing / present) : 1);
        onDemandNeeded = Math.max(onDemandNeeded, more + used);
    }

    /**
     * Raises the need so that the whole queue is served within {@code limitSeconds}, and the arrival load at any time.
     */
    void mustBeServedWithin(double limitSeconds) {
        double whole = Math.floor(work / limitSeconds) - spot.machines();
        onDemandNeeded = Math.max(onDemandNeeded, Math.max(whole, arrivalLoad - spot.machines()));
    }

    /**
     * Returns the machines for short work, given in machine seconds, that the busy machines cannot begin within the
     * wait limit. Idle and booting machines do not count here, because they are subtracted from the total need.
     */
    double machinesForShortWork(double shortWork, double waitLimitSeconds, double minimumPaidSeconds) {
        double served = spot.busyUntil(waitLimitSeconds) + onDemand.busyUntil(waitLimitSeconds);
        return Math.max(0, shortWork - served) / minimumPaidSeconds;
    }
}
