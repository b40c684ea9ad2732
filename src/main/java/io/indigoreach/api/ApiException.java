package io.indigoreach.api;

/**
 * Base class of the failures that concern the client. Each subclass stands for one way in which the client can react.
 * {@link ErrorResponses} maps each subclass to a status code and a body. The message is sent to the client as the reason. No
 * stack trace is recorded.
 */
public abstract sealed class ApiException extends RuntimeException
        permits MalformedRequestException, NotFoundException, RequestRejectedException, RetryLaterException {
    ApiException(String reason) {
        super(reason, null, false, false);
    }
}
