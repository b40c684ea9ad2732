package io.indigoreach.cluster;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.scheduling.Job;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The most recent jobs that finished during this leadership term. They include cancelled jobs that this leader never opened: a
 * delayed change event for their records must not open them. Bound to the node's event loop.
 */
final class FinishedJobs {
    private static final int MAX_JOBS = 10_000;

    private final Map<JobId, RememberedState.FinishedJob> jobs = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, RememberedState.FinishedJob> eldest) {
            return size() > MAX_JOBS;
        }
    };

    boolean contains(JobId id) {
        return jobs.containsKey(id);
    }

    /** Returns the final status of the job, or null if the job is unknown or was evicted. */
    RememberedState.FinishedJob get(JobId id) {
        return jobs.get(id);
    }

    /** Adds a job that was open on this leader and has finished. */
    void add(Job job) {
        JobStatus status = job.isCancelled() ? JobStatus.CANCELLED : JobStatus.DONE;
        jobs.put(job.id(), new RememberedState.FinishedJob(status, job.doneCount()));
    }

    /** Adds a cancelled job that is not open on this leader. */
    void addCancelled(JobId id) {
        jobs.putIfAbsent(id, new RememberedState.FinishedJob(JobStatus.CANCELLED, 0));
    }

    void addTo(RememberedState rememberedState) {
        jobs.forEach(rememberedState::add);
    }

    void addTo(RememberedState rememberedState, JobId id) {
        if (jobs.containsKey(id)) {
            rememberedState.add(id, jobs.get(id));
        }
    }
}
