package io.indigoreach.state;

import io.indigoreach.GoldenFile;
import io.indigoreach.GoldenSamples;
import io.indigoreach.config.PlatformConfig;
import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.core.records.VersionedRecord;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Golden tests of the records of jobs, machines and leaderships, their keys, and the remembered state that peers exchange. */
class GoldenStoredRecordsTest {
    private static final JobId ID = GoldenSamples.JOB_ID;
    private static final Revision REVISION = new Revision(9);
    private static final FencingToken TOKEN = new FencingToken(7_000_001);
    private static final MachinePool POOL = new MachinePool("quad", "a", true);

    private final GoldenFile golden = new GoldenFile("records.txt");

    private static Fields encodeAndDecode(Map<String, Object> message) {
        return MessagePackFormat.readMap(MessagePackFormat.write(message));
    }

    private static BitSet firstTasks(int tasks) {
        BitSet done = new BitSet();
        done.set(0, tasks);
        return done;
    }

    private static BitSet everyThird(int tasks) {
        BitSet done = new BitSet();
        for (int i = 0; i < tasks; i += 3) {
            done.set(i);
        }
        return done;
    }

    /** Encodes a record. If its bits are stored in blocks, any {@code doneCount} bits give the same bytes. */
    private static Map<String, Object> write(JobRecord record) {
        BitSet done = record.done().isEmpty() ? firstTasks(record.doneCount()) : record.done();
        return JobRecordCodec.writeJob(
                record.spec(), record.submittedMs(), record.status(), done, record.running(), record.startBound());
    }

    private void checkJob(String name, JobSpec spec, JobStatus status, BitSet done) {
        BitSet bitsInRecord = spec.taskCount() > CompletionBlockCodec.MAX_TASKS_IN_RECORD ? new BitSet() : done;
        JobRecord record = new JobRecord(
                spec,
                GoldenSamples.TIME_OF_DAY_MS,
                status,
                bitsInRecord,
                done.cardinality(),
                3,
                spec.taskCount(),
                REVISION);
        golden.expectRoundTrip(
                name, record, GoldenStoredRecordsTest::write, f -> JobRecordCodec.readJob(ID, f, REVISION));
    }

    private void checkJobs() {
        GoldenSamples.jobs().forEach((name, spec) -> checkJob("job " + name, spec, JobStatus.PENDING, new BitSet()));
        for (JobStatus status : JobStatus.values()) {
            checkJob("job of status " + status.ordinal(), GoldenSamples.minimalJob(100), status, everyThird(100));
        }
        JobDependencies released = GoldenSamples.jobs().get("chained").dependencies();
        checkJob(
                "job released from its chain",
                GoldenSamples.minimalJob(4)
                        .with(new JobDependencies(released.requiredJobs(), GoldenSamples.TIME_OF_DAY_MS)),
                JobStatus.RUNNING,
                new BitSet());
        checkJob("job of 8192", GoldenSamples.minimalJob(8192), JobStatus.RUNNING, everyThird(8192));
        checkJob("job of 40000", GoldenSamples.minimalJob(40_000), JobStatus.RUNNING, firstTasks(20_000));
        Map<String, Object> withoutStartBound = write(
                new JobRecord(GoldenSamples.minimalJob(2), 1, JobStatus.PENDING, new BitSet(), 0, 0, 0, REVISION));
        withoutStartBound.remove("bound");
        golden.expectDecoded(
                "job without a start bound", withoutStartBound, f -> write(JobRecordCodec.readJob(ID, f, REVISION)));
        golden.expectRejected(
                "job without tasks", MessagePackFormat.map("class", "c"), f -> JobRecordCodec.readJob(ID, f, REVISION));
        for (JobStatus status : List.of(JobStatus.DONE, JobStatus.CANCELLED)) {
            golden.expectRoundTrip(
                    "end of status " + status.ordinal(),
                    new FinalRecord(ID, status, 17),
                    r -> JobRecordCodec.writeFinal(r.status(), r.done()),
                    f -> JobRecordCodec.readFinal(ID, f));
        }
    }

    private void checkCompletionBits() {
        BitSet done = everyThird(40_000);
        for (int n = 0; n < 2; n++) {
            int block = n;
            golden.expectReencoded(
                    "block " + n + " of 40000", done, all -> LegacyCompletionBlocks.writeBlock(all, block), f -> {
                        BitSet into = new BitSet();
                        LegacyCompletionBlocks.readBlock(RecordKeys.completionBlockKey(ID, block), f, into);
                        return into;
                    });
        }
        for (int bytes : new int[] {8192, 2048, 512}) {
            CompletionBits bits = new CompletionBits(new PlatformConfig.StateLimits(100, 100, bytes, 16));
            BitSet missing = new BitSet();
            missing.set(9_000);
            missing.set(39_999);
            bits.blocksCovering(ID, missing, done, 16)
                    .forEach((key, covered) -> golden.expectReencoded(
                            "blocks of values of " + bytes + " bytes, " + key,
                            covered,
                            some -> CompletionBits.writeBlock(key, some),
                            f -> {
                                BitSet into = new BitSet();
                                CompletionBits.readBlock(key, f, into);
                                return into;
                            }));
            golden.expectEncoded(
                    "job in values of " + bytes + " bytes",
                    bits.writeJob(
                            GoldenSamples.minimalJob(2000),
                            GoldenSamples.TIME_OF_DAY_MS,
                            JobStatus.RUNNING,
                            everyThird(2000),
                            1,
                            2));
        }
    }

    private void checkMachines() {
        List<MachineRecord> machines = List.of(
                new MachineRecord(
                        new MachineId("vm-000231"),
                        POOL,
                        GoldenSamples.TIME_OF_DAY_MS,
                        GoldenSamples.TIME_OF_DAY_MS + 20_000),
                new MachineRecord(
                        new MachineId("vm-000232"),
                        new MachinePool("g8", "b", false),
                        GoldenSamples.TIME_OF_DAY_MS,
                        0));
        golden.expectRoundTrip(
                        "page of machines",
                        machines,
                        MachineRecordCodec::writeMachines,
                        MachineRecordCodec::readMachines)
                .expectRoundTrip(
                        "empty page of machines",
                        List.of(),
                        MachineRecordCodec::writeMachines,
                        MachineRecordCodec::readMachines)
                .expectRoundTrip(
                        "intents",
                        new Intents.Content(
                                List.of(new Intents.Rental("7000001-1", POOL, 50, GoldenSamples.TIME_OF_DAY_MS)),
                                List.of(new MachineId("vm-000233"))),
                        IntentRecordCodec::writeIntents,
                        IntentRecordCodec::readIntents)
                .expectRoundTrip(
                        "no intents",
                        new Intents.Content(List.of(), List.of()),
                        IntentRecordCodec::writeIntents,
                        IntentRecordCodec::readIntents)
                .expectRoundTrip(
                        "catalogue",
                        GoldenSamples.MACHINE_TYPES,
                        CatalogueRecordCodec::writeCatalogue,
                        CatalogueRecordCodec::readCatalogue)
                .expectText(
                        "bytes that limits are kept by",
                        MachineRecordCodec.encodedBytes(machines.get(0)) + " "
                                + IntentRecordCodec.encodedBytes(
                                        new Intents.Rental("7000001-1", POOL, 50, GoldenSamples.TIME_OF_DAY_MS))
                                + " "
                                + IntentRecordCodec.encodedBytes(new MachineId("vm-000233")) + " "
                                + CompletionBits.recordBytes(
                                        GoldenSamples.fullJob(6, Urgency.HIGH), GoldenSamples.TIME_OF_DAY_MS));
    }

    private void checkLeadershipRecords() {
        for (int format : new int[] {CounterRecord.ORIGINAL_FORMAT, CounterRecord.DEPENDENCIES_FORMAT}) {
            for (boolean bounds : new boolean[] {false, true}) {
                golden.expectRoundTrip(
                        "counter of format " + format + (bounds ? " with bounds" : ""),
                        new CounterRecord(TOKEN, bounds, format),
                        CounterRecord::write,
                        CounterRecord::read);
            }
        }
        golden.expectRejected(
                "counter of a later format",
                MessagePackFormat.map("highest", 7L, "format", CounterRecord.NEWEST_FORMAT + 1L),
                CounterRecord::read);
        golden.expectEncoded("format that a node knows", FormatGate.encodeSupportedFormat())
                .expectRoundTrip(
                        "leader",
                        new LeaderKey("worker-1", "5f-1700000000000", TOKEN, REVISION),
                        k -> LeaderKey.write(k.node(), k.process(), k.token()),
                        f -> LeaderKey.read(f, REVISION))
                .expectRoundTrip(
                        "era",
                        TOKEN.value(),
                        t -> EraRecordCodec.writeEra(new FencingToken(t)),
                        EraRecordCodec::readEra)
                .expectEncoded(
                        "era after a loss",
                        EraRecordCodec.writeEra(
                                TOKEN, GoldenSamples.TIME_OF_DAY_MS, List.of("era: 0 where 1 was known"), 12))
                .expectText(
                        "words for a loss",
                        String.join(
                                "\n",
                                EraRecordCodec.describeLoss(encodeAndDecode(EraRecordCodec.writeEra(
                                        TOKEN,
                                        GoldenSamples.TIME_OF_DAY_MS,
                                        List.of("era: 0 where 1 was known"),
                                        12)))));
    }

    private void checkKeys() {
        golden.expectText(
                "keys",
                String.join(
                        " ",
                        RecordKeys.LEADER,
                        RecordKeys.COUNTER,
                        RecordKeys.ERA,
                        RecordKeys.CATALOGUE,
                        RecordKeys.openKey(ID),
                        RecordKeys.finalKey(ID),
                        RecordKeys.completionBlockKey(ID, 1),
                        RecordKeys.machinePageKey(TOKEN, 3),
                        RecordKeys.intentsKey(TOKEN),
                        FormatGate.NODE_PREFIX,
                        CompletionBits.SMALL_BLOCKS,
                        RecordKeys.keyBefore(RecordKeys.openKey(ID))));
    }

    private static RememberedState rememberedState() {
        RememberedState all = new RememberedState();
        all.add(new RememberedState.OpenJob(
                GoldenSamples.jobs().get("chained, with records and a plan"),
                GoldenSamples.TIME_OF_DAY_MS,
                new BitSet(),
                1));
        all.add(new JobId("run-000398"), new RememberedState.FinishedJob(JobStatus.CANCELLED, 2));
        all.add(new JobId("run-000399"), new RememberedState.FinishedJob(JobStatus.DONE, 8));
        all.add(new RememberedState.RentedMachine(new MachineId("vm-1"), POOL, new Moment(1), new Moment(2)));
        all.add(new VersionedRecord(
                "warm/pool/a", MessagePackFormat.map("team", "t", VersionedRecord.VERSION_FIELD, 3L), REVISION));
        return all;
    }

    private static RememberedState largeRememberedState() {
        RememberedState all = new RememberedState();
        for (int n = 0; n < 201; n++) {
            all.add(new JobId("run-" + n), new RememberedState.FinishedJob(JobStatus.DONE, n));
        }
        for (int n = 0; n < 21; n++) {
            all.add(new VersionedRecord(
                    "own/c/run-" + n, MessagePackFormat.map(VersionedRecord.VERSION_FIELD, 1L), REVISION));
        }
        return all;
    }

    private void checkRememberedState() {
        golden.expectReencoded(
                        "memory",
                        rememberedState(),
                        r -> RememberedStateCodec.write(r, 0),
                        GoldenStoredRecordsTest::readRememberedState)
                .expectReencoded(
                        "empty memory",
                        new RememberedState(),
                        r -> RememberedStateCodec.write(r, 0),
                        GoldenStoredRecordsTest::readRememberedState)
                .expectEncoded("first part of a long memory", RememberedStateCodec.write(largeRememberedState(), 0))
                .expectEncoded("second part of a long memory", RememberedStateCodec.write(largeRememberedState(), 1))
                .expectText(
                        "whether there are more parts",
                        RememberedStateCodec.read(
                                        encodeAndDecode(RememberedStateCodec.write(largeRememberedState(), 0)),
                                        new RememberedState())
                                + " "
                                + RememberedStateCodec.read(
                                        encodeAndDecode(RememberedStateCodec.write(largeRememberedState(), 1)),
                                        new RememberedState()));
    }

    private static RememberedState readRememberedState(Fields f) {
        RememberedState into = new RememberedState();
        RememberedStateCodec.read(f, into);
        return into;
    }

    @Test
    void storedRecordsMatchGoldenFile() {
        checkJobs();
        checkCompletionBits();
        checkMachines();
        checkLeadershipRecords();
        checkKeys();
        checkRememberedState();
        golden.verify();
    }
}
