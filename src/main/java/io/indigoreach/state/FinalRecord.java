package io.indigoreach.state;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;

/** The record of a finished job, which is permanently done or cancelled. */
public record FinalRecord(JobId id, JobStatus status, int done) {}
