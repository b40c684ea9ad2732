package io.indigoreach.net;

/** A message that cannot be read; the text says why in a few words. */
public final class WireException extends RuntimeException {
    public WireException(String reason) {
        super(reason, null, false, false);
    }
}
