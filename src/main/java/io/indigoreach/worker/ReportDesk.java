package io.indigoreach.worker;

import io.indigoreach.api.Answer;
import io.indigoreach.cluster.Controller;
import io.indigoreach.net.Wire;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

/** Takes the workers' reports. */
public final class ReportDesk {
    private final Controller controller;

    public ReportDesk(Controller controller) {
        this.controller = controller;
    }

    /** The answer to a report; throws {@link io.indigoreach.net.WireException} if it cannot be read. */
    public Future<Answer> report(Buffer body) {
        return controller
                .onReport(() -> WorkerCodec.read(Wire.readMap(body)))
                .map(answer -> answer.accepted()
                        ? new Answer(200, WorkerCodec.answer(answer.token(), answer.orders()), 0)
                        : new Answer(421, WorkerCodec.elsewhere(answer.leader()), 0));
    }
}
