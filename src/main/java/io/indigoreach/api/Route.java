package io.indigoreach.api;

import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * One row of the routing table.
 *
 * @param parameter the variable part of a path that the route serves; empty if it does not serve the path
 * @param handler handles the requests
 */
record Route(Function<String, Optional<String>> parameterExtractor, Handler handler) {
    /** Handles a request; {@code parameter} is the variable part of its path. */
    @FunctionalInterface
    interface Handler {
        void handle(HttpServerRequest request, String parameter);
    }

    /** Serves this path only, without a parameter. */
    static Route exact(String path, Handler handler) {
        return new Route(requestPath -> requestPath.equals(path) ? Optional.of("") : Optional.empty(), handler);
    }

    /** Serves {@code prefix + parameter + suffix} if the parameter is {@code accepted}. */
    static Route withParameter(String prefix, String suffix, Predicate<String> parameterCheck, Handler handler) {
        return new Route(
                requestPath -> extractParameter(requestPath, prefix, suffix).filter(parameterCheck), handler);
    }

    private static Optional<String> extractParameter(String path, String prefix, String suffix) {
        if (!path.startsWith(prefix)) {
            return Optional.empty();
        }
        String rest = path.substring(prefix.length());
        return rest.endsWith(suffix)
                ? Optional.of(rest.substring(0, rest.length() - suffix.length()))
                : Optional.empty();
    }
}
