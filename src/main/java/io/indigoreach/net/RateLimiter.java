package io.indigoreach.net;

import io.indigoreach.core.model.Moment;

/** A token bucket: a rate that is not exceeded, with a burst of one second's worth unless another is given. Not thread-safe. */
public final class RateLimiter {
    private final double perSecond;
    private final double capacity;
    private double available;
    private Moment updatedAt;

    /** A full bucket with a burst of one second's worth. */
    public RateLimiter(double perSecond, Moment createdAt) {
        this(perSecond, 1, createdAt);
    }

    /** A full bucket with a burst of {@code burstS} seconds' worth, at least 1. */
    public RateLimiter(double perSecond, double burstSeconds, Moment createdAt) {
        this.perSecond = perSecond;
        this.capacity = Math.max(1, perSecond * burstSeconds);
        this.available = capacity;
        this.updatedAt = createdAt;
    }

    /** Takes {@code amount} only if half of the capacity is left after it: for requests that can wait. */
    public boolean tryAcquireSpare(double amount, Moment now) {
        return tryAcquire(0, now) && available - amount >= capacity / 2 && tryAcquire(amount, now);
    }

    /** Takes {@code amount}, or nothing if less is available; a full bucket serves any amount. */
    public boolean tryAcquire(double amount, Moment now) {
        available =
                Math.min(capacity, available + perSecond * now.since(updatedAt).seconds());
        updatedAt = now;
        if (available < Math.min(amount, capacity)) {
            return false;
        }
        available -= amount;
        return true;
    }
}
