package io.indigoreach.api;

import io.indigoreach.net.Fields;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/** What an optional feature serves under {@code /api/NAME}, at any node. Called on the event loop. */
public interface Resource {
    /**
     * A request.
     *
     * @param method the HTTP method, in capitals
     * @param path the decoded segments of the path after the resource's own
     * @param query the query parameters; the first value of each
     * @param body the fields of the body; none if there is no body
     */
    record Request(String method, List<String> path, Map<String, String> query, Fields body) {
        /** Whether this only reads. */
        public boolean isGet() {
            return "GET".equals(method);
        }

        /** Whether this is a POST. */
        public boolean isPost() {
            return "POST".equals(method);
        }
    }

    /**
     * Serves a request. A future that fails with an {@link ApiException} is answered by its kind, any other failure with 503
     * and {@code Retry-After}. Throws an {@link ApiException}, or {@link io.indigoreach.net.WireException} if the body is malformed.
     */
    Future<ApiResponse> serve(Request call);
}
