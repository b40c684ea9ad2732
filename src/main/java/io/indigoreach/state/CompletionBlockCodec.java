package io.indigoreach.state;

import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.Base64;
import java.util.BitSet;
import java.util.Map;

/** Encodes and decodes completion bits, one per task, as a text field of a job's record or as separate blocks. */
final class CompletionBlockCodec {
    /** The largest number of tasks whose bits fit into the job's record. */
    static final int MAX_TASKS_IN_RECORD = 8192;
    /** The number of tasks of a full-size block. */
    static final int BLOCK_TASKS = 32768;

    static final String BITS_FIELD = "bits";

    /** The value of a block. */
    static Map<String, Object> writeBits(BitSet block) {
        return MessagePackFormat.map(BITS_FIELD, encode(block));
    }

    /** Decodes the bits of a block; throws {@link io.indigoreach.net.WireException} if it is malformed. */
    static BitSet readBits(Fields block) {
        return RecordReader.read(() -> decode(block.optionalText(BITS_FIELD)));
    }

    /** Encodes bits as unpadded Base64. */
    static String encode(BitSet bits) {
        return Base64.getEncoder().withoutPadding().encodeToString(bits.toByteArray());
    }

    /** Decodes bits from unpadded Base64; none for null. */
    static BitSet decode(String text) {
        return text == null ? new BitSet() : BitSet.valueOf(Base64.getDecoder().decode(text));
    }

    private CompletionBlockCodec() {}
}
