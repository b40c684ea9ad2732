package io.indigoreach.cluster;

import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.Revision;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The records of jobs and machines that the state service still has. {@link StateRebuilder} reads them before it decides which
 * records to write. Bound to the node's event loop.
 */
final class RebuildInventory {
    private final StateClient state;
    private final Revision leadershipRevision;
    private final Map<JobId, JobRecord> openJobs = new HashMap<>();
    /** The revisions of all open jobs' records, including unreadable ones. */
    private final Map<JobId, Revision> openRevisions = new HashMap<>();
    /** Jobs whose final record is present and readable. */
    private final Set<JobId> finishedJobs = new HashSet<>();
    /** Completed tasks that are recorded in blocks, outside the job's record. */
    private final Map<JobId, BitSet> completedInBlocks = new HashMap<>();

    private final Set<MachineId> machineIds = new HashSet<>();
    private int machinePageCount;

    RebuildInventory(StateClient state, Revision leadershipRevision) {
        this.state = state;
        this.leadershipRevision = leadershipRevision;
    }

    /** Reads all records of jobs and machines. Fails if the state service returns a listing older than this leadership. */
    Future<Void> load() {
        return readAll(RecordKeys.COMPLETION_BLOCKS, this::readBlock)
                .compose(revision -> readAll(CompletionBits.SMALL_BLOCKS, this::readBlock))
                .compose(revision -> readAll(RecordKeys.OPEN_JOBS, this::readOpenJob))
                .compose(revision -> readAll(RecordKeys.FINAL_JOBS, this::readFinalRecord))
                .compose(revision -> readAll(RecordKeys.MACHINE_PAGES, this::readMachinePage))
                .mapEmpty();
    }

    /** Passes every record with a prefix to {@code reader}. */
    Future<Long> readAll(String prefix, Consumer<StateClient.Entry> reader) {
        return RecordListing.readAll(state, leadershipRevision, prefix, reader);
    }

    private void readBlock(StateClient.Entry block) {
        RecordListing.readOrLog(block.key(), () -> {
            JobId id = CompletionBits.jobOf(block.key());
            BitSet completed = completedInBlocks.computeIfAbsent(id, job -> new BitSet());
            CompletionBits.readBlock(block.key(), block.value(), completed);
        });
    }

    private void readOpenJob(StateClient.Entry entry) {
        RecordListing.readOrLog(entry.key(), () -> {
            JobId id = RecordKeys.jobOfOpenKey(entry.key());
            openRevisions.put(id, entry.revision());
            openJobs.put(id, JobRecordCodec.readJob(id, entry.value(), entry.revision()));
        });
    }

    private void readFinalRecord(StateClient.Entry entry) {
        RecordListing.readOrLog(entry.key(), () -> {
            JobId id = RecordKeys.jobOfFinalKey(entry.key());
            JobRecordCodec.readFinal(id, entry.value());
            finishedJobs.add(id);
        });
    }

    /** Reads a machine page. An unreadable page fails the rebuild, as its machines may run tasks. */
    private void readMachinePage(StateClient.Entry entry) {
        machinePageCount++;
        MachineRecordCodec.readMachines(entry.value()).forEach(machine -> machineIds.add(machine.id()));
    }

    /** Returns the open job's record, or null if it is absent or unreadable. */
    JobRecord openJob(JobId id) {
        return openJobs.get(id);
    }

    /** Returns whether the job has an open record, readable or not. */
    boolean hasOpenRecord(JobId id) {
        return openRevisions.containsKey(id);
    }

    /** Returns the revision of the open job's record, or {@link Revision#ABSENT} if there is none. */
    Revision openRevision(JobId id) {
        return openRevisions.getOrDefault(id, Revision.ABSENT);
    }

    boolean isFinished(JobId id) {
        return finishedJobs.contains(id);
    }

    BitSet completedInBlocks(JobId id) {
        return completedInBlocks.getOrDefault(id, new BitSet());
    }

    boolean hasMachine(MachineId id) {
        return machineIds.contains(id);
    }

    /** Returns the number of machine pages, including pages that an earlier rebuild attempt of this term wrote. */
    int machinePageCount() {
        return machinePageCount;
    }
}
