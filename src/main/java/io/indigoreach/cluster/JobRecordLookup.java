package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;

/** Reads the records of single jobs: the open record, and the final record that replaces it when the job finishes. */
final class JobRecordLookup {
    /** Error message if a job has a record although two reads at different revisions found none. */
    static final String STALE_READ = "a read was stale";

    private final StateClient state;

    JobRecordLookup(StateClient state) {
        this.state = state;
    }

    /** Returns the record of an open job, or null if there is none. */
    Future<StateClient.Entry> openRecord(JobId id) {
        return state.get(RecordKeys.openKey(id));
    }

    /** Returns the record of a finished job, or null if there is none. */
    Future<StateClient.Entry> finalRecord(JobId id) {
        return state.get(RecordKeys.finalKey(id));
    }

    /** Checks that neither record exists at one single revision, which two separate reads cannot show. */
    Future<Boolean> confirmAbsent(JobId id) {
        return state.confirm(new StateClient.Txn()
                .when(RecordKeys.openKey(id), Revision.ABSENT)
                .when(RecordKeys.finalKey(id), Revision.ABSENT));
    }
}
