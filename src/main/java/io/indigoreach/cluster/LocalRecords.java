package io.indigoreach.cluster;

import io.indigoreach.api.JobService;
import io.indigoreach.core.leadership.ConfirmedCancellations;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.records.RecordCache;

/**
 * This process's copies of records, from which lost records are restored: jobs seen by the job service, jobs known from
 * leading, and the cached records of the optional features. Bound to the node's event loop.
 */
final class LocalRecords {
    private final JobService jobService;
    private final Controller controller;
    private final RecordCache recordCache;

    LocalRecords(JobService jobService, Controller controller, RecordCache recordCache) {
        this.jobService = jobService;
        this.controller = controller;
        this.recordCache = recordCache;
    }

    /** All jobs and cached records, without this node's state as a leader, which {@link Controller} adds. */
    RememberedState allRememberedState() {
        RememberedState all = jobService.rememberedState();
        recordCache.all().forEach(all::add);
        return all;
    }

    RememberedState rememberedState(JobId id) {
        RememberedState job = jobService.rememberedState(id);
        job.add(controller.rememberedState(id));
        return job;
    }

    /** Whether this node leads and the job is open. */
    boolean isJobOpen(JobId id) {
        return controller.isJobOpen(id);
    }

    boolean isJobKnown(JobId id) {
        return jobService.isKnown(id) || controller.isJobOpen(id);
    }

    /** The cancellations that this node has reported to users. */
    ConfirmedCancellations confirmedCancellations() {
        return jobService.confirmedCancellations();
    }
}
