package io.indigoreach.state;

import io.indigoreach.core.JobId;
import io.indigoreach.core.JobStatus;

/** A job that is over: done or cancelled, for ever. */
public record FinalRecord(JobId id, JobStatus status, int done) {}
