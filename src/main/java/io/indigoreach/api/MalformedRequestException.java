package io.indigoreach.api;

/** A request that cannot be read, or has a field with an invalid value: the sender has to correct it. */
public final class MalformedRequestException extends ApiException {
    /** {@code reason}: as it is sent to the user. */
    public MalformedRequestException(String reason) {
        super(reason);
    }
}
