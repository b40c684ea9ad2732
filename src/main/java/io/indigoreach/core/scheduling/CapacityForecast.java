package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;

/**
 * What the machines of one type and price kind can do for a queue: those that are up, less what runs on them, and those
 * that are booting. A machine counts less the part that replicas hold.
 *
 * @param up machines that are up
 * @param idle those of them that have no tasks
 * @param busySeconds work left on those that are up, in seconds of a whole machine
 * @param booting machines that are booting
 * @param bootSeconds what is left of their boot times, in all
 */
record CapacityForecast(double up, double idle, double busySeconds, int booting, double bootSeconds) {
    static CapacityForecast of(
            Cluster cluster,
            FairShareQueue queue,
            MachineType type,
            boolean spot,
            Estimates estimates,
            double bootPatience,
            Moment now) {
        double up = 0;
        double idle = 0;
        int booting = 0;
        double busySeconds = 0;
        double bootSeconds = 0;
        for (Machine machine : cluster.machinesServing(queue)) {
            if (!isOfKind(machine, type, spot)) {
                continue;
            }
            if (machine.isHealthy()) {
                up += 1 - heldByReplicas(machine);
                idle += machine.isIdle() ? 1 : 0;
                for (Placement placement : machine.placements().values()) {
                    busySeconds += placement.job.spec.isService() ? 0 : secondsLeft(placement, type, estimates, now);
                }
            } else if (machine.isBooting(now, bootPatience)) {
                booting++;
                bootSeconds += Math.max(
                        0, machine.rentedAt.plus(type.boot()).since(now).seconds());
            }
        }
        return new CapacityForecast(up, idle, busySeconds, booting, bootSeconds);
    }

    private static boolean isOfKind(Machine machine, MachineType type, boolean spot) {
        return machine.pool.type().equals(type.name()) && machine.pool.spot() == spot && machine.poolMembership == null;
    }

    private static double secondsLeft(Placement placement, MachineType type, Estimates estimates, Moment now) {
        return estimates.expectedEnd(placement, now).since(now).seconds()
                / Math.max(1, placement.demand().timesIn(type.capacity()));
    }

    /** The part of a machine that replicas hold: it does not come free by itself. */
    static double heldByReplicas(Machine machine) {
        double held = 0;
        for (Placement placement : machine.placements().values()) {
            held += placement.job.spec.isService() ? placement.demand().shareOf(machine.type.capacity()) : 0;
        }
        return Math.min(1, held);
    }

    double machines() {
        return up + booting;
    }

    /** Seconds of a whole machine that all can work until so many seconds from now. */
    double until(double seconds) {
        return Math.max(0, up * seconds - busySeconds)
                + (booting == 0 ? 0 : booting * Math.max(0, seconds - bootSeconds / booting));
    }

    /** The same of the machines that have tasks only. */
    double busyUntil(double seconds) {
        return Math.max(0, (up - idle) * seconds - busySeconds);
    }
}
