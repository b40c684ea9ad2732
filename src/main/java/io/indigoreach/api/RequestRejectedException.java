package io.indigoreach.api;

import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/** Thrown if a well-formed request is rejected. Retrying it unchanged does not help. */
public final class RequestRejectedException extends ApiException {
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;

    private final int status;
    private final transient Map<String, Object> body;

    private RequestRejectedException(int status, String reason, Map<String, Object> body) {
        super(reason);
        this.status = status;
        this.body = body;
    }

    /** Returns a rejection with 422: the value of {@code field} can never be accepted. */
    public static RequestRejectedException of(String field, String reason) {
        return new RequestRejectedException(
                UNPROCESSABLE, reason, MessagePackFormat.map("error", field + ": " + reason, "field", field));
    }

    /** Returns a rejection with 422: the request as a whole can never be accepted. */
    static RequestRejectedException of(String reason) {
        return new RequestRejectedException(UNPROCESSABLE, reason, MessagePackFormat.map("error", reason));
    }

    /** Returns a rejection with 409. {@code currentState} describes the current state that the request conflicts with. */
    public static RequestRejectedException conflict(String reason, Map<String, Object> currentState) {
        return new RequestRejectedException(
                CONFLICT, reason, MessagePackFormat.map("error", reason, "against", currentState));
    }

    /** The HTTP status code of the response. */
    public int status() {
        return status;
    }

    /** The body of the response. */
    public Map<String, Object> body() {
        return body;
    }
}
