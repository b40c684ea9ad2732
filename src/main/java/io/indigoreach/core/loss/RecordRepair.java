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
    public record ReadableFields(JobStatus status, Long completedTasks, Long submittedMs) {}

    private RecordRepair() {}

    /**
     * For the record of an open job that has no final record. An end is written into it only while many jobs end at once,
     * for the seconds until it is moved, and then its count shows that all tasks are done; so where neither status nor count can
     * be read the job is open.
     *
     * @param offered the specification that its user submits again; null for a query
     * @return what is known of the job; empty if nobody remembers its specification
     */
    public static RememberedState repairOpen(
            JobId id, ReadableFields readable, RememberedState remembered, JobSpec resubmitted, long nowMs) {
        RememberedState repaired = new RememberedState();
        RememberedState.FinishedJob end = remembered.finishedJobs().get(id);
        RememberedState.OpenJob job = rememberedOrSubmitted(id, remembered, resubmitted, nowMs);
        if (end != null) {
            repaired.add(id, end);
        } else if (readable.status == JobStatus.DONE || (readable.status == null && allDone(readable, job))) {
            repaired.add(
                    id,
                    new RememberedState.FinishedJob(
                            JobStatus.DONE, job != null ? job.spec().taskCount() : readableCount(readable)));
        } else if (job != null) {
            long earliestSubmittedMs = readable.submittedMs == null
                    ? job.submittedMs()
                    : Math.min(readable.submittedMs, job.submittedMs());
            repaired.add(new RememberedState.OpenJob(
                    job.spec(), earliestSubmittedMs, job.done(), job.spec().taskCount()));
        }
        return repaired;
    }

    /**
     * For the final record of a job, which is done if all its tasks are and cancelled otherwise. Null if that is not known:
     * either status could contradict what its user was told.
     */
    public static RememberedState.FinishedJob repairFinal(
            JobId id, ReadableFields readable, RememberedState remembered, JobSpec resubmitted) {
        RememberedState.FinishedJob end = remembered.finishedJobs().get(id);
        if (end != null) {
            return end;
        }
        if (readable.status == JobStatus.DONE || readable.status == JobStatus.CANCELLED) {
            return new RememberedState.FinishedJob(readable.status, readableCount(readable));
        }
        RememberedState.OpenJob job = rememberedOrSubmitted(id, remembered, resubmitted, 0);
        return readable.completedTasks == null || job == null
                ? null
                : new RememberedState.FinishedJob(
                        allDone(readable, job) ? JobStatus.DONE : JobStatus.CANCELLED, readableCount(readable));
    }

    private static RememberedState.OpenJob rememberedOrSubmitted(
            JobId id, RememberedState remembered, JobSpec resubmitted, long nowMs) {
        return remembered.openJobs().stream()
                .filter(openJob -> openJob.spec().id().equals(id))
                .findFirst()
                .orElse(
                        resubmitted == null
                                ? null
                                : new RememberedState.OpenJob(
                                        resubmitted, nowMs, new BitSet(), resubmitted.taskCount()));
    }

    private static boolean allDone(ReadableFields readable, RememberedState.OpenJob job) {
        return readable.completedTasks != null
                && job != null
                && job.spec().kind() == JobKind.ARRAY
                && readable.completedTasks == job.spec().taskCount();
    }

    private static int readableCount(ReadableFields readable) {
        return readable.completedTasks == null ? 0 : readable.completedTasks.intValue();
    }
}
