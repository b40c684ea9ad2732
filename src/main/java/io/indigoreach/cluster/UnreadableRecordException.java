package io.indigoreach.cluster;

import io.indigoreach.net.WireException;

/** A record without which no node may lead cannot be decoded. A retry is of no use before an operator has restored the record. */
final class UnreadableRecordException extends RuntimeException {
    UnreadableRecordException(String key, WireException cause) {
        super("the record " + key + " cannot be read (" + cause.getMessage() + ")", cause, false, false);
    }
}
