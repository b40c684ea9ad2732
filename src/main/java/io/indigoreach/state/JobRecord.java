package io.indigoreach.state;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import java.util.BitSet;

/**
 * An open job as stored in the state service.
 *
 * @param done the completed tasks; for large jobs these bits are stored in completion blocks instead
 * @param doneCount the number of completed tasks, including those in completion blocks
 * @param running the number of tasks that ran when the record was last written, for display
 * @param startBound the start bound: this task and all later ones have never been started. A record without a start bound reads as
 *     the number of tasks, as any of them may have been started.
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
