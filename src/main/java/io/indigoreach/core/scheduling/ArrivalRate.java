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

    private Moment began;
    private final Deque<Job> jobs = new ArrayDeque<>();

    void add(Job job) {
        jobs.add(job);
    }

    /**
     * What comes in a second of jobs that count: how many came in the last {@code most}, times their usual size. The
     * part of that time in which most came is left out: jobs that come all at once are no flow. Of those that came
     * before the first question not all are known, as some are over, so time counts from then.
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
