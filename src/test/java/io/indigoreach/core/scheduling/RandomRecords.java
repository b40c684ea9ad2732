package io.indigoreach.core.scheduling;

import io.indigoreach.core.EffectListener;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.MachineId;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The state service of a {@link RandomSimulation}: its records of jobs and machines, and the leader's writes to them.
 */
final class RandomRecords {
    static final class Stored {
        final JobSpec spec;
        final BitSet done = new BitSet();
        int bound;
        long at;
        double cancelledAt = -1;
        boolean closed;

        Stored(JobSpec spec, long at) {
            this.spec = spec;
            this.at = at;
        }

        boolean isOpen() {
            return !closed && cancelledAt < 0;
        }
    }

    final Map<JobId, Stored> jobs = new TreeMap<>();
    /** The recorded machines; the next leader knows that these may run tasks. */
    final Set<String> machines = new LinkedHashSet<>();

    final LaggingWrites writes;
    EffectListener effects = EffectListener.NONE;
    private final RandomSimulation.Without without;
    private final Consumer<Stored> closed;

    /** {@code closed} is called with each job that is recorded as done. */
    RandomRecords(Random random, RandomSimulation.Without without, Consumer<Stored> closed) {
        this.writes = new LaggingWrites(random);
        this.without = without;
        this.closed = closed;
    }

    void writeBound(double now, long token, Job job, boolean answered) {
        Stored s = jobs.get(job.id());
        int bound = job.startBoundToWrite();
        effects.effect(EffectListener.START_BOUND, job.id().text(), bound);
        writes.write(
                now,
                token,
                () -> s.bound = without == RandomSimulation.Without.START_BOUND ? 0 : Math.max(s.bound, bound),
                answered ? () -> job.startBoundRecorded(bound) : () -> {});
    }

    void writeMachine(double now, SchedulerCore core, long token, String name) {
        MachineId id = new MachineId(name);
        effects.effect(EffectListener.MACHINE_RECORD, name);
        if (without == RandomSimulation.Without.MACHINE_RECORD) {
            core.recorded(id);
        }
        writes.write(now, token, () -> machines.add(name), () -> core.recorded(id));
    }

    void writeProgress(double now, SchedulerCore core, long token, Job job, boolean answered) {
        Stored s = jobs.get(job.id());
        BitSet done = job.completedTasks();
        boolean complete = job.isComplete();
        effects.progress(job);
        writes.write(
                now,
                token,
                () -> {
                    if (s.isOpen() && without != RandomSimulation.Without.RECORD_BEFORE_REAP) {
                        s.done.or(done);
                        s.closed = complete;
                        if (s.closed) {
                            closed.accept(s);
                        }
                    }
                },
                () -> {
                    if (s.cancelledAt < 0 && answered) {
                        job.completionsRecorded(done);
                        if (s.closed) {
                            core.closeJob(job.id());
                        }
                    }
                });
    }
}
