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
 * Chooses where to store the completion bits of a job under the limits in force: in the job's record, in full-size blocks as
 * earlier versions write and read them, or in smaller blocks. Readers combine the bits of all three, so the limits may change at
 * any time: a completed task stays completed, so a bit that is set in any of them is valid.
 *
 * <p>Small blocks have a separate key prefix, because an older version would read them as full-size blocks. It does not see
 * them and runs the tasks again, which end at once.
 */
public final class CompletionBits {
    /** Key prefix of small blocks, which are named by their first task and have no fixed size. */
    public static final String SMALL_BLOCKS = "d/";

    private static final int MIN_BLOCK_TASKS = 1024;
    /** The size of a block without bits. */
    private static final int FRAME_BYTES = JsonSize.of(CompletionBlockCodec.writeBits(new BitSet()));

    /** An upper bound of tasks, which reserves space for the counters in a record to grow while the job runs. */
    private static final int MAX_COUNTER_VALUE = 100_000;

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

    /** The size of a block with the bits of this many tasks as unpadded Base64. */
    private static int blockBytes(int tasks) {
        int bytes = (tasks + Byte.SIZE - 1) / Byte.SIZE;
        return FRAME_BYTES + (bytes * 4 + 2) / 3;
    }

    /** The maximum size of the job's record without bits. */
    public static int recordBytes(JobSpec spec, long submittedMs) {
        return JsonSize.of(JobRecordCodec.writeJob(
                        spec, submittedMs, JobStatus.CANCELLED, new BitSet(), MAX_COUNTER_VALUE, MAX_COUNTER_VALUE))
                + Integer.toString(MAX_COUNTER_VALUE).length();
    }

    /** Whether the record without bits fits the limits; earlier versions may have accepted a longer job description. */
    public boolean recordFits(JobSpec spec, long submittedMs) {
        return recordBytes(spec, submittedMs) <= limits.valueBytes();
    }

    /** Whether the bits of all the job's tasks fit into its record. */
    public boolean fitInRecord(JobSpec spec, long submittedMs) {
        return spec.taskCount() <= CompletionBlockCodec.MAX_TASKS_IN_RECORD
                && recordBytes(spec, submittedMs) + blockBytes(spec.taskCount()) <= limits.maxRecordBytes();
    }

    /** The value of a job's record, with the bits if they fit into it. */
    public Map<String, Object> writeJob(
            JobSpec spec, long submittedMs, JobStatus status, BitSet done, int running, int startBound) {
        Map<String, Object> record = JobRecordCodec.writeJob(spec, submittedMs, status, done, running, startBound);
        if (!fitInRecord(spec, submittedMs)) {
            record.remove(CompletionBlockCodec.BITS_FIELD);
        }
        return record;
    }

    /**
     * The blocks to write so that the tasks in {@code missing} are stored, at most {@code maxBlocks}: by key, the completed tasks that
     * each block covers.
     */
    public Map<String, BitSet> blocksCovering(JobId id, BitSet missing, BitSet done, int maxBlocks) {
        Map<String, BitSet> blocks = new LinkedHashMap<>();
        int next = missing.nextSetBit(0);
        while (next >= 0 && blocks.size() < maxBlocks) {
            int blockNumber = next / blockTasks;
            BitSet covered = new BitSet();
            covered.set(blockNumber * blockTasks, (blockNumber + 1) * blockTasks);
            covered.and(done);
            blocks.put(blockKey(id, blockNumber), covered);
            next = missing.nextSetBit((blockNumber + 1) * blockTasks);
        }
        return blocks;
    }

    private String blockKey(JobId id, int blockNumber) {
        return blockTasks == CompletionBlockCodec.BLOCK_TASKS
                ? RecordKeys.completionBlockKey(id, blockNumber)
                : SMALL_BLOCKS + id.text() + "/" + blockNumber * blockTasks;
    }

    /** The value of a block that {@link #blocksCovering} has returned. */
    public static Map<String, Object> writeBlock(String key, BitSet covered) {
        int firstTask = firstTaskOf(key);
        return CompletionBlockCodec.writeBits(covered.get(firstTask, Math.max(firstTask, covered.length())));
    }

    /** Adds a block's bits to {@code into}; throws {@link io.indigoreach.net.WireException} if the block is malformed. */
    public static void readBlock(String key, Fields value, BitSet into) {
        BitSet block = CompletionBlockCodec.readBits(value);
        int firstTask = firstTaskOf(key);
        block.stream().forEach(i -> into.set(firstTask + i));
    }

    private static int firstTaskOf(String key) {
        int number = RecordReader.read(() -> Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)));
        return key.startsWith(SMALL_BLOCKS) ? number : number * CompletionBlockCodec.BLOCK_TASKS;
    }

    /** The job that a block belongs to. */
    public static JobId jobOf(String key) {
        return RecordKeys.jobOfCompletionBlock(key);
    }
}
