package io.indigoreach.api;

import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * An entry of the routing table.
 *
 * @param parameter extracts the variable part of a path; empty if the route does not match the path
 * @param handler handles matching requests
 */
record Route(Function<String, Optional<String>> parameter, Handler handler) {
    /** Handles a request; {@code parameter} is the variable part of its path. */
    @FunctionalInterface
    interface Handler {
        void handle(HttpServerRequest request, String parameter);
    }

    /** Returns a route that matches only this path; its parameter is empty. */
    static Route exact(String path, Handler handler) {
        return new Route(requested -> requested.equals(path) ? Optional.of("") : Optional.empty(), handler);
    }

    /** Returns a route that matches {@code prefix + parameter + suffix} if {@code accepted} holds for the parameter. */
    static Route between(String prefix, String suffix, Predicate<String> accepted, Handler handler) {
        return new Route(requested -> middle(requested, prefix, suffix).filter(accepted), handler);
    }

    private static Optional<String> middle(String path, String prefix, String suffix) {
        if (!path.startsWith(prefix)) {
            return Optional.empty();
        }
        String rest = path.substring(prefix.length());
        return rest.endsWith(suffix)
                ? Optional.of(rest.substring(0, rest.length() - suffix.length()))
                : Optional.empty();
    }
}
