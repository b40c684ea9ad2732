package io.indigoreach.core.loss;

import io.indigoreach.core.JobId;
import io.indigoreach.core.JobSpec;
import io.indigoreach.core.JobStatus;
import io.indigoreach.core.MachineId;
import io.indigoreach.core.Moment;
import io.indigoreach.core.Pool;
import io.indigoreach.core.records.Kept;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What controllers remember of records that the state service has lost. Put together in any order: what is over wins over
 * what is open, as no user who was told so may be told otherwise; a task is done if any copy says so; of two start bounds
 * the larger holds, as more may have been ordered under it.
 */
public final class Remains {
    /** An open job: {@code bound} as in {@link io.indigoreach.core.Job}. */
    public record Open(JobSpec spec, long submittedMs, BitSet done, int bound) {
        Open with(Open other) {
            BitSet both = (BitSet) done.clone();
            both.or(other.done);
            JobSpec released = other.spec.chain().isReleased() ? other.spec : spec;
            return new Open(released, Math.min(submittedMs, other.submittedMs), both, Math.max(bound, other.bound));
        }

        /** Whether this copy says nothing that {@code other} does not. */
        public boolean isCoveredBy(Open other) {
            BitSet more = (BitSet) done.clone();
            more.andNot(other.done);
            return more.isEmpty() && bound <= other.bound;
        }
    }

    /** A job that is over. */
    public record Over(JobStatus status, int done) {}

    /** A machine that may hold tasks. */
    public record Rented(MachineId id, Pool pool, Moment rented, Moment existed) {}

    private final Map<JobId, Open> open = new LinkedHashMap<>();
    private final Map<JobId, Over> over = new LinkedHashMap<>();
    private final Map<MachineId, Rented> machines = new LinkedHashMap<>();
    private final Map<String, Kept> records = new LinkedHashMap<>();

    public void add(Open job) {
        if (!over.containsKey(job.spec.id())) {
            open.merge(job.spec.id(), job, Open::with);
        }
    }

    /** The first word on a job that is over stays: both are final, and only one of them can have been told to a user. */
    public void add(JobId id, Over end) {
        over.putIfAbsent(id, end);
        open.remove(id);
    }

    public void add(Rented machine) {
        machines.putIfAbsent(machine.id, machine);
    }

    /** A record of a part beside the jobs: of two copies the newer one. */
    public void add(Kept record) {
        records.merge(record.key(), record, (a, b) -> b.version() > a.version() ? b : a);
    }

    public Collection<Kept> records() {
        return records.values();
    }

    public void add(Remains other) {
        other.over.forEach(this::add);
        other.open.values().forEach(this::add);
        other.machines.values().forEach(this::add);
        other.records.values().forEach(this::add);
    }

    public boolean isEmpty() {
        return open.isEmpty() && over.isEmpty() && machines.isEmpty() && records.isEmpty();
    }

    public Collection<Open> open() {
        return open.values();
    }

    public Map<JobId, Over> over() {
        return over;
    }

    public Collection<Rented> machines() {
        return machines.values();
    }

    /** The copy to be written where the state service still has {@code kept}; null if that says all there is to say. */
    public static Open merged(Open remembered, Open kept) {
        return remembered.isCoveredBy(kept) ? null : kept.with(remembered);
    }

    @Override
    public String toString() {
        return open.size() + " open jobs, " + over.size() + " that are over, " + machines.size() + " machines"
                + (records.isEmpty() ? "" : ", " + records.size() + " other records");
    }
}
