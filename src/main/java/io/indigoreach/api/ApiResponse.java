package io.indigoreach.api;

import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/**
 * An HTTP response.
 *
 * @param status the HTTP status code
 * @param body the fields of the body, which is sent as MessagePack
 * @param retryAfterS the value of {@code Retry-After} in seconds; with 0 the header is not sent
 */
public record ApiResponse(int status, Map<String, Object> body, int retryAfterS) {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int DEFAULT_RETRY_AFTER_S = 1;

    /** Returns a response with status 200 and this body. */
    public static ApiResponse ok(Map<String, Object> body) {
        return new ApiResponse(OK, body, 0);
    }

    /** Returns an error response whose body contains the reason. */
    public static ApiResponse error(int status, String reason) {
        return new ApiResponse(status, MessagePackFormat.map("error", reason), 0);
    }

    /** Returns a response with status 503, the reason and {@code Retry-After}. */
    public static ApiResponse retryLater(String reason) {
        return new ApiResponse(SERVICE_UNAVAILABLE, MessagePackFormat.map("error", reason), DEFAULT_RETRY_AFTER_S);
    }
}
