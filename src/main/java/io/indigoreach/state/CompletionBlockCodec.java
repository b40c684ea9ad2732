package io.indigoreach.state;

import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import java.util.Base64;
import java.util.BitSet;
import java.util.Map;

/** Completion bits, one per completed task, as text within a record and as blocks beside it. */
final class CompletionBlockCodec {
    /** Up to this many tasks, the bits fit into the job's own record. */
    static final int MAX_TASKS_IN_RECORD = 8192;
    /** The tasks of a block beside the record. */
    static final int BLOCK_TASKS = 32768;

    static final String BITS_FIELD = "bits";

    /** The value of a block. */
    static Map<String, Object> writeBits(BitSet block) {
        return MessagePackFormat.map(BITS_FIELD, encode(block));
    }

    /** The bits of a block; throws {@link io.indigoreach.net.WireException} if it cannot be read. */
    static BitSet readBits(Fields block) {
        return RecordReader.read(() -> decode(block.optionalText(BITS_FIELD)));
    }

    /** Bits as unpadded Base64. */
    static String encode(BitSet bits) {
        return Base64.getEncoder().withoutPadding().encodeToString(bits.toByteArray());
    }

    /** The bits of an unpadded Base64 text; none for null. */
    static BitSet decode(String text) {
        return text == null ? new BitSet() : BitSet.valueOf(Base64.getDecoder().decode(text));
    }

    private CompletionBlockCodec() {}
}
