package io.indigoreach.emulator;

import io.indigoreach.core.model.Moment;
import io.indigoreach.core.model.Span;
import io.indigoreach.emulator.model.Gate;
import io.indigoreach.emulator.model.Verdict;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RequestBody;
import io.indigoreach.net.ServiceResponse;
import io.indigoreach.net.SteadyClock;
import io.indigoreach.net.WireException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/** The listener of one party for one caller: what becomes of each message is for the {@link Gate} to say. */
final class GatedListener {
    private static final int IDLE_S = 120;

    /** A request that has come through. */
    static final class Request {
        private final HttpServerRequest http;
        private final Fields body;
        private final String caller;
        private final int behind;

        private Request(HttpServerRequest http, Fields body, String caller, int behind) {
            this.http = http;
            this.body = body;
            this.caller = caller;
            this.behind = behind;
        }

        String path() {
            return http.path();
        }

        boolean is(HttpMethod method) {
            return http.method().equals(method);
        }

        /** Throws {@link WireException} if there is none. */
        Fields body() {
            if (body == null) {
                throw new WireException("a body is needed");
            }
            return body;
        }

        String text(String parameter) {
            return http.getParam(parameter);
        }

        /** A parameter's number; throws {@link WireException} if it is none. */
        long number(String parameter, long absent) {
            String text = http.getParam(parameter);
            try {
                return text == null ? absent : Long.parseLong(text);
            } catch (NumberFormatException e) {
                throw Fields.invalid(parameter);
            }
        }

        String caller() {
            return caller;
        }

        /** How many revisions a read is to be behind. */
        int behind() {
            return behind;
        }

        void whenClosed(Runnable then) {
            http.connection().closeHandler(v -> then.run());
        }
    }

    /** What serves the requests; throws {@link WireException} if one is malformed. */
    interface Service {
        void serve(Request request, Consumer<ServiceResponse> reply);
    }

    private final Vertx vertx;
    private final SteadyClock clock;
    private final Gate gate;
    private final String from;
    private final String to;
    private final Service service;
    private HttpServer server;
    private boolean closed;

    GatedListener(Vertx vertx, SteadyClock clock, Gate gate, String from, String to, Service service) {
        this.vertx = vertx;
        this.clock = clock;
        this.gate = gate;
        this.from = from;
        this.to = to;
        this.service = service;
        this.server = server();
    }

    private HttpServer server() {
        HttpServer server = vertx.createHttpServer(new HttpServerOptions()
                .setIdleTimeout(IDLE_S)
                .setTcpNoDelay(true)
                .setAcceptBacklog(4096));
        server.requestHandler(this::take);
        server.invalidRequestHandler(r -> r.connection().close());
        return server;
    }

    /** The result is the port. */
    Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort).onSuccess(actual -> {
            Moment now = clock.now();
            for (Gate.Closing c : gate.closings(from, to)) {
                if (c.until().isAfter(now)) {
                    after(c.from().since(now), () -> server.close());
                    after(c.until().since(now), () -> reopen(host, actual));
                }
            }
        });
    }

    private void reopen(String host, int port) {
        if (!closed) {
            server = server();
            server.listen(port, host);
        }
    }

    Future<Void> close() {
        closed = true;
        return server.close();
    }

    private void take(HttpServerRequest http) {
        RequestBody.read(
                http,
                body -> {
                    Verdict verdict =
                            gate.judge(clock.now(), from, to, !http.method().equals(HttpMethod.GET));
                    Fields fields;
                    try {
                        fields = body.length() == 0 ? null : MessagePackFormat.readMap(body);
                    } catch (WireException e) {
                        write(http, malformed(e));
                        return;
                    }
                    pass(http, new Request(http, fields, from, verdict.behind()), verdict);
                },
                () -> {
                    http.response().putHeader("Connection", "close");
                    write(
                            http,
                            new ServiceResponse(
                                    413, new Fields(MessagePackFormat.map("error", "a body may have 64 KiB"))));
                });
    }

    private void pass(HttpServerRequest http, Request request, Verdict verdict) {
        Consumer<ServiceResponse> nobody = reply -> {};
        Consumer<ServiceResponse> back = reply -> writeWhenServed(http, reply);
        switch (verdict.fate()) {
            case PASS -> after(verdict.delay(), () -> serve(request, back));
            case REFUSE ->
                after(
                        verdict.delay(),
                        () -> write(
                                http,
                                new ServiceResponse(
                                        verdict.status(), new Fields(MessagePackFormat.map("error", "trouble")))));
            case LOSE_ANSWER -> serve(request, nobody);
            case LATE -> after(verdict.delay(), () -> serve(request, nobody));
            case REPEAT -> {
                serve(request, back);
                after(verdict.delay(), () -> serve(request, nobody));
            }
            case HOLD -> after(verdict.until().since(clock.now()), () -> serve(request, back));
            case RESET -> http.connection().close();
            case LOSE_REQUEST -> {}
        }
    }

    private void serve(Request request, Consumer<ServiceResponse> reply) {
        try {
            service.serve(request, reply);
        } catch (WireException e) {
            reply.accept(malformed(e));
        }
    }

    private static ServiceResponse malformed(WireException e) {
        return new ServiceResponse(400, new Fields(MessagePackFormat.map("error", e.getMessage())));
    }

    private void after(Span delay, Runnable then) {
        if (delay.ms() <= 0) {
            then.run();
        } else {
            vertx.setTimer(delay.ms(), t -> then.run());
        }
    }

    /** A caller that is not served meanwhile gets no answer to what it has open, a watch above all, before that is over. */
    private void writeWhenServed(HttpServerRequest http, ServiceResponse reply) {
        Moment now = clock.now();
        Moment until = gate.heldUntil(now, from, to);
        if (until.isAfter(now)) {
            after(until.since(now), () -> write(http, reply));
        } else {
            write(http, reply);
        }
    }

    private static void write(HttpServerRequest http, ServiceResponse reply) {
        if (!http.response().ended() && !http.response().closed()) {
            http.response()
                    .setStatusCode(reply.status())
                    .putHeader("Content-Type", "application/msgpack")
                    .end(MessagePackFormat.write(reply.body().map()));
        }
    }
}
