package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Moves tasks onto fewer machines while few tasks wait. When a queue empties, tasks end at different times, and the
 * remaining ones keep many machines partly used for minutes: in two deployments a sixth to a fifth of the paid capacity
 * was idle at such times. Consolidation stops tasks that save their progress on the least used machines, surplus and
 * on-demand machines first, if fuller machines have room for the tasks and have their images cached. Drained machines
 * get no new tasks and are returned at the end of their paid term like any idle machine. The worker protocol allows
 * stopping a task to drain its machine.
 */
final class ConsolidationPolicy {
    /**
     * Fraction of the machines that may start draining per check, so that moved tasks run again before others are
     * moved.
     */
    private static final double MAX_DRAINING_FRACTION = 0.02;
    /** A task is moved only if its remaining run time is at least this multiple of the time that the move takes. */
    private static final double MIN_REMAINING_PER_MOVE = 3;

    private final Cluster cluster;
    private final DispatchRules rules;
    private final Estimates estimates;
    private final SafetyTimes safetyTimes;

    ConsolidationPolicy(Cluster cluster, DispatchRules rules, Estimates estimates, SafetyTimes safetyTimes) {
        this.cluster = cluster;
        this.rules = rules;
        this.estimates = estimates;
        this.safetyTimes = safetyTimes;
    }

    /** Cordons the machines that need no new tasks, and chooses which of them to drain. */
    void planDraining(Moment now) {
        for (FairShareQueue queue : cluster.queues()) {
            planDraining(queue, now);
        }
    }

    private void planDraining(FairShareQueue queue, Moment now) {
        List<Machine> machines = new ArrayList<>();
        for (Machine machine : cluster.machinesServing(queue)) {
            // A draining machine stays in that state until all tasks that were stopped on it have exited.
            machine.endDrainingIfNoneStopping();
            machine.uncordon();
            if (machine.isUsable()
                    && machine.reconciled
                    && machine.poolMembership == null
                    && (machine.queueName != null || cluster.queues().size() == 1)) {
                machines.add(machine);
            }
        }
        if (!rules.placement().isFailoverComplete() || !rules.cordons().fitsIn(queue, freeResources(machines), now)) {
            return;
        }
        machines.sort(Comparator.comparing((Machine machine) -> machine.surplus ? 1 : 0)
                .thenComparing(machine -> machine.pool.spot() ? 0 : 1)
                .thenComparing(machine -> -machine.usedResources().dominantShareOf(machine.type.capacity())));
        chooseMachinesToDrain(queue, machines, now);
        for (Machine machine : machines) {
            if (machine.isIdle() || machine.draining) {
                machine.cordonFor(queue);
            }
        }
        queue.freeOutsideCordon(freeResources(machines));
    }

    /** Returns the free resources of each machine that runs tasks and takes new ones. */
    private static List<Resources> freeResources(List<Machine> machines) {
        return machines.stream()
                .filter(machine -> freeCores(machine) > 0)
                .map(Machine::freeResources)
                .toList();
    }

    /** Chooses the machines to drain, starting at the end of the list. */
    private void chooseMachinesToDrain(FairShareQueue queue, List<Machine> machines, Moment now) {
        Map<Machine, Resources> freeAfterMoves = new HashMap<>();
        double unclaimedCores = 0;
        for (Machine machine : machines) {
            unclaimedCores += freeCores(machine);
        }
        TeamLimitCounter counter = TeamLimitCounter.ofTasksThatMayStartNow(cluster);
        for (Job job : queue.jobs()) {
            unclaimedCores -=
                    counter.count(job, job.startableCount()) * job.spec.demand().cores();
        }
        int remaining = (int) Math.ceil(machines.size() * MAX_DRAINING_FRACTION);
        for (int i = machines.size() - 1; i > 0 && remaining > 0; i--) {
            Machine machine = machines.get(i);
            // Draining uses cores on other machines and makes the machine's own free cores unavailable.
            double requiredCores = machine.usedResources().cores() + freeCores(machine);
            if (machine.isIdle()
                    || machine.draining
                    || freeAfterMoves.containsKey(machine)
                    || unclaimedCores < requiredCores
                    || !isMovable(machine, now)
                    || !reserveTargets(machine, machines.subList(0, i), freeAfterMoves)) {
                continue;
            }
            machine.beginDraining();
            unclaimedCores -= requiredCores;
            remaining--;
        }
    }

    private static double freeCores(Machine machine) {
        return machine.isIdle() || machine.draining || machine.surplus
                ? 0
                : machine.freeResources().cores();
    }

    /**
     * Returns whether all tasks of the machine can be moved. A task that started recently is not moved, so that no task
     * is moved repeatedly. Tasks that would lose their progress, that end soon, or whose placement depends on the other
     * tasks of their job are not moved either.
     */
    private boolean isMovable(Machine machine, Moment now) {
        for (Placement placement : machine.placements().values()) {
            if (!isMovable(placement, now)) {
                return false;
            }
        }
        return true;
    }

    private boolean isMovable(Placement placement, Moment now) {
        Job job = placement.job;
        if (placement.state != TaskState.RUNNING || placement.stopping || job.cancelled) {
            return false;
        }
        if (!job.spec.savesCheckpoints() || job.spec.singleZone() || job.spec.spreadOverZones()) {
            return false;
        }
        Span moveTime =
                job.spec.checkpointDuration().plus(safetyTimes.heartbeatPeriod().times(2));
        return now.since(placement.stateSince).compareTo(PreemptionPolicy.MINIMUM_RUN) >= 0
                && estimates.expectedEnd(placement, now).since(now).compareTo(moveTime.times(MIN_REMAINING_PER_MOVE))
                        >= 0;
    }

    /**
     * Reserves room for each task of the machine on a fuller machine that has its image cached. Reserves nothing and
     * returns false if one of the tasks finds no room.
     */
    private static boolean reserveTargets(
            Machine machine, List<Machine> fullerMachines, Map<Machine, Resources> freeAfterMoves) {
        Map<Machine, Resources> reserved = new HashMap<>(freeAfterMoves);
        for (Placement placement : machine.placements().values()) {
            Machine destination = null;
            for (Machine candidate : fullerMachines) {
                if (canReceiveTask(candidate, placement.job)
                        && placement.demand().fitsIn(reserved.getOrDefault(candidate, candidate.freeResources()))) {
                    destination = candidate;
                    break;
                }
            }
            if (destination == null) {
                return false;
            }
            reserved.put(
                    destination,
                    reserved.getOrDefault(destination, destination.freeResources())
                            .minus(placement.demand()));
        }
        freeAfterMoves.putAll(reserved);
        return true;
    }

    private static boolean canReceiveTask(Machine machine, Job job) {
        boolean keepsTasks = !machine.isIdle() && !machine.draining && !machine.surplus;
        return keepsTasks
                && machine.imageCache.contains(job.spec.image())
                && machine.allows(job.spec)
                && !FaultTracker.isExcluded(job, machine);
    }

    /**
     * Returns the commands that stop the tasks of a draining machine. Their jobs then wait for a machine with their
     * image.
     */
    List<WorkerCommand> drainCommands(Machine machine, Moment now) {
        List<WorkerCommand> commands = new ArrayList<>();
        if (machine.draining && isMovable(machine, now) && rules.cordons().isCordoned(machine, now)) {
            for (Placement placement : machine.placementsCopy()) {
                placement.job.awaitImageLocality(
                        now.plus(safetyTimes.heartbeatPeriod().times(3)).plus(placement.job.spec.checkpointDuration()));
                commands.add(CommandBatch.stopWithCheckpoint(placement));
            }
        }
        return commands;
    }
}
