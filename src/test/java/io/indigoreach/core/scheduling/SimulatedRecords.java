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
final class SimulatedRecords {
    static final class StoredJob {
        final JobSpec spec;
        final BitSet completedTasks = new BitSet();
        int startBound;
        long submittedMs;
        double cancelledAt = -1;
        boolean closed;

        StoredJob(JobSpec spec, long submittedMs) {
            this.spec = spec;
            this.submittedMs = submittedMs;
        }

        boolean isOpen() {
            return !closed && cancelledAt < 0;
        }
    }

    final Map<JobId, StoredJob> jobs = new TreeMap<>();
    /** The recorded machines; the next leader knows that these may run tasks. */
    final Set<String> machineNames = new LinkedHashSet<>();

    final DelayedWrites writes;
    EffectListener effects = EffectListener.NONE;
    private final RandomSimulation.DisabledGuard disabledGuard;
    private final Consumer<StoredJob> onJobClosed;

    /** {@code onJobClosed} is called with each job that is recorded as done. */
    SimulatedRecords(Random random, RandomSimulation.DisabledGuard disabledGuard, Consumer<StoredJob> onJobClosed) {
        this.writes = new DelayedWrites(random);
        this.disabledGuard = disabledGuard;
        this.onJobClosed = onJobClosed;
    }

    void writeStartBound(double now, long token, Job job, boolean answered) {
        StoredJob stored = jobs.get(job.id());
        int bound = job.startBoundToWrite();
        effects.effect(EffectListener.START_BOUND, job.id().text(), bound);
        writes.write(
                now,
                token,
                () -> stored.startBound = disabledGuard == RandomSimulation.DisabledGuard.START_BOUND
                        ? 0
                        : Math.max(stored.startBound, bound),
                answered ? () -> job.startBoundRecorded(bound) : () -> {});
    }

    void writeMachine(double now, SchedulerCore core, long token, String name) {
        MachineId id = new MachineId(name);
        effects.effect(EffectListener.MACHINE_RECORD, name);
        if (disabledGuard == RandomSimulation.DisabledGuard.MACHINE_RECORD) {
            core.onMachineRecorded(id);
        }
        writes.write(now, token, () -> machineNames.add(name), () -> core.onMachineRecorded(id));
    }

    void writeProgress(double now, SchedulerCore core, long token, Job job, boolean answered) {
        StoredJob stored = jobs.get(job.id());
        BitSet completedTasks = job.completedTasks();
        boolean complete = job.isComplete();
        effects.onProgress(job);
        writes.write(
                now,
                token,
                () -> {
                    if (stored.isOpen() && disabledGuard != RandomSimulation.DisabledGuard.RECORD_BEFORE_REAP) {
                        stored.completedTasks.or(completedTasks);
                        stored.closed = complete;
                        if (stored.closed) {
                            onJobClosed.accept(stored);
                        }
                    }
                },
                () -> {
                    if (stored.cancelledAt < 0 && answered) {
                        job.completionsRecorded(completedTasks);
                        if (stored.closed) {
                            core.closeJob(job.id());
                        }
                    }
                });
    }
}
