package io.indigoreach.api;

/** Thrown if a request cannot be processed now. The client may retry it unchanged. */
public final class RetryLaterException extends ApiException {
    /**
     * Creates the failure of a request.
     *
     * @param reason the error text that is sent to the client
     */
    public RetryLaterException(String reason) {
        super(reason);
    }
}
