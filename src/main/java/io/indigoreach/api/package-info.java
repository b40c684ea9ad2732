/**
 * The interface for users: the HTTP listener and its routes ({@link io.indigoreach.api.HttpApi}), the job service at any node
 * ({@link io.indigoreach.api.JobService}) and the codec of its messages ({@link io.indigoreach.api.JobCodec}). Failures that
 * concern a user are {@link io.indigoreach.api.ApiException}s, mapped to responses in one place. Everything runs on the
 * node's event loop.
 */
package io.indigoreach.api;
