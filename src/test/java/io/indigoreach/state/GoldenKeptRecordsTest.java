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

/** The records of jobs, machines and leaderships with their keys, and what controllers tell each other of them. */
class GoldenKeptRecordsTest {
    private static final JobId ID = GoldenSamples.JOB_ID;
    private static final Revision STAMP = new Revision(9);
    private static final FencingToken TOKEN = new FencingToken(7_000_001);
    private static final MachinePool POOL = new MachinePool("quad", "a", true);

    private final GoldenFile golden = new GoldenFile("records.txt");

    private static Fields sent(Map<String, Object> message) {
        return MessagePackFormat.readMap(MessagePackFormat.write(message));
    }

    private static BitSet first(int tasks) {
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

    /** Of a job whose bits stand beside its record these are as many, and any. */
    private static Map<String, Object> write(JobRecord record) {
        BitSet done = record.done().isEmpty() ? first(record.doneCount()) : record.done();
        return JobRecordCodec.writeJob(
                record.spec(), record.submittedMs(), record.status(), done, record.running(), record.bound());
    }

    private void job(String name, JobSpec spec, JobStatus status, BitSet done) {
        BitSet inside = spec.tasks() > CompletionBlockCodec.MAX_TASKS_IN_RECORD ? new BitSet() : done;
        JobRecord record = new JobRecord(
                spec, GoldenSamples.TIME_OF_DAY_MS, status, inside, done.cardinality(), 3, spec.tasks(), STAMP);
        golden.expectRoundTrip(name, record, GoldenKeptRecordsTest::write, f -> JobRecordCodec.readJob(ID, f, STAMP));
    }

    private void jobs() {
        GoldenSamples.jobs().forEach((name, spec) -> job("job " + name, spec, JobStatus.PENDING, new BitSet()));
        for (JobStatus status : JobStatus.values()) {
            job("job of status " + status.ordinal(), GoldenSamples.minimalJob(100), status, everyThird(100));
        }
        JobDependencies released = GoldenSamples.jobs().get("chained").dependencies();
        job(
                "job released from its chain",
                GoldenSamples.minimalJob(4)
                        .with(new JobDependencies(released.requiredJobs(), GoldenSamples.TIME_OF_DAY_MS)),
                JobStatus.RUNNING,
                new BitSet());
        job("job of 8192", GoldenSamples.minimalJob(8192), JobStatus.RUNNING, everyThird(8192));
        job("job of 40000", GoldenSamples.minimalJob(40_000), JobStatus.RUNNING, first(20_000));
        Map<String, Object> without =
                write(new JobRecord(GoldenSamples.minimalJob(2), 1, JobStatus.PENDING, new BitSet(), 0, 0, 0, STAMP));
        without.remove("bound");
        golden.expectDecoded("job without a start bound", without, f -> write(JobRecordCodec.readJob(ID, f, STAMP)));
        golden.expectRejected(
                "job without tasks", MessagePackFormat.map("class", "c"), f -> JobRecordCodec.readJob(ID, f, STAMP));
        for (JobStatus status : List.of(JobStatus.DONE, JobStatus.CANCELLED)) {
            golden.expectRoundTrip(
                    "end of status " + status.ordinal(),
                    new FinalRecord(ID, status, 17),
                    r -> JobRecordCodec.writeFinal(r.status(), r.done()),
                    f -> JobRecordCodec.readFinal(ID, f));
        }
    }

    private void bits() {
        BitSet done = everyThird(40_000);
        for (int n = 0; n < 2; n++) {
            int block = n;
            golden.expectReencoded("block " + n + " of 40000", done, all -> TestBlocks.writeBlock(all, block), f -> {
                BitSet into = new BitSet();
                TestBlocks.readBlock(RecordKeys.blockKey(ID, block), f, into);
                return into;
            });
        }
        for (int bytes : new int[] {8192, 2048, 512}) {
            CompletionBits bits = new CompletionBits(new PlatformConfig.StateLimits(100, 100, bytes, 16));
            BitSet missing = new BitSet();
            missing.set(9_000);
            missing.set(39_999);
            bits.blocksWith(ID, missing, done, 16)
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

    private void machines() {
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
                        new Intents.Page(
                                List.of(new Intents.Rent("7000001-1", POOL, 50, GoldenSamples.TIME_OF_DAY_MS)),
                                List.of(new MachineId("vm-000233"))),
                        IntentRecordCodec::writeIntents,
                        IntentRecordCodec::readIntents)
                .expectRoundTrip(
                        "no intents",
                        new Intents.Page(List.of(), List.of()),
                        IntentRecordCodec::writeIntents,
                        IntentRecordCodec::readIntents)
                .expectRoundTrip(
                        "catalogue",
                        GoldenSamples.MACHINE_TYPES,
                        CatalogueRecordCodec::writeCatalogue,
                        CatalogueRecordCodec::readCatalogue)
                .expectText(
                        "bytes that limits are kept by",
                        MachineRecordCodec.bytes(machines.get(0)) + " "
                                + IntentRecordCodec.bytes(
                                        new Intents.Rent("7000001-1", POOL, 50, GoldenSamples.TIME_OF_DAY_MS))
                                + " "
                                + IntentRecordCodec.bytes(new MachineId("vm-000233")) + " "
                                + CompletionBits.recordBytes(
                                        GoldenSamples.fullJob(6, Urgency.HIGH), GoldenSamples.TIME_OF_DAY_MS));
    }

    private void leaderships() {
        for (int format : new int[] {CounterRecord.FIRST, CounterRecord.CHAINS}) {
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
                MessagePackFormat.map("highest", 7L, "format", CounterRecord.KNOWN + 1L),
                CounterRecord::read);
        golden.expectEncoded("format that a node knows", FormatGate.write())
                .expectRoundTrip(
                        "leader",
                        new LeaderKey("worker-1", "5f-1700000000000", TOKEN, STAMP),
                        k -> LeaderKey.write(k.node(), k.process(), k.token()),
                        f -> LeaderKey.read(f, STAMP))
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
                                EraRecordCodec.readLoss(sent(EraRecordCodec.writeEra(
                                        TOKEN,
                                        GoldenSamples.TIME_OF_DAY_MS,
                                        List.of("era: 0 where 1 was known"),
                                        12)))));
    }

    private void keys() {
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
                        RecordKeys.blockKey(ID, 1),
                        RecordKeys.machinePageKey(TOKEN, 3),
                        RecordKeys.intentsKey(TOKEN),
                        FormatGate.NODES,
                        CompletionBits.SMALL_BLOCKS,
                        RecordKeys.keyBefore(RecordKeys.openKey(ID))));
    }

    private static RememberedState remains() {
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
                "warm/pool/a", MessagePackFormat.map("team", "t", VersionedRecord.VERSION, 3L), STAMP));
        return all;
    }

    private static RememberedState many() {
        RememberedState all = new RememberedState();
        for (int n = 0; n < 201; n++) {
            all.add(new JobId("run-" + n), new RememberedState.FinishedJob(JobStatus.DONE, n));
        }
        for (int n = 0; n < 21; n++) {
            all.add(new VersionedRecord("own/c/run-" + n, MessagePackFormat.map(VersionedRecord.VERSION, 1L), STAMP));
        }
        return all;
    }

    private void memory() {
        golden.expectReencoded(
                        "memory", remains(), r -> RememberedStateCodec.write(r, 0), GoldenKeptRecordsTest::remembered)
                .expectReencoded(
                        "empty memory",
                        new RememberedState(),
                        r -> RememberedStateCodec.write(r, 0),
                        GoldenKeptRecordsTest::remembered)
                .expectEncoded("first part of a long memory", RememberedStateCodec.write(many(), 0))
                .expectEncoded("second part of a long memory", RememberedStateCodec.write(many(), 1))
                .expectText(
                        "whether there are more parts",
                        RememberedStateCodec.read(sent(RememberedStateCodec.write(many(), 0)), new RememberedState())
                                + " "
                                + RememberedStateCodec.read(
                                        sent(RememberedStateCodec.write(many(), 1)), new RememberedState()));
    }

    private static RememberedState remembered(Fields f) {
        RememberedState into = new RememberedState();
        RememberedStateCodec.read(f, into);
        return into;
    }

    @Test
    void whatIsKept() {
        jobs();
        bits();
        machines();
        leaderships();
        keys();
        memory();
        golden.verify();
    }
}
