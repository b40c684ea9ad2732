package io.indigoreach.worker;

import io.indigoreach.api.Answer;
import io.indigoreach.cluster.Controller;
import io.indigoreach.net.Wire;
import io.vertx.core.buffer.Buffer;

/** Takes the workers' reports. */
public final class ReportDesk {
    private final Controller controller;

    public ReportDesk(Controller controller) {
        this.controller = controller;
    }

    /** The answer to a report; throws {@link io.indigoreach.net.WireException} if it cannot be read. */
    public Answer report(Buffer body) {
        Controller.Answer answer = controller.onReport(WorkerCodec.read(Wire.readMap(body)));
        if (!answer.accepted()) {
            return new Answer(421, WorkerCodec.elsewhere(answer.leader()), 0);
        }
        return new Answer(200, WorkerCodec.answer(answer.token(), answer.orders()), 0);
    }

    /** Whether an answer made a moment ago may still be written. */
    public boolean mayAnswer() {
        return controller.mayAnswer();
    }
}
