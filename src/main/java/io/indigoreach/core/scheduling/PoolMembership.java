package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;

/**
 * A machine's place in a pool: it is paid for by that pool alone, holds that pool's image, and takes others only as far as
 * neither the image nor a replica's start is spoilt. A machine has one seat at most, so no two pools pay for it, and two
 * images that do not fit one cache never meet.
 */
public final class PoolMembership {
    private final String pool;
    private final String image;
    private final double gb;
    private final Demand replica;
    private Job holder;
    private Span longestGuest = Span.ZERO;
    private boolean dropped;

    public PoolMembership(String pool, String image, double gb, Demand replica) {
        this.pool = pool;
        this.image = image;
        this.gb = gb;
        this.replica = replica;
    }

    public String pool() {
        return pool;
    }

    public String image() {
        return image;
    }

    public double gb() {
        return gb;
    }

    /** The job whose task may sit here now; null if none may. */
    public Job holder() {
        return dropped ? null : holder;
    }

    public void holder(Job job) {
        holder = job;
    }

    public void longestGuest(Span span) {
        longestGuest = span;
    }

    /** The pool pays no more. The guard stays until that is recorded, as a later leader would claim the image by the record. */
    public void drop() {
        dropped = true;
    }

    public boolean isDropped() {
        return dropped;
    }

    /**
     * Whether a task may start on the machine: the model's replicas in any case; others once the image is here (a second
     * fetch would share its rate), where theirs fits beside it, and where they leave room for a replica or, by twice the
     * owner's estimate, are gone before one is expected.
     */
    public boolean takes(JobSpec spec, ImageCache cache, Demand free) {
        if (spec.image().equals(image)) {
            return true;
        }
        boolean harmless = replica.fitsIn(free.minus(spec.demand()))
                || (!spec.isService() && spec.estimate().times(2).compareTo(longestGuest) <= 0);
        return harmless && cache.holds(image) && cache.hasRoomBeside(image, spec.image(), spec.imageGb());
    }
}
