package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;

/** Starts and stops the holder tasks that keep the images of warm pools on their machines. */
final class HolderPlacement {
    /** The number of startable holder tasks that a raised start bound covers. */
    private static final int HOLDERS_PER_START_BOUND = 50;

    private final Cluster cluster;
    private final PlacementRules rules;
    private final TaskStarter starter;

    HolderPlacement(Cluster cluster, PlacementRules rules, TaskStarter starter) {
        this.cluster = cluster;
        this.rules = rules;
        this.starter = starter;
    }

    /**
     * Starts the pool's holder if the machine belongs to a warm pool and no task there keeps the image; stops misplaced
     * holders.
     */
    void reconcile(CommandBatch batch) {
        Machine machine = batch.machine();
        Job poolHolder = machine.poolMembership == null ? null : machine.poolMembership.holder();
        Placement running = machine.holder();
        if (running != null && cluster.warmCapacity.isMembershipKnown() && isMisplaced(running, poolHolder)) {
            // A restarted holder confirms or fetches the image, which becomes the most recently used one.
            batch.addStop(running);
        } else if (poolHolder != null
                && isNeeded(poolHolder, machine)
                && mayStartOn(poolHolder, machine, batch.now())) {
            if (poolHolder.isWithinStartBound()) {
                starter.start(poolHolder, batch);
            } else {
                poolHolder.requestStartBoundFor(HOLDERS_PER_START_BOUND);
            }
        }
    }

    /**
     * Whether the holder belongs to another pool, or the machine's cache has lost its image or is about to evict it.
     */
    private static boolean isMisplaced(Placement running, Job poolHolder) {
        ImageCache cache = running.machine.imageCache;
        String image = running.job.spec.image();
        return running.job != poolHolder
                || (running.isRunning() && (!cache.isCached(image) || cache.isEvictionLikely(image)));
    }

    private static boolean isNeeded(Job holder, Machine machine) {
        return !holder.isCancelled()
                && !machine.hasTaskWithImage(machine.poolMembership.image())
                && holder.hasStartable();
    }

    private boolean mayStartOn(Job holder, Machine machine, Moment now) {
        return rules.mayStart(holder, now)
                && !holder.isSuspectedFaulty()
                && FaultTracker.isAllowed(holder, machine, now)
                && machine.allows(holder.spec)
                && holder.spec.demand().fitsIn(machine.freeResources())
                && rules.isPlaceable(holder, machine);
    }
}
