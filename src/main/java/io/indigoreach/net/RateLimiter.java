package io.indigoreach.net;

import io.indigoreach.core.model.Moment;

/** A token bucket rate limiter; the burst is one second's worth of tokens by default. Not thread-safe. */
public final class RateLimiter {
    private final double perSecond;
    private final double capacity;
    private double available;
    private Moment updatedAt;

    /** Creates a full bucket whose capacity is one second's worth of tokens. */
    public RateLimiter(double perSecond, Moment createdAt) {
        this(perSecond, 1, createdAt);
    }

    /** Creates a full bucket whose capacity is {@code burstSeconds} seconds' worth of tokens, at least one token. */
    public RateLimiter(double perSecond, double burstSeconds, Moment createdAt) {
        this.perSecond = perSecond;
        this.capacity = Math.max(1, perSecond * burstSeconds);
        this.available = capacity;
        this.updatedAt = createdAt;
    }

    /** Takes {@code amount} tokens only if half of the capacity remains: for low-priority requests. */
    public boolean tryAcquireSpare(double amount, Moment now) {
        return tryAcquire(0, now) && available - amount >= capacity / 2 && tryAcquire(amount, now);
    }

    /** Takes {@code amount} tokens, or none if fewer are available; a full bucket permits any amount. */
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
