package io.indigoreach.core.loss;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import java.util.BitSet;

/**
 * Decides how to replace a job's record that cannot be read, from its readable fields, what controllers remember and what its user submits
 * again. A job is reopened only if there is no evidence that it has finished: a remembered end takes precedence, then the readable fields. All
 * tasks of a reopened job count as possibly started. Completed tasks may run again; their results are kept, so each exits at once.
 */
public final class RecordRepair {
    /** The fields of a damaged record; null where a field cannot be read. */
    public record ReadableFields(JobStatus status, Long completedTasks, Long submittedMs) {}

    private RecordRepair() {}

    /**
     * Repairs the record of an open job that has no final record. Such a record shows the end of a job only while many jobs end at once, for
     * some seconds until the job is moved to a final record; its count then shows that all tasks are completed. So if neither status nor count
     * can be read, the job is open.
     *
     * @param resubmitted the specification that the user submits again; null for a query
     * @return the state of the job; empty if its specification is unknown
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
     * Repairs the final record of a job: the job is done if all its tasks are completed, otherwise cancelled. Returns null if that is not
     * known, as either status could contradict an earlier response to the user.
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
