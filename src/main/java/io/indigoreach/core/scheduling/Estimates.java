package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Run-time estimates, corrected by observed run times. Users' estimates are often wrong by half, and on some days
 * mostly in one direction, which would make the top job appear stuck.
 */
final class Estimates {
    private static final double OBSERVATION_WEIGHT = 0.1;
    private static final int SUFFICIENT_RUNS = 3;
    private static final int MAXIMUM_CLASSES = 1000;
    /** The run time assumed for service replicas, which run until cancelled: longer than any wait. */
    private static final Span UNTIL_CANCELLED = Span.seconds(1e8);

    /**
     * The logarithm of observed over estimated run time, by job class. Users choose class names, so the least recently
     * used ones are evicted.
     */
    private final Map<String, Double> logCorrections = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAXIMUM_CLASSES;
        }
    };

    private BiConsumer<Job, Span> runTimeListener = (job, run) -> {};

    /** Sets the listener for each task's observed run time, without the image fetch. */
    void setRunTimeListener(BiConsumer<Job, Span> newListener) {
        runTimeListener = newListener;
    }

    /** A task's expected run time, without the image fetch. */
    Span runTime(Job job) {
        if (job.spec.isService()) {
            return UNTIL_CANCELLED;
        }
        if (job.runTimes.runs() >= SUFFICIENT_RUNS) {
            return job.runTimes.mean();
        }
        double correction = Math.exp(logCorrections.getOrDefault(job.spec.jobClass(), 0.0));
        return job.spec.estimatedRunTime().times(Math.min(3, Math.max(0.33, correction)));
    }

    /** A task's expected time on the machine, including the image fetch if the machine lacks the image. */
    Span timeOnMachine(Job job, Machine machine) {
        Span runTime = runTime(job);
        return machine.imageCache.contains(job.spec.image()) ? runTime : runTime.plus(fetchTime(job, machine.type));
    }

    static Span fetchTime(Job job, MachineType type) {
        return Span.seconds(type.imageFetchGbPerS() > 0 ? job.spec.imageGb() / type.imageFetchGbPerS() : 0);
    }

    /** Whether a task of the job's class has ended, so that the estimate rests on more than the user's figure. */
    boolean hasObserved(Job job) {
        return logCorrections.containsKey(job.spec.jobClass());
    }

    void observe(Job job, Span runTime) {
        job.runTimes.add(runTime);
        runTimeListener.accept(job, runTime);
        if (job.spec.estimatedRunTime().ms() > 0) {
            double logRatio = Math.log(Math.max(0.05, runTime.seconds())
                    / job.spec.estimatedRunTime().seconds());
            logCorrections.merge(
                    job.spec.jobClass(),
                    logRatio * OBSERVATION_WEIGHT,
                    (old, add) -> old * (1 - OBSERVATION_WEIGHT) + add);
        }
    }

    /** When the task is expected to end. An overdue task is expected to end after another tenth of its run time. */
    Moment expectedEnd(Placement placement, Moment now) {
        Span runTime = placement.state == TaskState.RUNNING
                ? runTime(placement.job)
                : timeOnMachine(placement.job, placement.machine);
        Moment expectedEnd = placement.stateSince.plus(runTime);
        Moment earliestEnd = now.plus(runTime.times(0.1));
        return expectedEnd.isBefore(earliestEnd) ? earliestEnd : expectedEnd;
    }
}
