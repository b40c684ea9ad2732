package io.indigoreach.api;

/** A request that cannot be carried out or decided at this moment: the sender may repeat it unchanged. */
public final class RetryLaterException extends ApiException {
    /** {@code reason}: as it is sent to the user. */
    public RetryLaterException(String reason) {
        super(reason);
    }
}
