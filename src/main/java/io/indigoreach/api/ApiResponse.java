package io.indigoreach.api;

import io.indigoreach.net.MessagePackFormat;
import java.util.Map;

/** An answer to be written: status, body, and when to come back in seconds, or 0. */
public record ApiResponse(int status, Map<String, Object> body, int retryAfterS) {
    public static ApiResponse ok(Map<String, Object> body) {
        return new ApiResponse(200, body, 0);
    }

    public static ApiResponse error(int status, String reason) {
        return new ApiResponse(status, MessagePackFormat.map("error", reason), 0);
    }

    /** Not now: said at once, with the time to come back. */
    public static ApiResponse retryLater(String reason) {
        return new ApiResponse(503, MessagePackFormat.map("error", reason), 1);
    }
}
