package io.indigoreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.Demand;
import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Revision;
import io.indigoreach.core.model.Span;
import io.indigoreach.core.model.Urgency;
import io.indigoreach.net.MessagePackFormat;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that job records round-trip and that the largest ones fit the smallest limits of any deployment. */
class JobRecordCodecTest {
    private static final int VALUE_BYTES = 8 * 1024;
    private static final int TXN_OPS = 12;

    private static JobSpec spec(int tasks) {
        return JobSpec.builder(new JobId("run-000000000000000001"))
                .jobClass("c".repeat(100))
                .team("t")
                .kind(JobKind.SERVICE)
                .urgency(Urgency.PRODUCTION)
                .tasks(tasks)
                .demand(new Demand(1.5, 2, 3.25))
                .image("i".repeat(200))
                .imageGb(1.5)
                .types(List.of("k1", "k2"))
                .zone("z")
                .oneZone()
                .spread()
                .spotAllowed()
                .estimate(Span.seconds(12.5))
                .checkpointEvery(Span.seconds(30))
                .checkpointTime(Span.seconds(4))
                .due(Span.seconds(900))
                .build();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 8192, 8193, 32768, 100_000})
    void jobsOfEverySizeRoundTripWithinLimits(int tasks) {
        BitSet done = new BitSet();
        for (int i = 0; i < tasks; i += 2) {
            done.set(i);
        }
        done.set(tasks - 1);
        Map<String, Object> record = JobRecordCodec.writeJob(spec(tasks), 42, JobStatus.RUNNING, done, 7, 5);
        assertTrue(MessagePackFormat.write(record).length() <= VALUE_BYTES);
        JobRecord back = JobRecordCodec.readJob(
                spec(tasks).id(), MessagePackFormat.readMap(MessagePackFormat.write(record)), new Revision(9));
        BitSet bits = back.done();
        int blocks = TestBlocks.blocks(tasks);
        assertTrue(blocks + 2 <= TXN_OPS);
        for (int n = 0; n < blocks; n++) {
            Map<String, Object> block = TestBlocks.writeBlock(done, n);
            assertTrue(MessagePackFormat.write(block).length() <= VALUE_BYTES);
            String key = RecordKeys.blockKey(back.id(), n);
            assertEquals(back.id(), RecordKeys.jobOfBlock(key));
            TestBlocks.readBlock(key, MessagePackFormat.readMap(MessagePackFormat.write(block)), bits);
        }
        assertEquals(done, bits);
        assertEquals(
                new JobRecord(spec(tasks), 42, JobStatus.RUNNING, bits, done.cardinality(), 7, 5, new Revision(9)),
                back);
    }

    /** Older versions treat dependencies as an additional field and preserve it. With a hundred job ids it stays short. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_790_000_000_000L})
    void dependenciesAreStoredAmongTheAdditionalFields(long released) {
        List<JobId> needs = IntStream.range(100_000, 100_100)
                .mapToObj(n -> new JobId("run-" + n))
                .toList();
        JobSpec chained = spec(16).with(new JobDependencies(needs, released)).with("plan", Map.of("day", "d"));
        Map<String, Object> record = JobRecordCodec.writeJob(chained, 42, JobStatus.PENDING, new BitSet(), 0, 0);
        assertTrue(record.get("more").toString().length() < 800);
        JobRecord back = JobRecordCodec.readJob(
                chained.id(), MessagePackFormat.readMap(MessagePackFormat.write(record)), new Revision(9));
        assertEquals(chained, back.spec());
        assertEquals(Map.of("plan", Map.of("day", "d")), back.spec().more());
    }
}
