package io.indigoreach.state;

import io.indigoreach.net.WireException;
import java.util.function.Supplier;

/** Reads records so that whatever a malformed value causes becomes a {@link WireException}. */
final class RecordReader {
    /** The result of {@code reading}; a malformed value becomes a {@link WireException}, unlike a fault of the program. */
    static <T> T read(Supplier<T> reader) {
        try {
            return reader.get();
        } catch (IllegalArgumentException | ClassCastException | IndexOutOfBoundsException e) {
            throw new WireException(
                    e.getClass().getSimpleName() + (e.getMessage() == null ? "" : " " + e.getMessage()));
        }
    }

    /** The result of {@code reading}, or null if the value is malformed. */
    static <T> T readOrNull(Supplier<T> reader) {
        try {
            return read(reader);
        } catch (WireException e) {
            return null;
        }
    }

    private RecordReader() {}
}
