package io.indigoreach.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Run-time estimates, corrected by what was seen. Owners' estimates are often wrong by half, and on some days mostly
 * in one direction, which would make the top job look stuck (a weak point the design names).
 */
final class Estimates {
    private static final double WEIGHT = 0.1;
    private static final double SPREAD_WEIGHT = 0.02;
    private static final int ENOUGH = 3;
    /** Spread of run times within a job, as the deviation of their logarithms, before any has been seen. */
    private static final double USUAL_SPREAD = 0.3;
    private static final double WIDEST_SPREAD = 0.6;
    private final Map<String, Double> logFactor = new HashMap<>();
    private final Map<String, Double> variance = new HashMap<>();

    /** A task's expected run time, without the image fetch. */
    Span run(Job job) {
        if (job.observed() >= ENOUGH) {
            return job.observedMean();
        }
        double factor = Math.exp(logFactor.getOrDefault(job.spec.jobClass(), 0.0));
        return job.spec.estimate().times(Math.min(3, Math.max(0.33, factor)));
    }

    /**
     * How long the last of a job's waiting tasks is expected to take, image fetch included. A job ends with its slowest
     * task: of a hundred whose times spread by 0.4, one takes some 2.7 times the usual.
     */
    Span longest(Job job, double fetchGbPerS) {
        double n = Math.max(1, job.waiting());
        double root = Math.sqrt(2 * Math.log(n));
        // The expected greatest of n normal deviates.
        double greatest = n < 2 ? 0 : root - (Math.log(Math.log(n)) + Math.log(4 * Math.PI)) / (2 * root);
        double spread = Math.sqrt(variance.getOrDefault(job.spec.jobClass(), USUAL_SPREAD * USUAL_SPREAD));
        double factor = Math.exp(Math.min(WIDEST_SPREAD, spread) * Math.max(0, greatest));
        return run(job).times(factor).plus(Span.seconds(fetchGbPerS > 0 ? job.spec.imageGb() / fetchGbPerS : 0));
    }

    /** The expected time a task takes on a machine, image fetch included when it has to be fetched. */
    Span onMachine(Job job, Machine machine) {
        Span run = run(job);
        return machine.images.contains(job.spec.image()) ? run : run.plus(fetch(job, machine.type));
    }

    static Span fetch(Job job, MachineType type) {
        return Span.seconds(type.fetchGbPerS() > 0 ? job.spec.imageGb() / type.fetchGbPerS() : 0);
    }

    void observe(Job job, Span run) {
        if (job.observed() >= ENOUGH) {
            double off = Math.log(Math.max(0.05, run.seconds()) / Math.max(0.05, job.observedMean().seconds()));
            double old = variance.getOrDefault(job.spec.jobClass(), USUAL_SPREAD * USUAL_SPREAD);
            variance.put(job.spec.jobClass(), old + (off * off - old) * SPREAD_WEIGHT);
        }
        job.observe(run);
        if (job.spec.estimate().ms() > 0) {
            double ratio = Math.log(Math.max(0.05, run.seconds()) / job.spec.estimate().seconds());
            logFactor.merge(job.spec.jobClass(), ratio * WEIGHT, (old, add) -> old * (1 - WEIGHT) + add);
        }
    }

    /** When a task that may be on a machine is expected to be gone; a task over its time counts as soon over. */
    Moment end(Placement p, Moment now) {
        Span run = p.state == TaskState.RUNNING ? run(p.job) : onMachine(p.job, p.machine);
        Moment end = p.since.plus(run);
        Moment soonest = now.plus(run.times(0.1));
        return end.isBefore(soonest) ? soonest : end;
    }
}
