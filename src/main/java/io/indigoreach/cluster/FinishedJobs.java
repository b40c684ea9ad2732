package io.indigoreach.cluster;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.scheduling.Job;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The jobs that ended during this leadership term, including cancelled ones that were never open here: a delayed change of their
 * records must not open them. Only the most recent ones are kept. Bound to the node's event loop.
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

    /** How the job ended; null if it is unknown or no longer kept. */
    RememberedState.FinishedJob get(JobId id) {
        return jobs.get(id);
    }

    /** A job that was open here is over. */
    void add(Job job) {
        JobStatus status = job.isCancelled() ? JobStatus.CANCELLED : JobStatus.DONE;
        jobs.put(job.id(), new RememberedState.FinishedJob(status, job.doneCount()));
    }

    /** A job that is not open here was cancelled. */
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
