package io.indigoreach.emulator;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Gate;
import io.indigoreach.emulator.model.Verdict;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.SteadyClock;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/** The way from one controller to another: passes bytes on, unless the gate says that the way is cut. */
final class Relay {
    private static final Span LOOK_AGAIN = Span.seconds(0.05);

    private final Vertx vertx;
    private final SteadyClock clock;
    private final Gate gate;
    private final String from;
    private final String to;
    private final Endpoint target;
    private final NetServer server;

    Relay(Vertx vertx, SteadyClock clock, Gate gate, String from, String to, Endpoint target) {
        this.vertx = vertx;
        this.clock = clock;
        this.gate = gate;
        this.from = from;
        this.to = to;
        this.target = target;
        this.server = vertx.createNetServer().connectHandler(this::connect);
    }

    Future<Integer> listen(String host) {
        return server.listen(0, host).map(NetServer::actualPort);
    }

    Future<Void> close() {
        return server.close();
    }

    private void connect(NetSocket caller) {
        caller.pause();
        vertx.createNetClient()
                .connect(target.port(), target.host())
                .onSuccess(called -> {
                    called.pause();
                    pass(caller, called);
                    pass(called, caller);
                })
                .onFailure(e -> caller.close());
    }

    private void pass(NetSocket in, NetSocket out) {
        in.handler(bytes -> {
            Moment now = clock.now();
            Verdict verdict = gate.judge(now, from, to, true);
            Span wait = verdict.fate() == Verdict.Fate.HOLD ? verdict.until().since(now) : verdict.delay();
            if (verdict.fate() == Verdict.Fate.PASS && wait.ms() <= 0) {
                out.write(bytes);
            } else if (verdict.answers() || verdict.fate() == Verdict.Fate.HOLD) {
                // Held back, and delivered in order even if the caller has given up meanwhile.
                in.pause();
                vertx.setTimer(Math.max(LOOK_AGAIN.ms(), wait.ms()), t -> {
                    out.write(bytes);
                    in.resume();
                });
            } else {
                in.close();
                out.close();
            }
        });
        in.closeHandler(v -> out.close());
        in.exceptionHandler(e -> out.close());
        in.resume();
    }
}
