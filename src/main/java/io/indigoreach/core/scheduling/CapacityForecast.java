package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;

/**
 * Forecasts the work that the spot or on-demand machines of one type can do for a queue: the running machines minus the
 * work of their present tasks, and the booting machines. The share of a machine that service replicas hold does not
 * count as capacity.
 *
 * @param up running machines, without the shares that replicas hold
 * @param idle running machines that have no tasks
 * @param busySeconds remaining work on the running machines, in machine seconds
 * @param booting machines that are booting
 * @param bootSeconds sum of the remaining boot times
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
        return estimates.end(placement, now).since(now).seconds()
                / Math.max(1, placement.demand().timesIn(type.capacity()));
    }

    /** Returns the share of a machine that service replicas hold, which does not come free by itself. */
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

    /** Returns the machine seconds of new work that all machines can do within {@code seconds} from now. */
    double until(double seconds) {
        return Math.max(0, up * seconds - busySeconds)
                + (booting == 0 ? 0 : booting * Math.max(0, seconds - bootSeconds / booting));
    }

    /** Returns the machine seconds of new work that the machines with tasks can do within {@code seconds} from now. */
    double busyUntil(double seconds) {
        return Math.max(0, (up - idle) * seconds - busySeconds);
    }
}
