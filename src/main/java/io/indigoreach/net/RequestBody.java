package io.indigoreach.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/** Reads the body of an HTTP request, up to a size limit. */
public final class RequestBody {
    /** Maximum body size of the protocol, in bytes. */
    public static final int MAX_BYTES = 64 * 1024;

    /** Maximum digits of a parsed Content-Length: a longer number exceeds the limit and might overflow a {@code long}. */
    private static final int MAX_LENGTH_DIGITS = 9;

    private RequestBody() {}

    /**
     * Reads the body.
     *
     * @param onComplete called with the complete body
     * @param onTooLong called instead if the body exceeds {@link #MAX_BYTES}; the body is discarded
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
