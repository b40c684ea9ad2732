package io.indigoreach.state;

import io.vertx.core.Vertx;

/**
 * An event loop and the state client to be used on it.
 *
 * @param vertx runs the event loop
 * @param client a client whose connections belong to that event loop
 */
public record StateAccess(Vertx vertx, StateClient client) {}
