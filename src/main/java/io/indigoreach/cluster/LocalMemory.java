package io.indigoreach.cluster;

import io.indigoreach.api.JobService;
import io.indigoreach.core.leadership.ConfirmedCancellations;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.records.RecordCache;

/**
 * What this process remembers of records, for itself and for its peers: jobs seen by the job service, jobs known as the leader,
 * and the cached records of the optional features. Bound to the node's event loop.
 */
final class LocalMemory {
    private final JobService jobService;
    private final Controller controller;
    private final RecordCache recordCache;

    LocalMemory(JobService jobService, Controller controller, RecordCache recordCache) {
        this.jobService = jobService;
        this.controller = controller;
        this.recordCache = recordCache;
    }

    /** All jobs and cached records; what this node knew as a leader is added by {@link Controller}. */
    RememberedState all() {
        RememberedState all = jobService.rememberedState();
        recordCache.all().forEach(all::add);
        return all;
    }

    RememberedState ofJob(JobId id) {
        RememberedState job = jobService.rememberedState(id);
        job.add(controller.rememberedState(id));
        return job;
    }

    /** Whether this node leads and the job is open. */
    boolean hasOpen(JobId id) {
        return controller.hasOpen(id);
    }

    boolean knows(JobId id) {
        return jobService.isKnown(id) || controller.hasOpen(id);
    }

    /** The cancellations that this node has reported to users. */
    ConfirmedCancellations confirmedCancellations() {
        return jobService.confirmedCancellations();
    }
}
