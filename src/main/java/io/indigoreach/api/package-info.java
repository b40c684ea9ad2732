/**
 * The interface for users: the HTTP listener and its routes ({@link io.indigoreach.api.HttpApi}), the job service at any node
 * ({@link io.indigoreach.api.JobService}) and the codec of its messages ({@link io.indigoreach.api.JobCodec}). Failures that
 * concern the client are {@link io.indigoreach.api.ApiException}s, which {@link io.indigoreach.api.ErrorResponses} maps to responses. Everything runs on the
 * node's event loop.
 */
package io.indigoreach.api;
