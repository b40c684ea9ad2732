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
 * Writes what controllers remember where the state service has lost it. Run by a leader that has just taken the key, before it
 * loads the records and sends any command. Bound to the node's event loop.
 *
 * <p>Every write is conditional on the leadership key and on the version that was read of what it changes, or on its absence, so
 * that nothing newer is overwritten. Each can be repeated: a rebuild that ends anywhere is begun again by the next leader.
 *
 * <p>Finished jobs come first: while they are missing, a copy of theirs that came back open could be started. The new era is
 * written last, and every write depends on the era before it: a job that came back late, by an earlier attempt's write, would be taken for a
 * new one, of which nothing runs anywhere.
 */
final class StateRebuilder {
    private static final Logger LOG = LoggerFactory.getLogger(StateRebuilder.class);

    private final NodeContext context;
    private final FencingToken token;
    private final Revision leadershipRevision;
    private final RateLimiter writeLimiter;
    private final RememberedState remembered;
    private final RebuildInventory inventory;
    /** Created when the era has been read. */
    private RebuildWriter writer;

    private int machinePages;

    StateRebuilder(
            NodeContext context,
            FencingToken token,
            Revision leadershipRevision,
            RateLimiter writeLimiter,
            RememberedState remembered) {
        this.context = context;
        this.token = token;
        this.leadershipRevision = leadershipRevision;
        this.writeLimiter = writeLimiter;
        this.remembered = remembered;
        this.inventory = new RebuildInventory(context.state(), leadershipRevision);
    }

    /** Succeeds when everything is written and the new era has begun. */
    Future<Void> run() {
        LOG.warn("state rebuild started remembered={}", remembered);
        return context.state()
                .get(RecordKeys.ERA)
                .compose(this::readRecords)
                .compose(records -> writeJobsAndMachines())
                .compose(written -> writeFeatureRecords())
                .compose(written -> beginEra())
                .onSuccess(begun ->
                        LOG.warn("state rebuild completed written={} present={}", writer.written(), writer.present()));
    }

    private Future<Void> readRecords(StateClient.Entry era) {
        Revision eraRevision = era == null ? Revision.ABSENT : era.revision();
        writer = new RebuildWriter(context, leadershipRevision, eraRevision, writeLimiter);
        return inventory.read();
    }

    private Future<Void> writeJobsAndMachines() {
        machinePages = inventory.machinePages();
        remembered.finished().forEach(this::addFinishedJob);
        addMachines(remembered.machines().stream()
                .filter(machine -> !inventory.hasMachine(machine.id()))
                .toList());
        remembered.open().forEach(this::addOpenJob);
        return writer.flush();
    }

    private void addFinishedJob(JobId id, RememberedState.FinishedJob end) {
        if (inventory.isFinished(id) && !inventory.hasOpenRecord(id)) {
            // Of thousands that are remembered only a few are missing: the others cost no write.
            return;
        }
        Revision openRevision = inventory.openRevision(id);
        StateClient.Txn txn = writer.transaction()
                .when(RecordKeys.finalKey(id), Revision.ABSENT)
                .when(RecordKeys.openKey(id), openRevision)
                .put(RecordKeys.finalKey(id), JobRecordCodec.writeFinal(end.status(), end.done()));
        if (!openRevision.equals(Revision.ABSENT)) {
            txn.delete(RecordKeys.openKey(id));
        }
        writer.add(txn);
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
                .writeJob(merged.spec(), merged.submittedMs(), JobStatus.PENDING, merged.done(), 0, merged.bound());
        writer.add(openJobTransaction(id).put(RecordKeys.openKey(id), record));
    }

    /** The job to be written; null if the record that is there says as much already. */
    private RememberedState.OpenJob mergeWithRecord(JobId id, RememberedState.OpenJob job) {
        JobRecord record = inventory.openJob(id);
        if (record == null) {
            return job;
        }
        BitSet completed = (BitSet) record.done().clone();
        completed.or(inventory.completedInBlocks(id));
        return RememberedState.merged(
                job, new RememberedState.OpenJob(record.spec(), record.submittedMs(), completed, record.bound()));
    }

    /** A transaction under the conditions that an open job is as it was read, and has not finished. */
    private StateClient.Txn openJobTransaction(JobId id) {
        return writer.transaction()
                .when(RecordKeys.finalKey(id), Revision.ABSENT)
                .when(RecordKeys.openKey(id), inventory.openRevision(id));
    }

    /** Before the job's record: the next attempt takes a job whose record is there to be complete. */
    private void addCompletionBlocks(JobId id, RememberedState.OpenJob job) {
        if (completionBits().areInRecord(job.spec(), job.submittedMs())) {
            return;
        }
        BitSet missing = (BitSet) job.done().clone();
        missing.andNot(inventory.completedInBlocks(id));
        Map<String, BitSet> blocks = completionBits().blocksWith(id, missing, job.done(), Integer.MAX_VALUE);
        blocks.forEach((key, completed) ->
                writer.add(openJobTransaction(id).put(key, CompletionBits.writeBlock(key, completed))));
    }

    private CompletionBits completionBits() {
        return new CompletionBits(context.limits());
    }

    /** Records machines that are on no page, on pages of this leadership of the same size as in {@link MachineStore}. */
    private void addMachines(List<RememberedState.RentedMachine> missing) {
        Moment now = context.clock().now();
        long timeOfDay = context.clock().timeOfDay();
        List<MachineRecord> page = new ArrayList<>();
        int bytes = 0;
        for (RememberedState.RentedMachine machine : missing) {
            MachineRecord line = new MachineRecord(
                    machine.id(),
                    machine.pool(),
                    timeOfDay - now.since(machine.rented()).ms(),
                    timeOfDay - now.since(machine.existed()).ms());
            bytes += MachineRecordCodec.bytes(line);
            if (bytes > MachinePage.capacity(context)) {
                addMachinePage(page);
                page.clear();
                bytes = MachineRecordCodec.bytes(line);
            }
            page.add(line);
        }
        if (!page.isEmpty()) {
            addMachinePage(page);
        }
    }

    private void addMachinePage(List<MachineRecord> lines) {
        String key = RecordKeys.machinePageKey(token, "r" + ++machinePages);
        writer.add(writer.transaction().when(key, Revision.ABSENT).put(key, MachineRecordCodec.writeMachines(lines)));
    }

    /** Writes the records of the optional features, family by family. */
    private Future<Void> writeFeatureRecords() {
        Future<Void> done = Future.succeededFuture();
        for (Map.Entry<RecordFamily, List<VersionedRecord>> family :
                rememberedByFamily().entrySet()) {
            done = done.compose(previous -> writeFamily(family.getKey(), family.getValue()));
        }
        return done;
    }

    /** The remembered records of the features that are enabled; others are left alone. */
    private Map<RecordFamily, List<VersionedRecord>> rememberedByFamily() {
        Map<RecordFamily, List<VersionedRecord>> families = new LinkedHashMap<>();
        for (VersionedRecord record : remembered.records()) {
            RecordFamily family = context.parts().recordCache().familyOf(record.key());
            if (family != null) {
                families.computeIfAbsent(family, key -> new ArrayList<>()).add(record);
            }
        }
        return families;
    }

    private Future<Void> writeFamily(RecordFamily family, List<VersionedRecord> records) {
        Map<String, VersionedRecord> present = new HashMap<>();
        return inventory
                .readAll(family.prefix(), entry -> present.put(entry.key(), versionedRecord(entry)))
                .compose(revision -> {
                    records.forEach(record -> addFeatureRecord(
                            family, present.getOrDefault(record.key(), VersionedRecord.absent(record.key())), record));
                    return writer.flush();
                });
    }

    private static VersionedRecord versionedRecord(StateClient.Entry entry) {
        return new VersionedRecord(entry.key(), entry.value().map(), entry.revision());
    }

    /** Adds what the family's rule makes of both copies, if the one that is present does not stay. */
    private void addFeatureRecord(RecordFamily family, VersionedRecord present, VersionedRecord rememberedRecord) {
        Map<String, Object> value = family.mending().mend(present, rememberedRecord);
        if (value != null) {
            String key = rememberedRecord.key();
            writer.add(writer.transaction().when(key, present.revision()).put(key, value));
        }
    }

    /** Begins a new era: from now on the state service has all data there are. The evidence of the loss is recorded with it. */
    private Future<Void> beginEra() {
        StateClient.Txn txn = writer.transaction().put(RecordKeys.ERA, eraRecord());
        return context.state()
                .commit(txn)
                .compose(outcome -> outcome.done() ? context.state().check() : RebuildWriter.failedByAnotherLeader());
    }

    /** With as many of the findings, the latest ones, as one value takes. */
    private Map<String, Object> eraRecord() {
        List<String> findings = new ArrayList<>(context.state().losses().findings().stream()
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
        return EraRecordCodec.writeEra(token, context.clock().timeOfDay(), findings, writer.written());
    }
}
