package io.indigoreach.api;

import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/**
 * A response as it is written to the connection.
 *
 * @param status the HTTP status code
 * @param body the fields of the body, which is sent as MessagePack
 * @param retryAfterS the value of {@code Retry-After} in seconds; 0: the header is not sent
 */
public record ApiResponse(int status, Map<String, Object> body, int retryAfterS) {
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int DEFAULT_RETRY_AFTER_S = 1;

    /** 200 with this body. */
    public static ApiResponse ok(Map<String, Object> body) {
        return new ApiResponse(OK, body, 0);
    }

    /** An error with a reason. */
    public static ApiResponse error(int status, String reason) {
        return new ApiResponse(status, MessagePackFormat.map("error", reason), 0);
    }

    /** 503 with a reason and {@code Retry-After}. */
    public static ApiResponse retryLater(String reason) {
        return new ApiResponse(SERVICE_UNAVAILABLE, MessagePackFormat.map("error", reason), DEFAULT_RETRY_AFTER_S);
    }
}
