package io.indigoreach.core.loss;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.records.VersionedRecord;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What controllers remember of the records, for rebuilding those that the state service has lost. The order of merging does not matter:
 *
 * <ul>
 *   <li>A finished job takes precedence over an open one, as its end may have been reported to a user.
 *   <li>A task is completed if any copy shows it.
 *   <li>The larger of two start bounds is kept, as more tasks may have been started under it.
 * </ul>
 */
public final class RememberedState {
    /**
     * An open job.
     *
     * @param done the indexes of the completed tasks
     * @param startBound the start bound ({@link io.indigoreach.core.scheduling.StartBounds})
     */
    public record OpenJob(JobSpec spec, long submittedMs, BitSet done, int startBound) {
        OpenJob mergedWith(OpenJob other) {
            BitSet mergedTasks = (BitSet) done.clone();
            mergedTasks.or(other.done);
            JobSpec mergedSpec = other.spec.dependencies().isReleased() ? other.spec : spec;
            return new OpenJob(
                    mergedSpec,
                    Math.min(submittedMs, other.submittedMs),
                    mergedTasks,
                    Math.max(startBound, other.startBound));
        }

        /** Whether this copy adds nothing to {@code other}. */
        public boolean isCoveredBy(OpenJob other) {
            BitSet additional = (BitSet) done.clone();
            additional.andNot(other.done);
            return additional.isEmpty() && startBound <= other.startBound;
        }
    }

    /** The end of a job: its final status and the number of completed tasks. */
    public record FinishedJob(JobStatus status, int completedTaskCount) {}

    /**
     * A rented machine, which may run tasks.
     *
     * @param rentedAt when it was rented
     * @param knownToExistAt when it was last known to exist
     */
    public record RentedMachine(MachineId id, MachinePool pool, Moment rentedAt, Moment knownToExistAt) {}

    private final Map<JobId, OpenJob> openJobs = new LinkedHashMap<>();
    private final Map<JobId, FinishedJob> finishedJobs = new LinkedHashMap<>();
    private final Map<MachineId, RentedMachine> machines = new LinkedHashMap<>();
    private final Map<String, VersionedRecord> records = new LinkedHashMap<>();

    /** Adds an open job, unless it is remembered as finished; merges it with a copy that is already present. */
    public void add(OpenJob job) {
        if (!finishedJobs.containsKey(job.spec.id())) {
            openJobs.merge(job.spec.id(), job, OpenJob::mergedWith);
        }
    }

    /** Adds the end of a job. The first one added is kept: only one end can have been reported to a user. */
    public void add(JobId id, FinishedJob end) {
        finishedJobs.putIfAbsent(id, end);
        openJobs.remove(id);
    }

    public void add(RentedMachine machine) {
        machines.putIfAbsent(machine.id, machine);
    }

    /** Adds a record of an optional feature; the newer of two copies is kept. */
    public void add(VersionedRecord record) {
        records.merge(record.key(), record, (first, second) -> second.version() > first.version() ? second : first);
    }

    public Collection<VersionedRecord> records() {
        return records.values();
    }

    /** Adds the state that another process remembers. */
    public void add(RememberedState other) {
        other.finishedJobs.forEach(this::add);
        other.openJobs.values().forEach(this::add);
        other.machines.values().forEach(this::add);
        other.records.values().forEach(this::add);
    }

    public boolean isEmpty() {
        return openJobs.isEmpty() && finishedJobs.isEmpty() && machines.isEmpty() && records.isEmpty();
    }

    public Collection<OpenJob> openJobs() {
        return openJobs.values();
    }

    public Map<JobId, FinishedJob> finishedJobs() {
        return finishedJobs;
    }

    public Collection<RentedMachine> machines() {
        return machines.values();
    }

    /** Merges a remembered job into the record that the state service still has, {@code stored}; null if the record needs no change. */
    public static OpenJob mergeIntoStored(OpenJob remembered, OpenJob stored) {
        return remembered.isCoveredBy(stored) ? null : stored.mergedWith(remembered);
    }

    @Override
    public String toString() {
        return openJobs.size() + " open jobs, " + finishedJobs.size() + " finished jobs, " + machines.size()
                + " machines" + (records.isEmpty() ? "" : ", " + records.size() + " other records");
    }
}
