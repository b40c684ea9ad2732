package io.indigoreach.worker;

import io.indigoreach.api.ApiResponse;
import io.indigoreach.cluster.Controller;
import io.indigoreach.net.MessagePackFormat;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

/** Takes the workers' reports. */
public final class HeartbeatEndpoint {
    private final Controller controller;

    public HeartbeatEndpoint(Controller controller) {
        this.controller = controller;
    }

    /** The answer to a report; throws {@link io.indigoreach.net.WireException} if it cannot be read. */
    public Future<ApiResponse> report(Buffer body) {
        return controller
                .onHeartbeat(() -> WorkerCodec.read(MessagePackFormat.readMap(body)))
                .map(answer -> answer.accepted()
                        ? new ApiResponse(200, WorkerCodec.answer(answer.token(), answer.commands()), 0)
                        : new ApiResponse(421, WorkerCodec.elsewhere(answer.leader()), 0));
    }
}
