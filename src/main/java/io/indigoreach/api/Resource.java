package io.indigoreach.api;

import io.indigoreach.net.Fields;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/** HTTP resource of an optional feature, served under {@code /api/NAME} at every node. Called on the event loop. */
public interface Resource {
    /**
     * A request to a resource.
     *
     * @param method the HTTP method in upper case
     * @param path the decoded segments of the path after the resource's name
     * @param query the first value of each query parameter
     * @param body the fields of the body; empty if the request has no body
     */
    record Request(String method, List<String> path, Map<String, String> query, Fields body) {
        /** Returns whether the method is GET. */
        public boolean isGet() {
            return "GET".equals(method);
        }

        /** Returns whether the method is POST. */
        public boolean isPost() {
            return "POST".equals(method);
        }
    }

    /**
     * Serves a request. If the future fails with an {@link ApiException}, {@link ErrorResponses} maps it to a response; any other
     * failure is mapped to 503 with {@code Retry-After}. Throws an {@link ApiException}, or {@link io.indigoreach.net.WireException} if the body is malformed.
     */
    Future<ApiResponse> serve(Request call);
}
