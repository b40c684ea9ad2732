package io.indigoreach.net;

/** A message that cannot be read, or a reply that cannot be used; the text is a short reason. No stack trace is recorded. */
public final class WireException extends RuntimeException {
    /** {@code reason}: as it may be sent to the other side. */
    public WireException(String reason) {
        super(reason, null, false, false);
    }
}
