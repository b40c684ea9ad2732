package io.indigoreach.state;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import java.util.BitSet;

/**
 * An open job as the state service keeps it.
 *
 * @param done which tasks are done; for large jobs these bits are kept beside the record
 * @param doneCount how many are done, the bits beside the record included
 * @param running how many ran when it was last written, for display
 * @param bound the start bound: no task from this one on was ever ordered; all of them may have been where none is kept
 */
public record JobRecord(
        JobSpec spec,
        long submittedMs,
        JobStatus status,
        BitSet done,
        int doneCount,
        int running,
        int startBound,
        Revision revision) {
    /** The job's id. */
    public JobId id() {
        return spec.id();
    }
}
