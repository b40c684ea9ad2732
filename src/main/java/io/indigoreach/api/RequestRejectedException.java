package io.indigoreach.api;

import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/** A request that is refused for good, with the field at fault, or with what stands against it. */
public final class RequestRejectedException extends RuntimeException {
    private final int status;
    private final transient Map<String, Object> body;

    private RequestRejectedException(int status, String message, Map<String, Object> body) {
        super(message, null, false, false);
        this.status = status;
        this.body = body;
    }

    /** 422: well formed, but it can never be done. */
    public static RequestRejectedException of(String field, String reason) {
        return new RequestRejectedException(
                422, reason, MessagePackFormat.map("error", field + ": " + reason, "field", field));
    }

    /** 409: {@code against} is what stands against it, and might not for ever. */
    public static RequestRejectedException conflict(String reason, Map<String, Object> against) {
        return new RequestRejectedException(409, reason, MessagePackFormat.map("error", reason, "against", against));
    }

    public static RequestRejectedException notFound(String reason) {
        return new RequestRejectedException(404, reason, MessagePackFormat.map("error", reason));
    }

    public ApiResponse answer() {
        return new ApiResponse(status, body, 0);
    }
}
