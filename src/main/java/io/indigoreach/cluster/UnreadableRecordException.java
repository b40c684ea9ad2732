package io.indigoreach.cluster;

import io.indigoreach.net.WireException;

/**
 * Signals that a record that is required for leadership cannot be decoded. A retry fails until an operator has restored the
 * record.
 */
final class UnreadableRecordException extends RuntimeException {
    UnreadableRecordException(String key, WireException cause) {
        super("the record " + key + " cannot be read (" + cause.getMessage() + ")", cause, false, false);
    }
}
