package io.indigoreach.api;

import io.indigoreach.net.Wire;
import java.util.Map;

/** An answer to be written: status, body, and when to come back in seconds, or 0. */
public record Answer(int status, Map<String, Object> body, int retryAfterS) {
    public static Answer ok(Map<String, Object> body) {
        return new Answer(200, body, 0);
    }

    public static Answer error(int status, String reason) {
        return new Answer(status, Wire.map("error", reason), 0);
    }

    /** Not now: said at once, with the time to come back. */
    public static Answer later(String reason) {
        return new Answer(503, Wire.map("error", reason), 1);
    }
}
