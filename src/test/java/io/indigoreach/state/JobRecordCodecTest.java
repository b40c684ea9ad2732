package io.indigoreach.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.indigoreach.core.model.JobDependencies;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobKind;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.core.model.Resources;
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
                .taskCount(tasks)
                .demand(new Resources(1.5, 2, 3.25))
                .image("i".repeat(200))
                .imageGb(1.5)
                .machineTypes(List.of("k1", "k2"))
                .zone("z")
                .singleZone()
                .spreadOverZones()
                .spotAllowed()
                .estimatedRunTime(Span.seconds(12.5))
                .checkpointInterval(Span.seconds(30))
                .checkpointDuration(Span.seconds(4))
                .relativeDeadline(Span.seconds(900))
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
        JobRecord decoded = JobRecordCodec.readJob(
                spec(tasks).id(), MessagePackFormat.readMap(MessagePackFormat.write(record)), new Revision(9));
        BitSet bits = decoded.done();
        int blocks = LegacyCompletionBlocks.blockCount(tasks);
        assertTrue(blocks + 2 <= TXN_OPS);
        for (int blockNumber = 0; blockNumber < blocks; blockNumber++) {
            Map<String, Object> block = LegacyCompletionBlocks.writeBlock(done, blockNumber);
            assertTrue(MessagePackFormat.write(block).length() <= VALUE_BYTES);
            String key = RecordKeys.completionBlockKey(decoded.id(), blockNumber);
            assertEquals(decoded.id(), RecordKeys.jobOfCompletionBlock(key));
            LegacyCompletionBlocks.readBlock(key, MessagePackFormat.readMap(MessagePackFormat.write(block)), bits);
        }
        assertEquals(done, bits);
        assertEquals(
                new JobRecord(spec(tasks), 42, JobStatus.RUNNING, bits, done.cardinality(), 7, 5, new Revision(9)),
                decoded);
    }

    /** Older versions treat dependencies as an additional field and preserve it. With a hundred job ids it stays short. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_790_000_000_000L})
    void dependenciesAreStoredAmongTheAdditionalFields(long releasedAtMs) {
        List<JobId> requiredJobs = IntStream.range(100_000, 100_100)
                .mapToObj(n -> new JobId("run-" + n))
                .toList();
        JobSpec jobWithDependencies =
                spec(16).with(new JobDependencies(requiredJobs, releasedAtMs)).with("plan", Map.of("day", "d"));
        Map<String, Object> record =
                JobRecordCodec.writeJob(jobWithDependencies, 42, JobStatus.PENDING, new BitSet(), 0, 0);
        assertTrue(record.get("more").toString().length() < 800);
        JobRecord decoded = JobRecordCodec.readJob(
                jobWithDependencies.id(), MessagePackFormat.readMap(MessagePackFormat.write(record)), new Revision(9));
        assertEquals(jobWithDependencies, decoded.spec());
        assertEquals(Map.of("plan", Map.of("day", "d")), decoded.spec().extensions());
    }
}
