package io.indigoreach.api;

import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * An entry of the routing table.
 *
 * @param parameterExtractor extracts the variable part of a path; empty if the route does not match the path
 * @param handler handles matching requests
 */
record Route(Function<String, Optional<String>> parameterExtractor, Handler handler) {
    /** Handles a request; {@code parameter} is the variable part of its path. */
    @FunctionalInterface
    interface Handler {
        void handle(HttpServerRequest request, String parameter);
    }

    /** Returns a route that matches only this path; its parameter is empty. */
    static Route exact(String path, Handler handler) {
        return new Route(requestPath -> requestPath.equals(path) ? Optional.of("") : Optional.empty(), handler);
    }

    /** Returns a route that matches {@code prefix + parameter + suffix} if {@code parameterCheck} accepts the parameter. */
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
