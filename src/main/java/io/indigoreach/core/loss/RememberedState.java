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
     * @param bound the start bound ({@link io.indigoreach.core.scheduling.StartBounds})
     */
    public record OpenJob(JobSpec spec, long submittedMs, BitSet done, int bound) {
        OpenJob mergedWith(OpenJob other) {
            BitSet completed = (BitSet) done.clone();
            completed.or(other.done);
            JobSpec released = other.spec.dependencies().isReleased() ? other.spec : spec;
            return new OpenJob(
                    released, Math.min(submittedMs, other.submittedMs), completed, Math.max(bound, other.bound));
        }

        /** Whether this copy adds nothing to {@code other}. */
        public boolean isCoveredBy(OpenJob other) {
            BitSet additional = (BitSet) done.clone();
            additional.andNot(other.done);
            return additional.isEmpty() && bound <= other.bound;
        }
    }

    /** The end of a job: its final status and the number of completed tasks. */
    public record FinishedJob(JobStatus status, int done) {}

    /**
     * A rented machine, which may run tasks.
     *
     * @param rented when it was rented
     * @param existed when it was last known to exist
     */
    public record RentedMachine(MachineId id, MachinePool pool, Moment rented, Moment existed) {}

    private final Map<JobId, OpenJob> open = new LinkedHashMap<>();
    private final Map<JobId, FinishedJob> finished = new LinkedHashMap<>();
    private final Map<MachineId, RentedMachine> machines = new LinkedHashMap<>();
    private final Map<String, VersionedRecord> records = new LinkedHashMap<>();

    /** Adds an open job, unless it is remembered as finished; merges it with a copy that is already present. */
    public void add(OpenJob job) {
        if (!finished.containsKey(job.spec.id())) {
            open.merge(job.spec.id(), job, OpenJob::mergedWith);
        }
    }

    /** Adds the end of a job. The first one added is kept: only one end can have been reported to a user. */
    public void add(JobId id, FinishedJob end) {
        finished.putIfAbsent(id, end);
        open.remove(id);
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
        other.finished.forEach(this::add);
        other.open.values().forEach(this::add);
        other.machines.values().forEach(this::add);
        other.records.values().forEach(this::add);
    }

    public boolean isEmpty() {
        return open.isEmpty() && finished.isEmpty() && machines.isEmpty() && records.isEmpty();
    }

    public Collection<OpenJob> open() {
        return open.values();
    }

    public Map<JobId, FinishedJob> finished() {
        return finished;
    }

    public Collection<RentedMachine> machines() {
        return machines.values();
    }

    /** Merges a remembered job into the record that the state service still has, {@code kept}; null if the record needs no change. */
    public static OpenJob merged(OpenJob remembered, OpenJob kept) {
        return remembered.isCoveredBy(kept) ? null : kept.mergedWith(remembered);
    }

    @Override
    public String toString() {
        return open.size() + " open jobs, " + finished.size() + " finished jobs, " + machines.size() + " machines"
                + (records.isEmpty() ? "" : ", " + records.size() + " other records");
    }
}
