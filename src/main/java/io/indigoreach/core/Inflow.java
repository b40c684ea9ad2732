package io.indigoreach.core;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The jobs that came lately. A job whose aim is nearer than a boot is late if machines are rented for it as it waits;
 * only machines that are there for the flow of such jobs serve it in time.
 */
final class Inflow {
    private static final int PARTS = 6;
    /** Of the time looked at: before that much has passed, nothing is known. */
    private static final double LEAST = 0.25;
    private Moment began;
    private final Deque<Job> jobs = new ArrayDeque<>();

    void add(Job job) {
        jobs.add(job);
    }

    /**
     * What comes in a second, over the last {@code most}, of jobs that count, each as large as {@code size} says. The
     * part of that time in which most came is left out: jobs that come all at once are no flow. Jobs that came before
     * the first question are not all known, as those that are over are not, so time counts from then.
     */
    double perSecond(Predicate<Job> counts, ToDoubleFunction<Job> size, Span most, Moment now) {
        if (began == null) {
            began = now;
        }
        Span window = now.since(began).compareTo(most) < 0 ? now.since(began) : most;
        if (window.compareTo(most.times(LEAST)) < 0) {
            return 0;
        }
        Moment from = now.minus(window);
        jobs.removeIf(job -> !job.arrived.isAfter(from));
        double[] parts = new double[PARTS];
        for (Job job : jobs) {
            if (!job.cancelled && counts.test(job)) {
                long age = Math.max(0, now.since(job.arrived).ms());
                parts[(int) (age * PARTS / window.ms())] += size.applyAsDouble(job);
            }
        }
        double all = Arrays.stream(parts).sum() - Arrays.stream(parts).max().orElse(0);
        return all / (window.seconds() * (PARTS - 1) / PARTS);
    }
}
