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

    private Moment firstQueryAt;
    private final Deque<Job> jobs = new ArrayDeque<>();

    void add(Job job) {
        jobs.add(job);
    }

    /**
     * Returns the work that arrives per second: the arrivals of matching jobs in the window times their mean size. The
     * part of the window with the most arrivals is left out, as a burst of jobs is not a steady rate. The window never
     * starts before the first call: jobs that arrived earlier may have ended, and ended jobs are not known here.
     */
    double workPerSecond(Predicate<Job> filter, ToDoubleFunction<Job> size, Span maximumWindow, Moment now) {
        firstQueryAt = firstQueryAt == null ? now : firstQueryAt;
        Span observed = now.since(firstQueryAt).compareTo(maximumWindow) < 0 ? now.since(firstQueryAt) : maximumWindow;
        Span window = observed.compareTo(maximumWindow.times(MINIMUM_WINDOW_FRACTION)) < 0
                ? maximumWindow.times(MINIMUM_WINDOW_FRACTION)
                : observed;
        Moment windowStart = now.minus(observed);
        jobs.removeIf(job -> job.eligibleSince.isBefore(now.minus(maximumWindow.times(REMEMBERED_WINDOWS))));
        int[] arrivalsByPart = new int[WINDOW_PARTS];
        int matchingJobs = 0;
        double totalSize = 0;
        for (Job job : jobs) {
            if (!filter.test(job)) {
                continue;
            }
            matchingJobs++;
            totalSize += size.applyAsDouble(job);
            if (job.eligibleSince.isAfter(windowStart)) {
                arrivalsByPart[(int) (Math.max(0, now.since(job.eligibleSince).ms()) * WINDOW_PARTS / window.ms())]++;
            }
        }
        double arrivals = Arrays.stream(arrivalsByPart).sum()
                - Arrays.stream(arrivalsByPart).max().orElse(0);
        return matchingJobs == 0
                ? 0
                : arrivals * totalSize / matchingJobs / (window.seconds() * (WINDOW_PARTS - 1) / WINDOW_PARTS);
    }
}
