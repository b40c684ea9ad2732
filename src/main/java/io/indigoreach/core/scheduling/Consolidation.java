package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import io.indigoreach.core.model.WorkerCommand;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Moves tasks together when little waits. As a queue runs dry, tasks end here and there, and what is left keeps machines
 * half used for minutes: a sixth to a fifth of what two fleets paid for was idle then. Tasks that keep their progress are
 * stopped on the emptiest machines, those kept for no need and the dearest first, where fuller ones have room for them
 * and their image; the machines so emptied take no new tasks and are returned at the end of their term, as any idle one.
 * The protocol allows stopping a task to drain a machine.
 */
final class Consolidation {
    /** Part of the machines that may be emptied between two checks: what was moved is seen to run before more is. */
    private static final double MAX_DRAINING_FRACTION = 0.02;
    /** A task is moved only if it has this many times longer to run than its move takes. */
    private static final double MIN_REMAINING_PER_MOVE = 3;

    private final Cluster cluster;
    private final DispatchRules rules;
    private final Estimates estimates;
    private final SafetyTimes safetyTimes;

    Consolidation(Cluster cluster, DispatchRules rules, Estimates estimates, SafetyTimes safetyTimes) {
        this.cluster = cluster;
        this.rules = rules;
        this.estimates = estimates;
        this.safetyTimes = safetyTimes;
    }

    /** Marks the machines that are to take no new tasks, and those of them that are to be emptied. */
    void plan(Moment now) {
        for (FairShareQueue queue : cluster.queues()) {
            plan(queue, now);
        }
    }

    private void plan(FairShareQueue queue, Moment now) {
        List<Machine> machines = new ArrayList<>();
        for (Machine machine : cluster.machinesServing(queue)) {
            // Until the tasks that were stopped have left it.
            machine.endDrainingIfNoneStopping();
            machine.uncordon();
            if (machine.isUsable()
                    && machine.reconciled
                    && machine.poolMembership == null
                    && (machine.queueName != null || cluster.queues().size() == 1)) {
                machines.add(machine);
            }
        }
        if (!rules.placement().isFailoverComplete() || !rules.cordons().fitsIn(queue, room(machines), now)) {
            return;
        }
        machines.sort(Comparator.comparing((Machine machine) -> machine.surplus ? 1 : 0)
                .thenComparing(machine -> machine.pool.spot() ? 0 : 1)
                .thenComparing(machine -> -machine.usedResources().shareOf(machine.type.capacity())));
        chooseMachinesToDrain(queue, machines, now);
        for (Machine machine : machines) {
            if (machine.isIdle() || machine.draining) {
                machine.cordonFor(queue);
            }
        }
        queue.roomOutsideCordon(room(machines));
    }

    /** What is free on machines at work. */
    private static List<Demand> room(List<Machine> machines) {
        return machines.stream()
                .filter(machine -> roomOn(machine) > 0)
                .map(Machine::freeResources)
                .toList();
    }

    /** Chooses the machines to empty, from the end of the list. */
    private void chooseMachinesToDrain(FairShareQueue queue, List<Machine> machines, Moment now) {
        Map<Machine, Demand> free = new HashMap<>();
        double unclaimedCores = 0;
        for (Machine machine : machines) {
            unclaimedCores += roomOn(machine);
        }
        for (Job job : queue.jobs()) {
            unclaimedCores -= job.startableCount() * job.spec.demand().cores();
        }
        int left = (int) Math.ceil(machines.size() * MAX_DRAINING_FRACTION);
        for (int i = machines.size() - 1; i > 0 && left > 0; i--) {
            Machine machine = machines.get(i);
            // Its tasks take room elsewhere, and its own is no room any more.
            double cost = machine.usedResources().cores() + roomOn(machine);
            if (machine.isIdle()
                    || machine.draining
                    || free.containsKey(machine)
                    || unclaimedCores < cost
                    || !isMovable(machine, now)
                    || !reserveTargets(machine, machines.subList(0, i), free)) {
                continue;
            }
            machine.beginDraining();
            unclaimedCores -= cost;
            left--;
        }
    }

    private static double roomOn(Machine machine) {
        return machine.isIdle() || machine.draining || machine.surplus
                ? 0
                : machine.freeResources().cores();
    }

    /** Not what has hardly run, so that none is moved again and again, nor where a place depends on the job's other tasks. */
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
        if (!job.spec.savesProgress() || job.spec.oneZone() || job.spec.spread()) {
            return false;
        }
        Span move = job.spec.checkpointTime().plus(safetyTimes.heartbeatPeriod().times(2));
        return now.since(placement.stateSince).compareTo(Preemption.MINIMUM_RUN) >= 0
                && estimates.end(placement, now).since(now).compareTo(move.times(MIN_REMAINING_PER_MOVE)) >= 0;
    }

    /** Finds a place for each task of the machine on a fuller machine that has its image; all or nothing. */
    private static boolean reserveTargets(Machine machine, List<Machine> fuller, Map<Machine, Demand> free) {
        Map<Machine, Demand> after = new HashMap<>(free);
        for (Placement placement : machine.placements().values()) {
            Machine target = null;
            for (Machine candidate : fuller) {
                if (isTarget(candidate, placement.job)
                        && placement.demand().fitsIn(after.getOrDefault(candidate, candidate.freeResources()))) {
                    target = candidate;
                    break;
                }
            }
            if (target == null) {
                return false;
            }
            after.put(target, after.getOrDefault(target, target.freeResources()).minus(placement.demand()));
        }
        free.putAll(after);
        return true;
    }

    private static boolean isTarget(Machine machine, Job job) {
        boolean keepsTasks = !machine.isIdle() && !machine.draining && !machine.surplus;
        return keepsTasks
                && machine.imageCache.contains(job.spec.image())
                && machine.allows(job.spec)
                && !FaultTracker.isExcluded(job, machine);
    }

    /** Stops for a machine that is to be emptied; what is stopped waits for a machine that has its image. */
    List<WorkerCommand> drainCommands(Machine machine, Moment now) {
        List<WorkerCommand> commands = new ArrayList<>();
        if (machine.draining && isMovable(machine, now) && rules.cordons().isCordoned(machine, now)) {
            for (Placement placement : machine.placementsCopy()) {
                placement.job.awaitImageLocality(
                        now.plus(safetyTimes.heartbeatPeriod().times(3)).plus(placement.job.spec.checkpointTime()));
                commands.add(CommandBatch.stopWithCheckpoint(placement));
            }
        }
        return commands;
    }
}
