/**
 * The interface to the workers: their heartbeats, the commands in the responses ({@link io.indigoreach.worker.HeartbeatEndpoint}),
 * and the codec of both ({@link io.indigoreach.worker.WorkerCodec}).
 */
package io.indigoreach.worker;
