package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;

/**
 * Forecasts how much work the spot or on-demand machines of one type can do for a queue. It counts running machines,
 * less the remaining work of their current tasks, and booting machines. The share of a machine that service replicas
 * hold does not count as capacity.
 *
 * @param upMachines running machines, without the shares that replicas hold
 * @param idleMachines running machines that have no tasks
 * @param busyMachineSeconds remaining work on the running machines, in machine seconds
 * @param bootingMachines machines that are booting
 * @param remainingBootSeconds sum of the remaining boot times
 */
record CapacityForecast(
        double upMachines,
        double idleMachines,
        double busyMachineSeconds,
        int bootingMachines,
        double remainingBootSeconds) {
    static CapacityForecast of(
            Cluster cluster,
            FairShareQueue queue,
            MachineType type,
            boolean spot,
            Estimates estimates,
            double bootPatience,
            Moment now) {
        double upMachines = 0;
        double idleMachines = 0;
        int bootingMachines = 0;
        double busyMachineSeconds = 0;
        double remainingBootSeconds = 0;
        for (Machine machine : cluster.machinesServing(queue)) {
            if (!matches(machine, type, spot)) {
                continue;
            }
            if (machine.isHealthy()) {
                upMachines += 1 - shareHeldByReplicas(machine);
                idleMachines += machine.isIdle() ? 1 : 0;
                for (Placement placement : machine.placements().values()) {
                    busyMachineSeconds += placement.job.spec.isService()
                            ? 0
                            : remainingMachineSeconds(placement, type, estimates, now);
                }
            } else if (machine.isBooting(now, bootPatience)) {
                bootingMachines++;
                remainingBootSeconds += Math.max(
                        0, machine.rentedAt.plus(type.bootTime()).since(now).seconds());
            }
        }
        return new CapacityForecast(
                upMachines, idleMachines, busyMachineSeconds, bootingMachines, remainingBootSeconds);
    }

    private static boolean matches(Machine machine, MachineType type, boolean spot) {
        return machine.pool.type().equals(type.name()) && machine.pool.spot() == spot && machine.poolMembership == null;
    }

    private static double remainingMachineSeconds(
            Placement placement, MachineType type, Estimates estimates, Moment now) {
        return estimates.expectedEnd(placement, now).since(now).seconds()
                / Math.max(1, placement.demand().countFittingIn(type.capacity()));
    }

    /** Returns the share of a machine that service replicas hold, which does not come free by itself. */
    static double shareHeldByReplicas(Machine machine) {
        double heldShare = 0;
        for (Placement placement : machine.placements().values()) {
            heldShare +=
                    placement.job.spec.isService() ? placement.demand().dominantShareOf(machine.type.capacity()) : 0;
        }
        return Math.min(1, heldShare);
    }

    double machines() {
        return upMachines + bootingMachines;
    }

    /** Returns the machine seconds of new work that all machines can do within {@code seconds} from now. */
    double machineSecondsWithin(double seconds) {
        return Math.max(0, upMachines * seconds - busyMachineSeconds)
                + (bootingMachines == 0
                        ? 0
                        : bootingMachines * Math.max(0, seconds - remainingBootSeconds / bootingMachines));
    }

    /** Returns the machine seconds of new work that the machines with tasks can do within {@code seconds} from now. */
    double busyMachineSecondsWithin(double seconds) {
        return Math.max(0, (upMachines - idleMachines) * seconds - busyMachineSeconds);
    }
}
