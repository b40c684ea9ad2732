package io.indigoreach.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/** Reads the body of a request up to a limit. */
public final class RequestBody {
    /** The longest body that the protocol allows, in bytes. */
    public static final int MAX_BYTES = 64 * 1024;

    /** A longer number is above the limit in any case, and might not fit a {@code long}. */
    private static final int MAX_LENGTH_DIGITS = 9;

    private RequestBody() {}

    /**
     * Reads the body.
     *
     * @param whole called with the body when it is complete
     * @param tooLong called instead, once it is longer than {@link #MAX_BYTES}; it is not kept
     */
    public static void read(HttpServerRequest request, Consumer<Buffer> onComplete, Runnable onTooLong) {
        String contentLength = request.getHeader("Content-Length");
        if (contentLength != null
                && (contentLength.length() > MAX_LENGTH_DIGITS || Long.parseLong(contentLength) > MAX_BYTES)) {
            onTooLong.run();
            return;
        }
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() + chunk.length() > MAX_BYTES) {
                if (!request.response().ended()) {
                    onTooLong.run();
                }
                return;
            }
            body.appendBuffer(chunk);
        });
        request.endHandler(ended -> {
            if (!request.response().ended()) {
                onComplete.accept(body);
            }
        });
    }
}
