package io.indigoreach.core.scheduling;

import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskState;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Run-time estimates, corrected by what was seen. Owners' estimates are often wrong by half, and on some days mostly
 * in one direction, which would make the top job look stuck (a weak point the design names).
 */
final class Estimates {
    private static final double OBSERVATION_WEIGHT = 0.1;
    private static final int SUFFICIENT_RUNS = 3;
    private static final int MAXIMUM_CLASSES = 1000;
    /** A replica has no end of its own: longer than anything that is waited for. */
    private static final Span UNTIL_CANCELLED = Span.seconds(1e8);

    /** By class, whose names are the users' own: those seen longest ago are forgotten. */
    private final Map<String, Double> logFactor = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAXIMUM_CLASSES;
        }
    };

    private BiConsumer<Job, Span> listener = (job, run) -> {};

    /** Sets the listener that is told each task's run time, without the image's fetch. */
    void onRun(BiConsumer<Job, Span> runListener) {
        listener = runListener;
    }

    /** A task's expected run time, without the image fetch. */
    Span run(Job job) {
        if (job.spec.isService()) {
            return UNTIL_CANCELLED;
        }
        if (job.runTimes.runs() >= SUFFICIENT_RUNS) {
            return job.runTimes.mean();
        }
        double factor = Math.exp(logFactor.getOrDefault(job.spec.jobClass(), 0.0));
        return job.spec.estimatedRunTime().times(Math.min(3, Math.max(0.33, factor)));
    }

    /** The expected time a task takes on a machine, image fetch included when it has to be fetched. */
    Span onMachine(Job job, Machine machine) {
        Span run = run(job);
        return machine.imageCache.contains(job.spec.image()) ? run : run.plus(fetch(job, machine.type));
    }

    static Span fetch(Job job, MachineType type) {
        return Span.seconds(type.imageFetchGbPerS() > 0 ? job.spec.imageGb() / type.imageFetchGbPerS() : 0);
    }

    /** Whether a task of the job's class has been seen to end, so that its estimate rests on more than the owner's figure. */
    boolean hasSeen(Job job) {
        return logFactor.containsKey(job.spec.jobClass());
    }

    void observe(Job job, Span run) {
        job.runTimes.add(run);
        listener.accept(job, run);
        if (job.spec.estimatedRunTime().ms() > 0) {
            double ratio = Math.log(
                    Math.max(0.05, run.seconds()) / job.spec.estimatedRunTime().seconds());
            logFactor.merge(
                    job.spec.jobClass(),
                    ratio * OBSERVATION_WEIGHT,
                    (old, add) -> old * (1 - OBSERVATION_WEIGHT) + add);
        }
    }

    /** When a task that may be on a machine is expected to be gone; a task over its time counts as soon over. */
    Moment end(Placement placement, Moment now) {
        Span run =
                placement.state == TaskState.RUNNING ? run(placement.job) : onMachine(placement.job, placement.machine);
        Moment end = placement.stateSince.plus(run);
        Moment soonest = now.plus(run.times(0.1));
        return end.isBefore(soonest) ? soonest : end;
    }
}
