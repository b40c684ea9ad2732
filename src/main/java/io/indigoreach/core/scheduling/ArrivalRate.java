package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Estimates the rate at which work arrives from the jobs of the last minutes. A job whose objective falls due before a
 * rented machine would be up can only be served in time by machines that are kept for the arrival rate of such jobs.
 */
final class ArrivalRate {
    private static final int WINDOW_PARTS = 6;
    /**
     * Minimum length of the observed window as a fraction of the maximum; arrivals in less time count for this much.
     */
    private static final double MINIMUM_WINDOW_FRACTION = 0.67;
    /**
     * Windows over which the mean job size is taken: it needs more samples than the rate, as job sizes vary far more.
     */
    private static final double REMEMBERED_WINDOWS = 5;

    private Moment began;
    private final Deque<Job> jobs = new ArrayDeque<>();

    void add(Job job) {
        jobs.add(job);
    }

    /**
     * Returns the work that arrives per second: the arrivals of matching jobs in the window times their mean size. The
     * part of the window with the most arrivals is left out, as a burst of jobs is not a steady rate. The window begins
     * at the first call at the earliest, because jobs that came earlier may have ended and are then unknown.
     */
    double perSecond(Predicate<Job> counts, ToDoubleFunction<Job> size, Span most, Moment now) {
        began = began == null ? now : began;
        Span since = now.since(began).compareTo(most) < 0 ? now.since(began) : most;
        Span window =
                since.compareTo(most.times(MINIMUM_WINDOW_FRACTION)) < 0 ? most.times(MINIMUM_WINDOW_FRACTION) : since;
        Moment from = now.minus(since);
        jobs.removeIf(job -> job.eligibleSince.isBefore(now.minus(most.times(REMEMBERED_WINDOWS))));
        int[] parts = new int[WINDOW_PARTS];
        int known = 0;
        double sizes = 0;
        for (Job job : jobs) {
            if (!counts.test(job)) {
                continue;
            }
            known++;
            sizes += size.applyAsDouble(job);
            if (job.eligibleSince.isAfter(from)) {
                parts[(int) (Math.max(0, now.since(job.eligibleSince).ms()) * WINDOW_PARTS / window.ms())]++;
            }
        }
        double came = Arrays.stream(parts).sum() - Arrays.stream(parts).max().orElse(0);
        return known == 0 ? 0 : came * sizes / known / (window.seconds() * (WINDOW_PARTS - 1) / WINDOW_PARTS);
    }
}
