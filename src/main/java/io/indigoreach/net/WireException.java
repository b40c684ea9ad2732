package io.indigoreach.net;

/** Thrown if a message cannot be decoded or a response cannot be used. The message is a short reason. Has no stack trace. */
public final class WireException extends RuntimeException {
    /** Creates an exception; {@code reason} may be sent to the peer. */
    public WireException(String reason) {
        super(reason, null, false, false);
    }
}
