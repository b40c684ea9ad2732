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
    private final Deque<Job> jobs = new ArrayDeque<>();

    void add(Job job) {
        jobs.add(job);
    }

    /**
     * What comes in a second, over the last {@code window}, of jobs that count, each as large as {@code size} says. The
     * part of the window in which most came is left out: jobs that come all at once are no flow.
     */
    double perSecond(Predicate<Job> counts, ToDoubleFunction<Job> size, Span window, Moment now) {
        Moment from = now.minus(window);
        jobs.removeIf(job -> !job.arrived.isAfter(from));
        double[] parts = new double[PARTS];
        for (Job job : jobs) {
            if (!job.cancelled && counts.test(job)) {
                long age = Math.max(0, now.since(job.arrived).ms());
                parts[(int) (age * PARTS / window.ms())] += size.applyAsDouble(job);
            }
        }
        double most = Arrays.stream(parts).max().orElse(0);
        return (Arrays.stream(parts).sum() - most) / (window.seconds() * (PARTS - 1) / PARTS);
    }
}
