package io.indigoreach.core.warm;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Span;

/**
 * How many machines a pool needs.
 *
 * <p>The newsvendor's rule (Arrow, Harris and Marschak, "Optimal Inventory Policy", Econometrica 19, 1951): of a stock for one
 * random demand D, hold the smallest n with P(D &lt;= n) &gt;= cu / (cu + co), where co is what one too many costs and cu what
 * one too few does. Its owner names the ratio itself, {@code wanted}: holding a machine through a burst's lead time against
 * a replica that waits for boot and fetch has no price that the service could know.
 *
 * <p>D is Poisson around what a window says (independent callers), or the peaks seen at this time of earlier days.
 */
public final class PoolSizing {
    /** Boots take up to 1.5 times the usual time, fetches go down to two thirds of the usual rate (the cloud's catalogue). */
    private static final double LATE_BOOT = 1.5;

    private static final double SLOW_FETCH = 0.67;
    /** Above this the Poisson distribution is taken as normal: off by less than a machine. */
    private static final double MANY = 400;

    private static final double MOST_LOST = 0.5;

    private PoolSizing() {}

    /** From a request to rent until the image is there, as late as is usual; another fetch may share the rate. */
    public static Span lead(MachineType type, double gb, boolean shared) {
        double fetch = type.imageFetchGbPerS() > 0 ? gb / (type.imageFetchGbPerS() * SLOW_FETCH) : 0;
        return type.bootTime().times(LATE_BOOT).plus(Span.seconds(shared ? 2 * fetch : fetch));
    }

    /** The smallest n with P(D &lt;= n) &gt;= ratio for a Poisson demand. */
    public static int poisson(double mean, double ratio) {
        if (mean <= 0) {
            return 0;
        }
        if (mean > MANY) {
            return (int) Math.ceil(mean + normal(ratio) * Math.sqrt(mean));
        }
        double p = Math.exp(-mean);
        double sum = p;
        int n = 0;
        while (sum < ratio && p > 0) {
            n++;
            p *= mean / n;
            sum += p;
        }
        return n;
    }

    /** The normal distribution's quantile (Abramowitz and Stegun 26.2.23, off by less than 4.5e-4). */
    private static double normal(double ratio) {
        double tail = Math.min(ratio, 1 - ratio);
        double t = Math.sqrt(-2 * Math.log(tail));
        double z =
                t - (2.515517 + t * (0.802853 + t * 0.010328)) / (1 + t * (1.432788 + t * (0.189269 + t * 0.001308)));
        return ratio < 0.5 ? -z : z;
    }

    /** The smallest of the values seen with at least that part of them not above it. */
    public static int seen(int[] sorted, double ratio) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, Math.ceil(ratio * sorted.length) - 1)];
    }

    /** Machines for so many replicas. */
    public static int machines(int replicas, int perMachine) {
        return (replicas + perMachine - 1) / Math.max(1, perMachine);
    }

    /** With those that the cloud takes before others in their place are warm: at a rate of losses per machine and hour. */
    public static int withLosses(int machines, double perHour, Span lead) {
        double lost = 1 - Math.exp(-perHour * lead.seconds() / 3600);
        return (int) Math.ceil(machines / (1 - Math.min(MOST_LOST, lost)) - 1e-9);
    }
}
