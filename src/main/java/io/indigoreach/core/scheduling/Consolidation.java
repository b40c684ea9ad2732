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
    private static final double AT_ONCE = 0.02;
    /** A task is moved only if it has this many times longer to run than its move takes. */
    private static final double WORTH = 3;

    private final Cluster cluster;
    private final Dispatcher dispatcher;
    private final Estimates estimates;
    private final SafetyTimes rules;

    Consolidation(Cluster cluster, Dispatcher dispatcher, Estimates estimates, SafetyTimes rules) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.estimates = estimates;
        this.rules = rules;
    }

    /** Marks the machines that are to take no new tasks, and those of them that are to be emptied. */
    void plan(Moment now) {
        for (FairShareQueue share : cluster.shares()) {
            plan(share, now);
        }
    }

    private void plan(FairShareQueue share, Moment now) {
        List<Machine> machines = new ArrayList<>();
        for (Machine m : cluster.serving(share)) {
            // Until what was told to save has left it.
            m.emptying &= m.tasks().values().stream().anyMatch(p -> p.stopping);
            m.aside = null;
            if (m.isUsable()
                    && m.accounted
                    && m.seat == null
                    && (m.share != null || cluster.shares().size() == 1)) {
                machines.add(m);
            }
        }
        if (!dispatcher.isSettled() || !dispatcher.fits(share, room(machines), now)) {
            return;
        }
        machines.sort(Comparator.comparing((Machine m) -> m.spare ? 1 : 0)
                .thenComparing(m -> m.pool.spot() ? 0 : 1)
                .thenComparing(m -> -m.used().shareOf(m.type.capacity())));
        empty(share, machines, now);
        for (Machine m : machines) {
            m.aside = m.isIdle() || m.emptying ? share : null;
        }
        share.roomBeside(room(machines));
    }

    /** What is free on machines at work. */
    private static List<Demand> room(List<Machine> machines) {
        return machines.stream().filter(m -> roomOn(m) > 0).map(Machine::free).toList();
    }

    /** Chooses the machines to empty, from the end of the list. */
    private void empty(FairShareQueue share, List<Machine> machines, Moment now) {
        Map<Machine, Demand> free = new HashMap<>();
        double spareRoom = 0;
        for (Machine m : machines) {
            spareRoom += roomOn(m);
        }
        for (Job job : share.jobs()) {
            spareRoom -= job.startable() * job.spec.demand().cores();
        }
        int left = (int) Math.ceil(machines.size() * AT_ONCE);
        for (int i = machines.size() - 1; i > 0 && left > 0; i--) {
            Machine m = machines.get(i);
            // Its tasks take room elsewhere, and its own is no room any more.
            double cost = m.used().cores() + roomOn(m);
            if (m.isIdle()
                    || m.emptying
                    || free.containsKey(m)
                    || spareRoom < cost
                    || !isMovable(m, now)
                    || !place(m, machines.subList(0, i), free)) {
                continue;
            }
            m.emptying = true;
            spareRoom -= cost;
            left--;
        }
    }

    private static double roomOn(Machine m) {
        return m.isIdle() || m.emptying || m.spare ? 0 : m.free().cores();
    }

    /** Not what has hardly run, so that none is moved again and again, nor where a place depends on the job's other tasks. */
    private boolean isMovable(Machine m, Moment now) {
        for (Placement p : m.tasks().values()) {
            Span move = p.job.spec.checkpointTime().plus(rules.report().times(2));
            if (p.state != TaskState.RUNNING
                    || p.stopping
                    || !p.job.spec.savesProgress()
                    || p.job.cancelled
                    || p.job.spec.oneZone()
                    || p.job.spec.spread()
                    || now.since(p.since).compareTo(Dispatcher.LEAST_RUN) < 0
                    || estimates.end(p, now).since(now).compareTo(move.times(WORTH)) < 0) {
                return false;
            }
        }
        return true;
    }

    /** Finds a place for each task of {@code m} on a fuller machine that has its image; all or nothing. */
    private static boolean place(Machine m, List<Machine> fuller, Map<Machine, Demand> free) {
        Map<Machine, Demand> after = new HashMap<>(free);
        for (Placement p : m.tasks().values()) {
            Machine target = null;
            for (Machine t : fuller) {
                if (!t.isIdle()
                        && !t.emptying
                        && !t.spare
                        && t.images.contains(p.job.spec.image())
                        && t.allows(p.job.spec)
                        && !FaultAttribution.bars(p.job, t)
                        && p.demand().fitsIn(after.getOrDefault(t, t.free()))) {
                    target = t;
                    break;
                }
            }
            if (target == null) {
                return false;
            }
            after.put(target, after.getOrDefault(target, target.free()).minus(p.demand()));
        }
        free.putAll(after);
        return true;
    }

    /** Stops for a machine that is to be emptied; what is stopped waits for a machine that has its image. */
    List<WorkerCommand> orders(Machine m, Moment now) {
        List<WorkerCommand> orders = new ArrayList<>();
        if (m.emptying && isMovable(m, now) && dispatcher.isAside(m, now)) {
            for (Placement p : m.tasksCopy()) {
                p.stopping = true;
                p.job.leftToHoldersUntil = now.plus(rules.report().times(3)).plus(p.job.spec.checkpointTime());
                orders.add(new WorkerCommand.Stop(
                        p.task(), p.attempt, p.job.spec.checkpointTime().times(2)));
            }
        }
        return orders;
    }
}
