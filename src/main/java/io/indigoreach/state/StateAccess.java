package io.indigoreach.state;

import io.vertx.core.Vertx;

/**
 * An event loop and the state client that is bound to it.
 *
 * @param vertx runs the event loop
 * @param client a client whose connections belong to that event loop
 */
public record StateAccess(Vertx vertx, StateClient client) {}
