package io.indigoreach.state;

import io.indigoreach.net.WireException;
import java.util.function.Supplier;

/** Reads records and converts the exceptions that malformed values cause into {@link WireException}. */
final class RecordReader {
    /**
     * Returns the result of {@code reader}. Throws a {@link WireException} if the value is malformed; does not catch
     * other exceptions.
     */
    static <T> T read(Supplier<T> reader) {
        try {
            return reader.get();
        } catch (IllegalArgumentException | ClassCastException | IndexOutOfBoundsException e) {
            throw new WireException(
                    e.getClass().getSimpleName() + (e.getMessage() == null ? "" : " " + e.getMessage()));
        }
    }

    /** The result of {@code reader}, or null if the value is malformed. */
    static <T> T readOrNull(Supplier<T> reader) {
        try {
            return read(reader);
        } catch (WireException e) {
            return null;
        }
    }

    private RecordReader() {}
}
