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
 * What controllers remember of records that the state service has lost. Put together in any order: what is over wins over
 * what is open, as no user who was told so may be told otherwise; a task is done if any copy says so; of two start bounds
 * the larger holds, as more may have been ordered under it.
 */
public final class RememberedState {
    /** An open job: {@code bound} as in {@link io.indigoreach.core.Job}. */
    public record OpenJob(JobSpec spec, long submittedMs, BitSet done, int bound) {
        OpenJob with(OpenJob other) {
            BitSet both = (BitSet) done.clone();
            both.or(other.done);
            JobSpec released = other.spec.dependencies().isReleased() ? other.spec : spec;
            return new OpenJob(released, Math.min(submittedMs, other.submittedMs), both, Math.max(bound, other.bound));
        }

        /** Whether this copy says nothing that {@code other} does not. */
        public boolean isCoveredBy(OpenJob other) {
            BitSet more = (BitSet) done.clone();
            more.andNot(other.done);
            return more.isEmpty() && bound <= other.bound;
        }
    }

    /** A job that is over. */
    public record FinishedJob(JobStatus status, int done) {}

    /** A machine that may hold tasks. */
    public record RentedMachine(MachineId id, MachinePool pool, Moment rented, Moment existed) {}

    private final Map<JobId, OpenJob> open = new LinkedHashMap<>();
    private final Map<JobId, FinishedJob> over = new LinkedHashMap<>();
    private final Map<MachineId, RentedMachine> machines = new LinkedHashMap<>();
    private final Map<String, VersionedRecord> records = new LinkedHashMap<>();

    public void add(OpenJob job) {
        if (!over.containsKey(job.spec.id())) {
            open.merge(job.spec.id(), job, OpenJob::with);
        }
    }

    /** The first word on a job that is over stays: both are final, and only one of them can have been told to a user. */
    public void add(JobId id, FinishedJob end) {
        over.putIfAbsent(id, end);
        open.remove(id);
    }

    public void add(RentedMachine machine) {
        machines.putIfAbsent(machine.id, machine);
    }

    /** A record of a part beside the jobs: of two copies the newer one. */
    public void add(VersionedRecord record) {
        records.merge(record.key(), record, (a, b) -> b.version() > a.version() ? b : a);
    }

    public Collection<VersionedRecord> records() {
        return records.values();
    }

    public void add(RememberedState other) {
        other.over.forEach(this::add);
        other.open.values().forEach(this::add);
        other.machines.values().forEach(this::add);
        other.records.values().forEach(this::add);
    }

    public boolean isEmpty() {
        return open.isEmpty() && over.isEmpty() && machines.isEmpty() && records.isEmpty();
    }

    public Collection<OpenJob> open() {
        return open.values();
    }

    public Map<JobId, FinishedJob> over() {
        return over;
    }

    public Collection<RentedMachine> machines() {
        return machines.values();
    }

    /** The copy to be written where the state service still has {@code kept}; null if that says all there is to say. */
    public static OpenJob merged(OpenJob remembered, OpenJob kept) {
        return remembered.isCoveredBy(kept) ? null : kept.with(remembered);
    }

    @Override
    public String toString() {
        return open.size() + " open jobs, " + over.size() + " that are over, " + machines.size() + " machines"
                + (records.isEmpty() ? "" : ", " + records.size() + " other records");
    }
}
