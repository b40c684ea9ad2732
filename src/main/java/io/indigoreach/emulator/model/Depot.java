package io.indigoreach.emulator.model;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.TaskId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * What outlives the machines and is not the state service's: the jobs' descriptions that users upload, the checkpoints
 * and the results of tasks.
 */
public final class Depot {
    /**
     * How a job's tasks behave, which its user knows and nobody else.
     *
     * @param run run time of a task in the mean; zero: its estimate
     * @param spread standard deviation of the logarithm of the run times
     * @param fails every task fails on every machine
     */
    public record Conduct(Span run, double spread, boolean fails) {
        public static final Conduct AS_ESTIMATED = new Conduct(Span.ZERO, 0.2, false);
    }

    private record Upload(JobSpec spec, Conduct conduct) {}

    private final long seed;
    private final Map<JobId, Upload> uploads = new HashMap<>();
    private final Map<TaskId, Span> saved = new HashMap<>();
    private final Set<TaskId> results = new HashSet<>();

    public Depot(long seed) {
        this.seed = seed;
    }

    public void upload(JobSpec spec, Conduct conduct) {
        uploads.putIfAbsent(spec.id(), new Upload(spec, conduct));
    }

    /** The job's description, or null if nobody uploaded it. */
    public JobSpec spec(JobId id) {
        Upload upload = uploads.get(id);
        return upload == null ? null : upload.spec;
    }

    boolean fails(JobId id) {
        return uploads.get(id).conduct.fails;
    }

    /** How long a task runs on a machine of usual speed: the same whenever and wherever it runs. */
    Span runTime(TaskId task) {
        Upload upload = uploads.get(task.job());
        double mean = upload.conduct.run.ms() > 0
                ? upload.conduct.run.seconds()
                : upload.spec.estimatedRunTime().seconds();
        double spread = upload.conduct.spread;
        double factor = Math.exp(
                spread * new SplittableRandom(seed * 31 + task.hashCode()).nextGaussian() - spread * spread / 2);
        return Span.seconds(Math.max(0.01, mean * factor));
    }

    Span saved(TaskId task) {
        return saved.getOrDefault(task, Span.ZERO);
    }

    void save(TaskId task, Span progress) {
        saved.merge(task, progress, (a, b) -> a.compareTo(b) > 0 ? a : b);
    }

    boolean hasResult(TaskId task) {
        return results.contains(task);
    }

    void keepResult(TaskId task) {
        results.add(task);
    }
}
