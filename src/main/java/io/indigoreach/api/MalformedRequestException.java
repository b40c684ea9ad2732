package io.indigoreach.api;

/** Thrown if a request cannot be read or a field has an invalid value. The client has to correct the request. */
public final class MalformedRequestException extends ApiException {
    /**
     * Creates the failure of a request.
     *
     * @param reason the error text that is sent to the client
     */
    public MalformedRequestException(String reason) {
        super(reason);
    }
}
