package io.indigoreach.cluster;

import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.records.RecordFamily;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.JsonSize;
import io.indigoreach.net.RateLimiter;
import io.indigoreach.state.CompletionBits;
import io.indigoreach.state.EraRecordCodec;
import io.indigoreach.state.JobRecord;
import io.indigoreach.state.JobRecordCodec;
import io.indigoreach.state.MachineRecord;
import io.indigoreach.state.MachineRecordCodec;
import io.indigoreach.state.RecordKeys;
import io.indigoreach.state.StateClient;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Restores records that the state service has lost, using the copies in the memory of the controllers. A new leader runs it before
 * it loads the records and sends any command. Bound to the node's event loop.
 *
 * <p>Every write is conditional on the leadership key and on the revision at which the changed record was read, or on its
 * absence, so that newer data is never overwritten. Every write can be repeated: if a rebuild is interrupted, the next leader
 * starts it again.
 *
 * <p>Finished jobs are written first, as tasks of a restored open copy of such a job could start while its final record is
 * missing. The new era is written last, and every write is conditional on the previous era. Otherwise a delayed write of an
 * earlier attempt could create a job in the new era, and the leader would treat it as a new job that has never run a task.
 */
final class StateRebuilder {
    private static final Logger LOG = LoggerFactory.getLogger(StateRebuilder.class);

    private final NodeContext context;
    private final FencingToken token;
    private final Revision leadershipRevision;
    private final RateLimiter writeLimiter;
    private final RememberedState rememberedState;
    private final RebuildInventory inventory;
    /** Null until the era has been read. */
    private RebuildWriter writer;

    private int machinePageCount;

    StateRebuilder(
            NodeContext context,
            FencingToken token,
            Revision leadershipRevision,
            RateLimiter writeLimiter,
            RememberedState rememberedState) {
        this.context = context;
        this.token = token;
        this.leadershipRevision = leadershipRevision;
        this.writeLimiter = writeLimiter;
        this.rememberedState = rememberedState;
        this.inventory = new RebuildInventory(context.state(), leadershipRevision);
    }

    /** Runs the rebuild; succeeds when all records are written and the new era has started. */
    Future<Void> run() {
        LOG.warn("state rebuild started remembered={}", rememberedState);
        return context.state()
                .get(RecordKeys.ERA)
                .compose(this::readRecords)
                .compose(records -> writeJobsAndMachines())
                .compose(written -> writeFeatureRecords())
                .compose(written -> startNewEra())
                .onSuccess(begun -> LOG.warn(
                        "state rebuild completed written={} present={}",
                        writer.writtenRecords(),
                        writer.skippedRecords()));
    }

    private Future<Void> readRecords(StateClient.Entry era) {
        Revision eraRevision = era == null ? Revision.ABSENT : era.revision();
        writer = new RebuildWriter(context, leadershipRevision, eraRevision, writeLimiter);
        return inventory.load();
    }

    private Future<Void> writeJobsAndMachines() {
        machinePageCount = inventory.machinePageCount();
        rememberedState.finishedJobs().forEach(this::addFinishedJob);
        addMachines(rememberedState.machines().stream()
                .filter(machine -> !inventory.hasMachine(machine.id()))
                .toList());
        rememberedState.openJobs().forEach(this::addOpenJob);
        return writer.flush();
    }

    private void addFinishedJob(JobId id, RememberedState.FinishedJob finalStatus) {
        if (inventory.isFinished(id) && !inventory.hasOpenRecord(id)) {
            // Usually only a few of thousands of remembered jobs are missing; those that are present need no write.
            return;
        }
        Revision openRevision = inventory.openRevision(id);
        StateClient.Txn txn = writer.newTransaction()
                .when(RecordKeys.finalKey(id), Revision.ABSENT)
                .when(RecordKeys.openKey(id), openRevision)
                .put(
                        RecordKeys.finalKey(id),
                        JobRecordCodec.writeFinal(finalStatus.status(), finalStatus.completedTaskCount()));
        if (!openRevision.equals(Revision.ABSENT)) {
            txn.delete(RecordKeys.openKey(id));
        }
        writer.addRecord(txn);
    }

    private void addOpenJob(RememberedState.OpenJob job) {
        JobId id = job.spec().id();
        if (inventory.isFinished(id)) {
            return;
        }
        RememberedState.OpenJob merged = mergeWithRecord(id, job);
        if (merged == null) {
            return;
        }
        addCompletionBlocks(id, merged);
        Map<String, Object> record = completionBits()
                .writeJob(
                        merged.spec(), merged.submittedMs(), JobStatus.PENDING, merged.done(), 0, merged.startBound());
        writer.addRecord(openJobTransaction(id).put(RecordKeys.openKey(id), record));
    }

    /** Merges the job with its present record; null if the record already contains everything that is remembered. */
    private RememberedState.OpenJob mergeWithRecord(JobId id, RememberedState.OpenJob job) {
        JobRecord record = inventory.openJob(id);
        if (record == null) {
            return job;
        }
        BitSet completed = (BitSet) record.done().clone();
        completed.or(inventory.completedInBlocks(id));
        return RememberedState.mergeIntoStored(
                job, new RememberedState.OpenJob(record.spec(), record.submittedMs(), completed, record.startBound()));
    }

    /** Creates a transaction on condition that an open job has not changed since it was read and has not finished. */
    private StateClient.Txn openJobTransaction(JobId id) {
        return writer.newTransaction()
                .when(RecordKeys.finalKey(id), Revision.ABSENT)
                .when(RecordKeys.openKey(id), inventory.openRevision(id));
    }

    /** Adds blocks before the job's record, as the next attempt assumes that a present job record has all its blocks. */
    private void addCompletionBlocks(JobId id, RememberedState.OpenJob job) {
        if (completionBits().fitInRecord(job.spec(), job.submittedMs())) {
            return;
        }
        BitSet missingTasks = (BitSet) job.done().clone();
        missingTasks.andNot(inventory.completedInBlocks(id));
        Map<String, BitSet> blocks = completionBits().blocksCovering(id, missingTasks, job.done(), Integer.MAX_VALUE);
        blocks.forEach((key, completed) ->
                writer.addRecord(openJobTransaction(id).put(key, CompletionBits.writeBlock(key, completed))));
    }

    private CompletionBits completionBits() {
        return new CompletionBits(context.limits());
    }

    /** Adds new pages for machines that are on no page, with the same maximum size as in {@link MachineStore}. */
    private void addMachines(List<RememberedState.RentedMachine> missingMachines) {
        Moment now = context.clock().now();
        long wallClockMs = context.clock().timeOfDay();
        List<MachineRecord> page = new ArrayList<>();
        int bytes = 0;
        for (RememberedState.RentedMachine machine : missingMachines) {
            MachineRecord machineRecord = new MachineRecord(
                    machine.id(),
                    machine.pool(),
                    wallClockMs - now.since(machine.rentedAt()).ms(),
                    wallClockMs - now.since(machine.knownToExistAt()).ms());
            bytes += MachineRecordCodec.encodedBytes(machineRecord);
            if (bytes > MachinePage.maxMachineBytes(context)) {
                addMachinePage(page);
                page.clear();
                bytes = MachineRecordCodec.encodedBytes(machineRecord);
            }
            page.add(machineRecord);
        }
        if (!page.isEmpty()) {
            addMachinePage(page);
        }
    }

    private void addMachinePage(List<MachineRecord> machines) {
        String key = RecordKeys.machinePageKey(token, "r" + ++machinePageCount);
        writer.addRecord(writer.newTransaction()
                .when(key, Revision.ABSENT)
                .put(key, MachineRecordCodec.writeMachines(machines)));
    }

    /** Writes the records of the optional features, one record family after the other. */
    private Future<Void> writeFeatureRecords() {
        Future<Void> done = Future.succeededFuture();
        for (Map.Entry<RecordFamily, List<VersionedRecord>> family :
                rememberedByFamily().entrySet()) {
            done = done.compose(previous -> writeFamily(family.getKey(), family.getValue()));
        }
        return done;
    }

    /** Groups the remembered records by family. Records of disabled features are skipped. */
    private Map<RecordFamily, List<VersionedRecord>> rememberedByFamily() {
        Map<RecordFamily, List<VersionedRecord>> families = new LinkedHashMap<>();
        for (VersionedRecord record : rememberedState.records()) {
            RecordFamily family = context.parts().recordCache().familyOf(record.key());
            if (family != null) {
                families.computeIfAbsent(family, key -> new ArrayList<>()).add(record);
            }
        }
        return families;
    }

    private Future<Void> writeFamily(RecordFamily family, List<VersionedRecord> records) {
        Map<String, VersionedRecord> presentRecords = new HashMap<>();
        return inventory
                .readAll(family.prefix(), entry -> presentRecords.put(entry.key(), versionedRecord(entry)))
                .compose(revision -> {
                    records.forEach(record -> addFeatureRecord(
                            family,
                            presentRecords.getOrDefault(record.key(), VersionedRecord.absent(record.key())),
                            record));
                    return writer.flush();
                });
    }

    private static VersionedRecord versionedRecord(StateClient.Entry entry) {
        return new VersionedRecord(entry.key(), entry.value().map(), entry.revision());
    }

    /** Merges both copies by the rule of the family, and adds a write if the result differs from the present record. */
    private void addFeatureRecord(
            RecordFamily family, VersionedRecord presentRecord, VersionedRecord rememberedRecord) {
        Map<String, Object> value = family.mergeRule().merge(presentRecord, rememberedRecord);
        if (value != null) {
            String key = rememberedRecord.key();
            writer.addRecord(
                    writer.newTransaction().when(key, presentRecord.revision()).put(key, value));
        }
    }

    /** Starts a new era, which marks the data as complete, and records the evidence of the loss with it. */
    private Future<Void> startNewEra() {
        StateClient.Txn txn = writer.newTransaction().put(RecordKeys.ERA, eraRecord());
        return context.state()
                .commit(txn)
                .compose(outcome ->
                        outcome.executed() ? context.state().checkEra() : RebuildWriter.leadershipOrEraChanged());
    }

    /** Creates the era record with as many of the latest findings as fit into one value. */
    private Map<String, Object> eraRecord() {
        List<String> findings = new ArrayList<>(context.state().losses().evidence().stream()
                .map(Object::toString)
                .distinct()
                .toList());
        Map<String, Object> record = eraRecord(findings);
        while (JsonSize.of(record) > context.limits().maxRecordBytes() && !findings.isEmpty()) {
            findings.remove(0);
            record = eraRecord(findings);
        }
        return record;
    }

    private Map<String, Object> eraRecord(List<String> findings) {
        return EraRecordCodec.writeEra(token, context.clock().timeOfDay(), findings, writer.writtenRecords());
    }
}
