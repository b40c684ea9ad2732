package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;

/** Starts and stops the holder tasks that keep the images of warm pools on their machines. */
final class HolderPlacement {
    /** Holders whose start bound is raised at once. */
    private static final int HOLDERS_PER_START_BOUND = 50;

    private final Cluster cluster;
    private final PlacementRules rules;
    private final TaskStarter starter;

    HolderPlacement(Cluster cluster, PlacementRules rules, TaskStarter starter) {
        this.cluster = cluster;
        this.rules = rules;
        this.starter = starter;
    }

    /** A holder runs where a machine belongs to a warm pool and nothing else keeps the image; elsewhere it is stopped. */
    void reconcile(CommandBatch batch) {
        Machine machine = batch.machine();
        Job due = machine.poolMembership == null ? null : machine.poolMembership.holder();
        Placement running = machine.holder();
        if (running != null && cluster.warmCapacity.isMembershipKnown() && isMisplaced(running, due)) {
            // Started anew, it shows that its image is here, or fetches it, and the image counts as used last.
            batch.stop(running);
        } else if (due != null && isNeeded(due, machine) && mayStartOn(due, machine, batch.now())) {
            if (due.isWithinStartBound()) {
                starter.start(due, batch);
            } else {
                due.requestStartBoundFor(HOLDERS_PER_START_BOUND);
            }
        }
    }

    /** It is not the holder that is due, or the machine's cache has lost its image or is about to evict it. */
    private static boolean isMisplaced(Placement running, Job due) {
        ImageCache cache = running.machine.imageCache;
        String image = running.job.spec.image();
        return running.job != due || (running.isRunning() && (!cache.isCached(image) || cache.isCrowded(image)));
    }

    private static boolean isNeeded(Job holder, Machine machine) {
        return !holder.isCancelled() && !machine.hasTaskWith(machine.poolMembership.image()) && holder.hasStartable();
    }

    private boolean mayStartOn(Job holder, Machine machine, Moment now) {
        return rules.mayStart(holder, now)
                && !holder.isSuspectedFaulty()
                && FaultAttribution.allows(holder, machine, now)
                && machine.allows(holder.spec)
                && holder.spec.demand().fitsIn(machine.free())
                && rules.isPlaceable(holder, machine);
    }
}
