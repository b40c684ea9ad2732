package io.indigoreach.state;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;

/** A job that is over: done or cancelled, for ever. */
public record FinalRecord(JobId id, JobStatus status, int done) {}
