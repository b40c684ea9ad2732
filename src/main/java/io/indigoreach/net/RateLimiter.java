package io.indigoreach.net;

import io.indigoreach.core.model.Moment;

/** A token bucket rate limiter; the burst is one second's worth of tokens by default. Not thread-safe. */
public final class RateLimiter {
    private final double perSecond;
    private final double capacity;
    private double available;
    private Moment updatedAt;

    /** Creates a full bucket whose capacity is one second's worth of tokens. */
    public RateLimiter(double perSecond, Moment created) {
        this(perSecond, 1, created);
    }

    /** Creates a full bucket whose capacity is {@code burstS} seconds' worth of tokens, at least one token. */
    public RateLimiter(double perSecond, double burstS, Moment created) {
        this.perSecond = perSecond;
        this.capacity = Math.max(1, perSecond * burstS);
        this.available = capacity;
        this.updatedAt = created;
    }

    /** Takes {@code amount} tokens only if half of the capacity remains: for low-priority requests. */
    public boolean takeSpare(double amount, Moment now) {
        return take(0, now) && available - amount >= capacity / 2 && take(amount, now);
    }

    /** Takes {@code amount} tokens, or none if fewer are available; a full bucket permits any amount. */
    public boolean take(double amount, Moment now) {
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
