package io.indigoreach.state;

import io.indigoreach.net.Fields;
import java.util.BitSet;
import java.util.Map;

/** Encodes and decodes completion blocks like versions of the program before {@link CompletionBits}. */
public final class LegacyCompletionBlocks {
    private LegacyCompletionBlocks() {}

    /** The number of completion blocks of a job; 0 if its bits are stored in its record. */
    public static int blockCount(int tasks) {
        return tasks <= CompletionBlockCodec.MAX_TASKS_IN_RECORD
                ? 0
                : (tasks + CompletionBlockCodec.BLOCK_TASKS - 1) / CompletionBlockCodec.BLOCK_TASKS;
    }

    /** The value of the block with this number. */
    public static Map<String, Object> writeBlock(BitSet done, int number) {
        return CompletionBlockCodec.writeBits(
                done.get(number * CompletionBlockCodec.BLOCK_TASKS, (number + 1) * CompletionBlockCodec.BLOCK_TASKS));
    }

    /** Adds a block's bits to {@code into}. */
    public static void readBlock(String key, Fields value, BitSet into) {
        int number = RecordReader.read(() -> Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)));
        BitSet block = CompletionBlockCodec.readBits(value);
        for (int i = block.nextSetBit(0); i >= 0; i = block.nextSetBit(i + 1)) {
            into.set(number * CompletionBlockCodec.BLOCK_TASKS + i);
        }
    }
}
