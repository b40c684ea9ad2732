package io.indigoreach.worker;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.cluster.Controller;
import io.indigoreach.net.MessagePackFormat;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

/** Receives the workers' heartbeats. Used on the event loop only. */
public final class HeartbeatEndpoint {
    private static final int OK = 200;
    /** Status of the response of a node that is not the leader. The body contains the leader's address if it is known. */
    private static final int MISDIRECTED_REQUEST = 421;

    private final Controller controller;

    /** {@code controller}: accepts heartbeats while its node is the leader. */
    public HeartbeatEndpoint(Controller controller) {
        this.controller = controller;
    }

    /**
     * Processes a heartbeat and returns the response. Throws a {@link io.indigoreach.net.WireException} if the heartbeat is
     * malformed.
     */
    public Future<ApiResponse> receive(Buffer body) {
        return controller
                .onHeartbeat(() -> WorkerCodec.read(MessagePackFormat.readMap(body)))
                .map(reply -> reply.accepted()
                        ? new ApiResponse(OK, WorkerCodec.writeResponse(reply.token(), reply.commands()), 0)
                        : new ApiResponse(MISDIRECTED_REQUEST, WorkerCodec.writeLeader(reply.leader()), 0));
    }
}
