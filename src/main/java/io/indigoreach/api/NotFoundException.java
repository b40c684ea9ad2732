package io.indigoreach.api;

/** Thrown if the job or other entity that a request refers to does not exist. */
public final class NotFoundException extends ApiException {
    /**
     * Creates the failure of a request.
     *
     * @param reason the error text that is sent to the client
     */
    public NotFoundException(String reason) {
        super(reason);
    }

    /** Returns the failure for a job that was never accepted. */
    static NotFoundException job() {
        return new NotFoundException("no such job");
    }
}
