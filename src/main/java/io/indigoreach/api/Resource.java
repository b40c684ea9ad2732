package io.indigoreach.api;

import io.indigoreach.net.Fields;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/** What a part serves to people under {@code /api/NAME}, at any node. A failed future is answered 503 with Retry-After. */
public interface Resource {
    /**
     * A request.
     *
     * @param path what follows the resource's own path, cut at the slashes
     * @param query the parameters of the address
     * @param body empty where there is none
     */
    record Call(String method, List<String> path, Map<String, String> query, Fields body) {
        public boolean isGet() {
            return "GET".equals(method);
        }

        public boolean isPost() {
            return "POST".equals(method);
        }
    }

    /** Throws {@link RequestRejectedException}, or {@link io.indigoreach.net.WireException} for a malformed body. */
    Future<ApiResponse> serve(Call call);
}
