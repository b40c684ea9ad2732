package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;

/**
 * A machine's membership of a warm pool: it is paid for by that pool alone, holds that pool's image, and admits other tasks only
 * if they neither evict the image nor delay a replica's start. A machine has one membership at most, so no two pools pay
 * for it, and two images that do not fit one cache are never required together.
 */
public final class PoolMembership {
    private final String pool;
    private final String image;
    private final double imageGb;
    private final Demand replica;
    private Job holder;
    private Span longestOtherTask = Span.ZERO;
    private boolean ended;

    /** Membership in a pool that holds an image of {@code gb} gigabytes ahead of replicas which take {@code replica} each. */
    public PoolMembership(String pool, String image, double gb, Demand replica) {
        this.pool = pool;
        this.image = image;
        this.imageGb = gb;
        this.replica = replica;
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

    /** The job whose task may hold the image here now; null if none may. */
    public Job holder() {
        return ended ? null : holder;
    }

    public void holder(Job job) {
        holder = job;
    }

    public void longestOtherTask(Span span) {
        longestOtherTask = span;
    }

    /** The pool no longer pays. The image stays protected until that is recorded, as a later leader would claim it by the record. */
    public void end() {
        ended = true;
    }

    public boolean isEnded() {
        return ended;
    }

    /**
     * Whether a task may start on the machine: the model's replicas in any case; others once the image is here (a second
     * fetch would share its rate), where theirs fits beside it, and where they leave room for a replica or, by twice the
     * owner's estimate, are gone before one is expected.
     */
    public boolean admits(JobSpec spec, ImageCache cache, Demand free) {
        if (spec.image().equals(image)) {
            return true;
        }
        boolean leavesRoom = replica.fitsIn(free.minus(spec.demand()))
                || (!spec.isService() && spec.estimate().times(2).compareTo(longestOtherTask) <= 0);
        return leavesRoom && cache.isCached(image) && cache.hasRoomWithoutEvicting(image, spec.image(), spec.imageGb());
    }
}
