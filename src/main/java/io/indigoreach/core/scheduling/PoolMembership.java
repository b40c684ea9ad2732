package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Span;

/**
 * A machine's membership in a warm pool. The machine's cost is charged only to this pool, and it keeps the pool's image
 * cached. Other tasks are admitted only if they neither evict the image nor delay the start of a replica. A machine has
 * at most one membership: otherwise two pools would pay for it, and their images might not fit into its cache together.
 */
public final class PoolMembership {
    private final String pool;
    private final String image;
    private final double imageGb;
    private final Resources replicaDemand;
    private Job holder;
    private Span maximumOtherTaskTime = Span.ZERO;
    private boolean ended;

    /** Creates a membership in a pool that caches an image of {@code imageGb} gigabytes for replicas of the given demand. */
    public PoolMembership(String pool, String image, double imageGb, Resources replicaDemand) {
        this.pool = pool;
        this.image = image;
        this.imageGb = imageGb;
        this.replicaDemand = replicaDemand;
    }

    public String pool() {
        return pool;
    }

    public String image() {
        return image;
    }

    public double imageGb() {
        return imageGb;
    }

    /** Returns the job whose task may hold the image on this machine now, or null if no job may. */
    public Job holder() {
        return ended ? null : holder;
    }

    public void holder(Job job) {
        holder = job;
    }

    public void maximumOtherTaskTime(Span time) {
        maximumOtherTaskTime = time;
    }

    /**
     * Ends the membership: the pool stops paying. The image stays protected until the end is recorded, because a new
     * leader would assume from the old record that the machine still has it.
     */
    public void end() {
        ended = true;
    }

    public boolean isEnded() {
        return ended;
    }

    /**
     * Returns whether a task may start on the machine. Tasks with the pool's image always may. Other tasks may start
     * only after the image is cached, because a second fetch would slow it down, if their own image fits beside it, and
     * if they leave room for a replica or end within twice their estimate before a replica is expected.
     */
    public boolean admits(JobSpec spec, ImageCache cache, Resources free) {
        if (spec.image().equals(image)) {
            return true;
        }
        boolean leavesRoom = replicaDemand.fitsIn(free.minus(spec.demand()))
                || (!spec.isService() && spec.estimatedRunTime().times(2).compareTo(maximumOtherTaskTime) <= 0);
        return leavesRoom && cache.isCached(image) && cache.hasRoomWithoutEvicting(image, spec.image(), spec.imageGb());
    }
}
