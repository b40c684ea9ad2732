package io.indigoreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.indigoreach.core.intent.Intents;
import io.indigoreach.core.loss.RememberedState;
import io.indigoreach.core.model.FencingToken;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.MachineId;
import io.indigoreach.core.model.MachinePool;
import io.indigoreach.core.model.MachineType;
import io.indigoreach.core.model.Resources;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that this version reads the records of the version in production and writes the same bytes for the same values. */
class GoldenRecordsTest {
    private static final String FILE = "records.txt";
    private static final JobId ID = new JobId("run-000412");
    private static final Revision REVISION = new Revision(9);
    private static final FencingToken TOKEN = new FencingToken(7_000_001);
    private static final MachinePool POOL = new MachinePool("quad", "a", true);
    /** Records that production writes as one value and later versions may split: this version only has to read them. */
    private static final Set<String> READ_ONLY = Set.of("job of 5000", "job of 40000", "block 1 of 40000");

    private static BitSet everyThird(int tasks) {
        BitSet done = new BitSet();
        for (int i = 0; i < tasks; i += 3) {
            done.set(i);
        }
        return done;
    }

    private static JobSpec small(JobKind kind, int tasks) {
        return JobSpec.builder(ID)
                .jobClass("stock-reconcile")
                .team("fleet-ops")
                .kind(kind)
                .urgency(Urgency.STANDARD)
                .taskCount(tasks)
                .demand(new Resources(1, 0, 3.6))
                .image("image")
                .imageGb(0.9)
                .estimatedRunTime(Span.seconds(18))
                .build();
    }

    private static JobSpec full(int tasks) {
        return JobSpec.builder(ID)
                .jobClass("refill-routes")
                .team("fleet-ops")
                .kind(JobKind.SERVICE)
                .urgency(Urgency.PRODUCTION)
                .taskCount(tasks)
                .demand(new Resources(2.5, 1, 3.8))
                .image("image")
                .imageGb(1)
                .machineTypes(List.of("quad", "g8"))
                .zone("a")
                .singleZone()
                .spreadOverZones()
                .spotAllowed()
                .estimatedRunTime(Span.seconds(25))
                .checkpointInterval(Span.seconds(30))
                .checkpointDuration(Span.seconds(4))
                .relativeDeadline(Span.seconds(900))
                .extensions(Map.of("plan", "2026-12-02/vans"))
                .build();
    }

    private static ProductionSample jobSample(JobSpec spec, JobStatus status, BitSet done) {
        boolean inBlocks = LegacyCompletionBlocks.blockCount(spec.taskCount()) > 0;
        return new ProductionSample(
                JobRecordCodec.writeJob(spec, 1_700_000_000_123L, status, done, 3, 5),
                f -> JobRecordCodec.readJob(ID, f, REVISION),
                new JobRecord(
                        spec,
                        1_700_000_000_123L,
                        status,
                        inBlocks ? new BitSet() : done,
                        done.cardinality(),
                        3,
                        5,
                        REVISION));
    }

    private static Object readBlock(int blockNumber, Fields f) {
        BitSet into = new BitSet();
        LegacyCompletionBlocks.readBlock(RecordKeys.completionBlockKey(ID, blockNumber), f, into);
        return into;
    }

    private static RememberedState rememberedState() {
        RememberedState all = new RememberedState();
        all.add(new RememberedState.OpenJob(full(6), 1_700_000_000_123L, everyThird(6), 4));
        all.add(new JobId("run-000398"), new RememberedState.FinishedJob(JobStatus.CANCELLED, 2));
        all.add(new JobId("run-000399"), new RememberedState.FinishedJob(JobStatus.DONE, 8));
        return all;
    }

    /** The comparable content of a remembered state, which does not implement {@code equals}. */
    private static Object content(RememberedState r) {
        return List.of(List.copyOf(r.openJobs()), r.finishedJobs(), List.copyOf(r.records()));
    }

    private static Object readRememberedState(Fields f) {
        RememberedState into = new RememberedState();
        RememberedStateCodec.read(f, into);
        return content(into);
    }

    /** A counter in the first format. */
    private static ProductionSample counterSample(boolean bounds) {
        CounterRecord record = new CounterRecord(TOKEN, bounds, CounterRecord.ORIGINAL_FORMAT);
        return new ProductionSample(record.write(), CounterRecord::read, record);
    }

    static Map<String, ProductionSample> samples() {
        Map<String, ProductionSample> samples = new LinkedHashMap<>();
        for (JobStatus status : JobStatus.values()) {
            samples.put("array " + status, jobSample(small(JobKind.ARRAY, 100), status, everyThird(100)));
        }
        samples.put("service", jobSample(small(JobKind.SERVICE, 3), JobStatus.RUNNING, new BitSet()));
        samples.put("every field", jobSample(full(6), JobStatus.PENDING, everyThird(6)));
        samples.put("job of 5000", jobSample(small(JobKind.ARRAY, 5000), JobStatus.RUNNING, everyThird(5000)));
        samples.put("job of 40000", jobSample(small(JobKind.ARRAY, 40_000), JobStatus.RUNNING, everyThird(40_000)));
        BitSet secondBlock = everyThird(40_000);
        secondBlock.clear(0, 32_768);
        samples.put(
                "block 1 of 40000",
                new ProductionSample(
                        LegacyCompletionBlocks.writeBlock(everyThird(40_000), 1), f -> readBlock(1, f), secondBlock));
        samples.put(
                "end",
                new ProductionSample(
                        JobRecordCodec.writeFinal(JobStatus.CANCELLED, 17),
                        f -> JobRecordCodec.readFinal(ID, f),
                        new FinalRecord(ID, JobStatus.CANCELLED, 17)));
        List<MachineRecord> machines = List.of(
                new MachineRecord(new MachineId("vm-000231"), POOL, 1_700_000_000_000L, 1_700_000_020_000L),
                new MachineRecord(new MachineId("vm-000232"), POOL, 1_700_000_001_000L, 0));
        samples.put(
                "machines",
                new ProductionSample(
                        MachineRecordCodec.writeMachines(machines), MachineRecordCodec::readMachines, machines));
        Intents.Content intents = new Intents.Content(
                List.of(new Intents.Rental("t3-1", POOL, 50, 1_700_000_000_000L)), List.of(new MachineId("vm-000233")));
        samples.put(
                "intents",
                new ProductionSample(IntentRecordCodec.writeIntents(intents), IntentRecordCodec::readIntents, intents));
        List<MachineType> types = List.of(new MachineType(
                "quad", new Resources(4, 0, 16), 40, 1, 0.2, 0.05, Span.seconds(20), List.of("a", "b")));
        samples.put(
                "catalogue",
                new ProductionSample(
                        CatalogueRecordCodec.writeCatalogue(types), CatalogueRecordCodec::readCatalogue, types));
        samples.put("counter", counterSample(false));
        samples.put("counter with bounds", counterSample(true));
        samples.put(
                "era", new ProductionSample(EraRecordCodec.writeEra(TOKEN), EraRecordCodec::readEra, TOKEN.value()));
        samples.put(
                "era after a loss",
                new ProductionSample(
                        EraRecordCodec.writeEra(TOKEN, 1_700_000_000_000L, List.of("era: 0 where 1 was known"), 12),
                        EraRecordCodec::describeLoss,
                        List.of(
                                "found and rebuilt by 2023-11-14T22:13:20Z: 12 records written anew",
                                "era: 0 where 1 was known")));
        samples.put(
                "leader",
                new ProductionSample(
                        LeaderKey.write("worker-1", "5f-1700000000000", TOKEN),
                        f -> LeaderKey.read(f, REVISION),
                        new LeaderKey("worker-1", "5f-1700000000000", TOKEN, REVISION)));
        samples.put(
                "memory",
                new ProductionSample(
                        RememberedStateCodec.write(rememberedState(), 0),
                        GoldenRecordsTest::readRememberedState,
                        content(rememberedState())));
        return samples;
    }

    static Set<String> names() {
        return samples().keySet();
    }

    @ParameterizedTest
    @MethodSource("names")
    void productionRecordsAreReadable(String name) {
        ProductionSample sample = samples().get(name);
        assertEquals(
                sample.value(),
                sample.read()
                        .apply(ProductionSample.fields(
                                ProductionSample.load(FILE).get(name))));
    }

    @ParameterizedTest
    @MethodSource("names")
    void recordsAreWrittenAsInProduction(String name) {
        if (!READ_ONLY.contains(name)) {
            assertEquals(
                    ProductionSample.load(FILE).get(name), samples().get(name).hex());
        }
    }

    @Test
    void everySampleIsTested() {
        assertEquals(List.copyOf(ProductionSample.load(FILE).keySet()), new ArrayList<>(names()));
    }

    /**
     * Checks records that the version in production does not have. Its code was run against these bytes (docs/notes/versions.md): it
     * keeps the additional field with a job's dependencies when it rewrites the record, and finds no token in a raised counter.
     */
    @Test
    void newRecordsMatchTheBytesTestedWithProduction() {
        JobSpec chained = small(JobKind.ARRAY, 100).with("waits_on", List.of("run-000398", "run-000405"));
        Map<String, String> lines = new LinkedHashMap<>();
        lines.put(
                "chained job",
                jobSample(chained, JobStatus.PENDING, new BitSet()).hex());
        for (boolean bounds : new boolean[] {false, true}) {
            CounterRecord counter = new CounterRecord(TOKEN, bounds, CounterRecord.DEPENDENCIES_FORMAT);
            assertEquals(
                    counter, CounterRecord.read(MessagePackFormat.readMap(MessagePackFormat.write(counter.write()))));
            lines.put("raised counter " + bounds, ProductionSample.hex(MessagePackFormat.write(counter.write())));
        }
        lines.put("a node's format", ProductionSample.hex(MessagePackFormat.write(FormatGate.encodeSupportedFormat())));
        assertEquals(ProductionSample.load("new.txt"), lines);
    }
}
