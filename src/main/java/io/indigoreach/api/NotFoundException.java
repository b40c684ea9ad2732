package io.indigoreach.api;

/** What the request refers to does not exist. */
public final class NotFoundException extends ApiException {
    /** {@code reason}: as it is sent to the user. */
    public NotFoundException(String reason) {
        super(reason);
    }

    /** No job with this id was ever accepted. */
    static NotFoundException job() {
        return new NotFoundException("no such job");
    }
}
