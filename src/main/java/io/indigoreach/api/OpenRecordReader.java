package io.indigoreach.api;

import io.indigoreach.core.model.JobId;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.Optional;

/** Reads the record of an open job from the state service. The result is empty if the job has no open record. */
@FunctionalInterface
interface OpenRecordReader {
    Future<Optional<StateClient.Entry>> read(JobId id);
}
