package io.indigoreach.api;

/**
 * A request that is not carried out, by what its sender can do about it. {@link ErrorResponses} maps each kind to a status code
 * and a body. The message is the reason that the sender is given. No stack trace is recorded.
 */
public abstract sealed class ApiException extends RuntimeException
        permits MalformedRequestException, NotFoundException, RequestRejectedException, RetryLaterException {
    ApiException(String reason) {
        super(reason, null, false, false);
    }
}
