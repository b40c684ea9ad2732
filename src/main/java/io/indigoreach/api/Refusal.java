package io.indigoreach.api;

import io.indigoreach.net.Wire;
import java.util.Map;

/** A request that is refused for good, with the field at fault, or with what stands against it. */
public final class Refusal extends RuntimeException {
    private final int status;
    private final transient Map<String, Object> body;

    private Refusal(int status, String message, Map<String, Object> body) {
        super(message, null, false, false);
        this.status = status;
        this.body = body;
    }

    /** 422: well formed, but it can never be done. */
    public static Refusal of(String field, String reason) {
        return new Refusal(422, reason, Wire.map("error", field + ": " + reason, "field", field));
    }

    /** 409: {@code against} is what stands against it, and might not for ever. */
    public static Refusal conflict(String reason, Map<String, Object> against) {
        return new Refusal(409, reason, Wire.map("error", reason, "against", against));
    }

    public static Refusal notFound(String reason) {
        return new Refusal(404, reason, Wire.map("error", reason));
    }

    public Answer answer() {
        return new Answer(status, body, 0);
    }
}
