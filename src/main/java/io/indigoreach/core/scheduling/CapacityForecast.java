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

    /** The part of a machine that replicas hold: it does not come free by itself. */
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

    /** Seconds of a whole machine that all can work until so many seconds from now. */
    double machineSecondsWithin(double seconds) {
        return Math.max(0, upMachines * seconds - busyMachineSeconds)
                + (bootingMachines == 0
                        ? 0
                        : bootingMachines * Math.max(0, seconds - remainingBootSeconds / bootingMachines));
    }

    /** The same of the machines that have tasks only. */
    double busyMachineSecondsWithin(double seconds) {
        return Math.max(0, (upMachines - idleMachines) * seconds - busyMachineSeconds);
    }
}
