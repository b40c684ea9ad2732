package io.indigoreach.net;

/**
 * A response of another service.
 *
 * @param status the HTTP status code
 * @param body without fields if there is none, or if that of an error could not be read
 */
public record ServiceResponse(int status, Fields body) {
    /** Whether the status is 200. */
    public boolean isOk() {
        return status == 200;
    }
}
