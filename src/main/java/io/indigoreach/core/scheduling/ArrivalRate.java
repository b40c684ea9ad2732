package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The jobs that came lately. A job whose objective is nearer than a boot is late if machines are rented for it as it waits;
 * only machines that are there for the flow of such jobs serve it in time.
 */
final class ArrivalRate {
    private static final int WINDOW_PARTS = 6;
    /** Of the time looked at: what came in less counts as if it had come in that much. */
    private static final double MINIMUM_WINDOW_FRACTION = 0.67;
    /** How many times that long jobs are remembered for their usual size: sizes differ far more than numbers do. */
    private static final double REMEMBERED_WINDOWS = 5;

    private Moment firstQueryAt;
    private final Deque<Job> jobs = new ArrayDeque<>();

    void add(Job job) {
        jobs.add(job);
    }

    /**
     * What comes in a second of jobs that count: how many came in the last {@code most}, times their usual size. The
     * part of that time in which most came is left out: jobs that come all at once are no flow. Of those that came
     * before the first question not all are known, as some are over, so time counts from then.
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
