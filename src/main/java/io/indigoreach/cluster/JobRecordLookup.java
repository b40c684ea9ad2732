package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;

/** Reads the records of single jobs: the open record, and the final one that replaces it when the job is over. */
final class JobRecordLookup {
    /** The message if a job has a record although two reads found none: the reads were from different revisions. */
    static final String STALE_READ = "a read was stale";

    private final StateClient state;

    JobRecordLookup(StateClient state) {
        this.state = state;
    }

    /** The record of an open job, or null. */
    Future<StateClient.Entry> openRecord(JobId id) {
        return state.get(RecordKeys.openKey(id));
    }

    /** The record of a job that is over, or null. */
    Future<StateClient.Entry> finalRecord(JobId id) {
        return state.get(RecordKeys.finalKey(id));
    }

    /** Whether the job has neither record at one and the same revision, which two reads cannot show. */
    Future<Boolean> confirmAbsent(JobId id) {
        return state.confirm(new StateClient.Txn()
                .when(RecordKeys.openKey(id), Revision.ABSENT)
                .when(RecordKeys.finalKey(id), Revision.ABSENT));
    }
}
