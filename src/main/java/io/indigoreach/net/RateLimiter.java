package io.indigoreach.net;

import io.indigoreach.core.model.Moment;

/** A rate that is not to be exceeded, with a burst of up to one second's worth unless it says otherwise. */
public final class RateLimiter {
    private final double perSecond;
    private final double most;
    private double left;
    private Moment at;

    public RateLimiter(double perSecond, Moment at) {
        this(perSecond, 1, at);
    }

    /** With a burst of {@code burstS} seconds' worth. */
    public RateLimiter(double perSecond, double burstS, Moment at) {
        this.perSecond = perSecond;
        this.most = Math.max(1, perSecond * burstS);
        this.left = most;
        this.at = at;
    }

    /** Takes {@code n} only if half of what a second brings is left after it: for what can wait. */
    public boolean takeSpare(double n, Moment now) {
        return take(0, now) && left - n >= most / 2 && take(n, now);
    }

    /** Takes {@code n} from the budget, or nothing if that much is not there (a full budget serves any amount). */
    public boolean take(double n, Moment now) {
        left = Math.min(most, left + perSecond * now.since(at).seconds());
        at = now;
        if (left < Math.min(n, most)) {
            return false;
        }
        left -= n;
        return true;
    }
}
