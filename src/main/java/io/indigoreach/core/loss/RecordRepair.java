package io.indigoreach.core.loss;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import java.util.BitSet;

/**
 * What is to be written in place of a job's record that cannot be read: from what is left of it, what controllers remember and
 * what its user submits again. A job that may be over is not opened again against any evidence: an end that anybody remembers
 * comes first, then what the record still says of itself. A job that is opened again may have been ordered in whole, and
 * tasks that are done may be run again: their results are kept, so each exits at once.
 */
public final class RecordRepair {
    /** What can still be read of a record; null where it cannot. */
    public record Rest(JobStatus status, Long done, Long submittedMs) {}

    private RecordRepair() {}

    /**
     * For the record of an open job, which is not among the jobs that are over. An end is written into it only in a flood of ends,
     * for the seconds until it is moved, and then its count says that all tasks are done; so where neither status nor count can
     * be read the job is open.
     *
     * @param offered the description that its user submits again; null if it was only asked about
     * @return what is known of the job; empty if nobody knows what it is
     */
    public static RememberedState open(JobId id, Rest rest, RememberedState remembered, JobSpec offered, long nowMs) {
        RememberedState out = new RememberedState();
        RememberedState.FinishedJob end = remembered.over().get(id);
        RememberedState.OpenJob job = job(id, remembered, offered, nowMs);
        if (end != null) {
            out.add(id, end);
        } else if (rest.status == JobStatus.DONE || (rest.status == null && allDone(rest, job))) {
            out.add(
                    id,
                    new RememberedState.FinishedJob(
                            JobStatus.DONE, job != null ? job.spec().tasks() : count(rest)));
        } else if (job != null) {
            long since = rest.submittedMs == null ? job.submittedMs() : Math.min(rest.submittedMs, job.submittedMs());
            out.add(new RememberedState.OpenJob(
                    job.spec(), since, job.done(), job.spec().tasks()));
        }
        return out;
    }

    /**
     * For the record of a job that is over, which is done if all its tasks are and else cancelled. Null if nobody knows which:
     * either word could be against what its user was told.
     */
    public static RememberedState.FinishedJob end(JobId id, Rest rest, RememberedState remembered, JobSpec offered) {
        RememberedState.FinishedJob end = remembered.over().get(id);
        if (end != null) {
            return end;
        }
        if (rest.status == JobStatus.DONE || rest.status == JobStatus.CANCELLED) {
            return new RememberedState.FinishedJob(rest.status, count(rest));
        }
        RememberedState.OpenJob job = job(id, remembered, offered, 0);
        return rest.done == null || job == null
                ? null
                : new RememberedState.FinishedJob(
                        allDone(rest, job) ? JobStatus.DONE : JobStatus.CANCELLED, count(rest));
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

    private static boolean allDone(Rest rest, RememberedState.OpenJob job) {
        return rest.done != null
                && job != null
                && job.spec().kind() == JobKind.ARRAY
                && rest.done == job.spec().tasks();
    }

    private static int count(Rest rest) {
        return rest.done == null ? 0 : rest.done.intValue();
    }
}
