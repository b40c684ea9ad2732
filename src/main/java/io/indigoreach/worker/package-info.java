/**
 * The interface for workers: heartbeats, the commands in the responses to them ({@link io.indigoreach.worker.HeartbeatEndpoint}),
 * and the codec of both ({@link io.indigoreach.worker.WorkerCodec}).
 */
package io.indigoreach.worker;
