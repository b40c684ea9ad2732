package io.indigoreach.net;

/**
 * An HTTP response of a service.
 *
 * @param status the HTTP status code
 * @param body empty if the response has no body, or if the body of an error response could not be read
 */
public record ServiceResponse(int status, Fields body) {
    /** Returns whether the status is 200. */
    public boolean isOk() {
        return status == 200;
    }
}
