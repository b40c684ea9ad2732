package io.indigoreach.state;

import io.indigoreach.config.PlatformConfig.StateLimits;
import io.indigoreach.core.model.JobId;
import io.indigoreach.core.model.JobSpec;
import io.indigoreach.core.model.JobStatus;
import io.indigoreach.net.Fields;
import io.indigoreach.net.JsonSize;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where the bits of a job's done tasks are written under the limits in force: in the job's record, in blocks as versions before
 * this one write and read them, or in smaller blocks. Whoever reads takes all three together, so the limits may change at any time: a bit
 * that is set anywhere is true for ever, as a task that is done stays done.
 *
 * <p>Small blocks have a prefix of their own, as an older version would read them as large ones: it does not see them, and runs
 * the tasks again, which end at once.
 */
public final class CompletionBits {
    /** Blocks named by their first task and as long as they happen to be. */
    public static final String SMALL_BLOCKS = "d/";

    private static final int MIN_BLOCK_TASKS = 1024;
    /** What a block takes besides its bits. */
    private static final int FRAME_BYTES = JsonSize.of(CompletionBlockCodec.writeBits(new BitSet()));

    /** Digits that a record's counters may gain while the job runs. */
    private static final int MAX_TASKS = 100_000;

    private final StateLimits limits;
    private final int blockTasks;

    /** Chooses the block size for these limits. */
    public CompletionBits(StateLimits limits) {
        this.limits = limits;
        int blockTasks = CompletionBlockCodec.BLOCK_TASKS;
        while (blockTasks > MIN_BLOCK_TASKS && blockBytes(blockTasks) > limits.maxRecordBytes()) {
            blockTasks /= 2;
        }
        this.blockTasks = blockTasks;
    }

    /** What bits take as unpadded Base64. */
    private static int blockBytes(int tasks) {
        int bytes = (tasks + Byte.SIZE - 1) / Byte.SIZE;
        return FRAME_BYTES + (bytes * 4 + 2) / 3;
    }

    /** How long the job's record becomes without bits. */
    public static int recordBytes(JobSpec spec, long submittedMs) {
        return JsonSize.of(JobRecordCodec.writeJob(
                        spec, submittedMs, JobStatus.CANCELLED, new BitSet(), MAX_TASKS, MAX_TASKS))
                + Integer.toString(MAX_TASKS).length();
    }

    /** Whether the record fits at all: an earlier version may have accepted a longer description. */
    public boolean canBeWritten(JobSpec spec, long submittedMs) {
        return recordBytes(spec, submittedMs) <= limits.valueBytes();
    }

    /** Whether the record takes the bits of all the job's tasks. */
    public boolean areInRecord(JobSpec spec, long submittedMs) {
        return spec.taskCount() <= CompletionBlockCodec.MAX_TASKS_IN_RECORD
                && recordBytes(spec, submittedMs) + blockBytes(spec.taskCount()) <= limits.maxRecordBytes();
    }

    /** A job's record, with the bits or without them as the limits have it. */
    public Map<String, Object> writeJob(
            JobSpec spec, long submittedMs, JobStatus status, BitSet done, int running, int bound) {
        Map<String, Object> record = JobRecordCodec.writeJob(spec, submittedMs, status, done, running, bound);
        if (!areInRecord(spec, submittedMs)) {
            record.remove(CompletionBlockCodec.BITS_FIELD);
        }
        return record;
    }

    /** The blocks that hold {@code missing}, by their keys, at most {@code most}; each with the tasks it covers. */
    public Map<String, BitSet> blocksWith(JobId id, BitSet missing, BitSet done, int most) {
        Map<String, BitSet> blocks = new LinkedHashMap<>();
        int next = missing.nextSetBit(0);
        while (next >= 0 && blocks.size() < most) {
            int n = next / blockTasks;
            BitSet covered = new BitSet();
            covered.set(n * blockTasks, (n + 1) * blockTasks);
            covered.and(done);
            blocks.put(key(id, n), covered);
            next = missing.nextSetBit((n + 1) * blockTasks);
        }
        return blocks;
    }

    private String key(JobId id, int n) {
        return blockTasks == CompletionBlockCodec.BLOCK_TASKS
                ? RecordKeys.blockKey(id, n)
                : SMALL_BLOCKS + id.text() + "/" + n * blockTasks;
    }

    /** The value of a block that {@link #blocksWith} has named. */
    public static Map<String, Object> writeBlock(String key, BitSet covered) {
        int from = firstOf(key);
        return CompletionBlockCodec.writeBits(covered.get(from, Math.max(from, covered.length())));
    }

    /** Adds a block's bits; throws {@link io.indigoreach.net.WireException} if it cannot be read. */
    public static void readBlock(String key, Fields value, BitSet into) {
        BitSet block = CompletionBlockCodec.readBits(value);
        int from = firstOf(key);
        block.stream().forEach(i -> into.set(from + i));
    }

    private static int firstOf(String key) {
        int number = RecordReader.read(() -> Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)));
        return key.startsWith(SMALL_BLOCKS) ? number : number * CompletionBlockCodec.BLOCK_TASKS;
    }

    /** Of whose tasks this block's are. */
    public static JobId jobOf(String key) {
        return RecordKeys.jobOfBlock(key);
    }
}
