package io.indigoreach.api;

import io.indigoreach.core.query.FairAdmission;
import io.indigoreach.net.Endpoint;
import io.indigoreach.net.Fields;
import io.indigoreach.net.MessagePackFormat;
import io.indigoreach.net.RequestBody;
import io.indigoreach.net.WireException;
import io.indigoreach.worker.HeartbeatEndpoint;
import io.indigoreach.worker.WorkerCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The listener for users, workers and health checks. */
public final class HttpApi {
    private static final Logger LOG = LoggerFactory.getLogger(HttpApi.class);
    private static final String API = "/api/";
    private static final int IDLE_S = 75;
    private final Endpoint endpoint;
    private final JobService jobs;
    private final HeartbeatEndpoint reports;
    private final BooleanSupplier ready;
    /** What the parts beside the jobs serve, by their names. */
    private final Map<String, Resource> resources;

    private final HttpServer server;
    /** Of each kind so many wait for the state service at once; more are told to come back, and go first then. */
    private final FairAdmission questions = new FairAdmission();
    /** Requests of the parts beside the jobs. */
    private final FairAdmission others = new FairAdmission();
    /** Submissions and cancellations: questions, however many, do not keep them out. */
    private final FairAdmission orders = new FairAdmission();

    public HttpApi(
            Vertx vertx,
            Endpoint endpoint,
            JobService jobs,
            HeartbeatEndpoint reports,
            BooleanSupplier ready,
            Map<String, Resource> resources) {
        this.endpoint = endpoint;
        this.jobs = jobs;
        this.reports = reports;
        this.ready = ready;
        this.resources = resources;
        this.server = vertx.createHttpServer(new HttpServerOptions()
                .setIdleTimeout(IDLE_S)
                .setTcpNoDelay(true)
                .setMaxInitialLineLength(2048)
                .setMaxHeaderSize(8192)
                .setAcceptBacklog(512)
                .setHandle100ContinueAutomatically(true));
        server.requestHandler(this::handle);
        server.invalidRequestHandler(r -> r.connection().close());
    }

    /** Opens the listener; the result is its port, chosen by the system if the endpoint's port is 0. */
    public Future<Integer> open() {
        return server.listen(endpoint.port(), endpoint.host()).map(s -> {
            LOG.info("serving on {}", endpoint);
            return s.actualPort();
        });
    }

    public Future<Void> close() {
        return server.close();
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        if (WorkerCodec.REPORT.equals(path)) {
            withBody(request, HttpMethod.POST, reports::report);
        } else if (JobCodec.READY.equals(path)) {
            if (allows(request, HttpMethod.GET)) {
                write(request, ready.getAsBoolean() ? ApiResponse.ok(Map.of()) : ApiResponse.retryLater("starting"));
            }
        } else if (JobCodec.JOBS.equals(path)) {
            withBody(request, HttpMethod.POST, body -> limited(orders, user(request), () -> jobs.submit(body)));
        } else if (path != null && path.startsWith(JobCodec.JOBS + "/")) {
            String rest = path.substring(JobCodec.JOBS.length() + 1);
            if (rest.endsWith(JobCodec.CANCEL)) {
                String id = rest.substring(0, rest.length() - JobCodec.CANCEL.length());
                withBody(request, HttpMethod.POST, body -> limited(orders, id, () -> jobs.cancel(id)));
            } else if (rest.indexOf('/') >= 0) {
                write(request, ApiResponse.error(404, "no such path"));
            } else if (allows(request, HttpMethod.GET)) {
                answer(request, b -> limited(questions, rest, () -> jobs.query(rest)), null);
            }
        } else if (path != null && path.startsWith(API) && resources.containsKey(part(path))) {
            Resource resource = resources.get(part(path));
            if (request.method().equals(HttpMethod.GET)) {
                answer(
                        request,
                        b -> limited(
                                others, user(request), () -> resource.serve(call(request, path, new Fields(Map.of())))),
                        null);
            } else {
                withBody(
                        request,
                        request.method(),
                        body -> limited(
                                others,
                                user(request),
                                () -> resource.serve(call(
                                        request,
                                        path,
                                        body.length() == 0 ? new Fields(Map.of()) : MessagePackFormat.readMap(body)))));
            }
        } else {
            write(request, ApiResponse.error(404, "no such path"));
        }
    }

    private static String part(String path) {
        int end = path.indexOf('/', API.length());
        return path.substring(API.length(), end < 0 ? path.length() : end);
    }

    private static Resource.Call call(HttpServerRequest request, String path, Fields body) {
        String rest = path.substring(API.length() + part(path).length());
        Map<String, String> query = new HashMap<>();
        request.params().forEach(e -> query.putIfAbsent(e.getKey(), e.getValue()));
        return new Resource.Call(
                request.method().name(),
                Arrays.stream(rest.split("/"))
                        .filter(s -> !s.isEmpty())
                        .map(s -> URLDecoder.decode(s, StandardCharsets.UTF_8))
                        .toList(),
                query,
                body);
    }

    /** Whoever comes back after a refusal does so on the same connection, mostly. */
    private static String user(HttpServerRequest request) {
        return request.connection().remoteAddress().toString();
    }

    private static Future<ApiResponse> limited(
            FairAdmission kind, String who, java.util.function.Supplier<Future<ApiResponse>> work) {
        if (!kind.tryEnter(who)) {
            return Future.succeededFuture(ApiResponse.retryLater("too many requests at this node"));
        }
        Future<ApiResponse> result;
        try {
            result = work.get();
        } catch (RuntimeException e) {
            kind.leave();
            throw e;
        }
        return result.onComplete(r -> kind.leave());
    }

    private boolean allows(HttpServerRequest request, HttpMethod method) {
        if (request.method().equals(method)) {
            return true;
        }
        request.response().putHeader("Allow", method.name());
        write(request, ApiResponse.error(405, "method not allowed"));
        return false;
    }

    /** Hands the body to the work; one that is too long is refused. */
    private void withBody(HttpServerRequest request, HttpMethod method, Function<Buffer, Future<ApiResponse>> work) {
        if (!allows(request, method)) {
            return;
        }
        RequestBody.gather(request, body -> answer(request, work, body), () -> refuseLong(request));
    }

    private void refuseLong(HttpServerRequest request) {
        request.response().putHeader("Connection", "close");
        write(request, ApiResponse.error(413, "a body may have 64 KiB"))
                .onComplete(e -> request.connection().close());
    }

    private void answer(HttpServerRequest request, Function<Buffer, Future<ApiResponse>> work, Buffer body) {
        Future<ApiResponse> result;
        try {
            result = work.apply(body);
        } catch (WireException e) {
            write(request, ApiResponse.error(400, e.getMessage()));
            return;
        } catch (RequestRejectedException e) {
            write(request, e.answer());
            return;
        }
        result.onComplete(done -> {
            if (done.cause() instanceof RequestRejectedException r) {
                write(request, r.answer());
            } else if (done.failed()) {
                LOG.debug(
                        "{} {}: {}",
                        request.method(),
                        request.path(),
                        done.cause().toString());
                write(request, ApiResponse.retryLater("the state service does not answer"));
            } else {
                write(request, done.result());
            }
        });
    }

    private Future<Void> write(HttpServerRequest request, ApiResponse answer) {
        HttpServerResponse response = request.response();
        if (response.closed() || response.ended()) {
            return Future.succeededFuture();
        }
        response.setStatusCode(answer.status()).putHeader("Content-Type", "application/msgpack");
        if (answer.retryAfterS() > 0) {
            response.putHeader("Retry-After", Integer.toString(answer.retryAfterS()));
        }
        return response.end(MessagePackFormat.write(answer.body()));
    }
}
