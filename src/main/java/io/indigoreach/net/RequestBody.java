package io.indigoreach.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/** Gathers a request's body up to a limit. */
public final class RequestBody {
    /** What the protocol allows, in bytes. */
    public static final int MOST = 64 * 1024;

    private RequestBody() {}

    /** Hands over the whole body, or tells that it is longer than {@link #MOST}; a longer one is not kept. */
    public static void gather(HttpServerRequest request, Consumer<Buffer> whole, Runnable tooLong) {
        String length = request.getHeader("Content-Length");
        if ((length != null && length.length() > 9) || (length != null && Long.parseLong(length) > MOST)) {
            tooLong.run();
            return;
        }
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() + chunk.length() > MOST) {
                if (!request.response().ended()) {
                    tooLong.run();
                }
                return;
            }
            body.appendBuffer(chunk);
        });
        request.endHandler(end -> {
            if (!request.response().ended()) {
                whole.accept(body);
            }
        });
    }
}
