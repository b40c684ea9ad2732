package io.indigoreach.core.loss;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import java.util.BitSet;

/**
 * Decides what to write in place of a job's record that cannot be read: from the fields that are still readable, what controllers remember and
 * what its user submits again. A job that may have finished is not opened again against any evidence: a remembered end
 * comes first, then what the record still shows. Of a job that is opened again all tasks may have been started, and
 * tasks that were completed may run again: their results are kept, so each exits at once.
 */
public final class RecordRepair {
    /** The fields of a record that can still be read; null where it cannot. */
    public record ReadableFields(JobStatus status, Long done, Long submittedMs) {}

    private RecordRepair() {}

    /**
     * For the record of an open job that has no final record. An end is written into it only while many jobs end at once,
     * for the seconds until it is moved, and then its count shows that all tasks are done; so where neither status nor count can
     * be read the job is open.
     *
     * @param offered the specification that its user submits again; null for a query
     * @return what is known of the job; empty if nobody remembers its specification
     */
    public static RememberedState open(
            JobId id, ReadableFields readable, RememberedState remembered, JobSpec offered, long nowMs) {
        RememberedState repaired = new RememberedState();
        RememberedState.FinishedJob end = remembered.finished().get(id);
        RememberedState.OpenJob job = job(id, remembered, offered, nowMs);
        if (end != null) {
            repaired.add(id, end);
        } else if (readable.status == JobStatus.DONE || (readable.status == null && allDone(readable, job))) {
            repaired.add(
                    id,
                    new RememberedState.FinishedJob(
                            JobStatus.DONE, job != null ? job.spec().tasks() : count(readable)));
        } else if (job != null) {
            long since = readable.submittedMs == null
                    ? job.submittedMs()
                    : Math.min(readable.submittedMs, job.submittedMs());
            repaired.add(new RememberedState.OpenJob(
                    job.spec(), since, job.done(), job.spec().tasks()));
        }
        return repaired;
    }

    /**
     * For the final record of a job, which is done if all its tasks are and cancelled otherwise. Null if that is not known:
     * either status could contradict what its user was told.
     */
    public static RememberedState.FinishedJob end(
            JobId id, ReadableFields readable, RememberedState remembered, JobSpec offered) {
        RememberedState.FinishedJob end = remembered.finished().get(id);
        if (end != null) {
            return end;
        }
        if (readable.status == JobStatus.DONE || readable.status == JobStatus.CANCELLED) {
            return new RememberedState.FinishedJob(readable.status, count(readable));
        }
        RememberedState.OpenJob job = job(id, remembered, offered, 0);
        return readable.done == null || job == null
                ? null
                : new RememberedState.FinishedJob(
                        allDone(readable, job) ? JobStatus.DONE : JobStatus.CANCELLED, count(readable));
    }

    private static RememberedState.OpenJob job(JobId id, RememberedState remembered, JobSpec offered, long nowMs) {
        return remembered.open().stream()
                .filter(o -> o.spec().id().equals(id))
                .findFirst()
                .orElse(
                        offered == null
                                ? null
                                : new RememberedState.OpenJob(offered, nowMs, new BitSet(), offered.tasks()));
    }

    private static boolean allDone(ReadableFields readable, RememberedState.OpenJob job) {
        return readable.done != null
                && job != null
                && job.spec().kind() == JobKind.ARRAY
                && readable.done == job.spec().tasks();
    }

    private static int count(ReadableFields readable) {
        return readable.done == null ? 0 : readable.done.intValue();
    }
}
