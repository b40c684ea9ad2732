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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The HTTP listener for users, workers and health checks. Requests are handled on the event loop. */
public final class HttpApi {
    private static final Logger LOG = LoggerFactory.getLogger(HttpApi.class);
    private static final String API = "/api/";
    private static final String JOB = JobCodec.JOBS + "/";
    private static final int IDLE_TIMEOUT_S = 75;
    private static final int MAX_REQUEST_LINE_BYTES = 2048;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int ACCEPT_BACKLOG = 512;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CONTENT_TOO_LARGE = 413;

    private final Context context;
    private final HttpServer server;
    private final List<Route> routes;

    /** Queries of jobs that wait for the state service; beyond a limit others are rejected, and go first when they retry. */
    private final FairAdmission queries = new FairAdmission();
    /** Submissions and cancellations: queries, however many, do not keep them out. */
    private final FairAdmission commands = new FairAdmission();
    /** Requests of the optional features. */
    private final FairAdmission resourceRequests = new FairAdmission();

    /**
     * What the listener serves.
     *
     * @param endpoint the address to listen on
     * @param ready whether this node should get users
     * @param resources what the optional features serve, by the names of the resources
     */
    public record Context(
            Vertx vertx,
            Endpoint endpoint,
            JobService jobs,
            HeartbeatEndpoint heartbeats,
            BooleanSupplier ready,
            Map<String, Resource> resources) {}

    /** Creates the listener; {@link #open()} starts it. */
    public HttpApi(Context context) {
        this.context = context;
        this.routes = routes();
        this.server = context.vertx()
                .createHttpServer(new HttpServerOptions()
                        .setIdleTimeout(IDLE_TIMEOUT_S)
                        .setTcpNoDelay(true)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setAcceptBacklog(ACCEPT_BACKLOG)
                        .setHandle100ContinueAutomatically(true));
        server.requestHandler(this::handle);
        server.invalidRequestHandler(request -> request.connection().close());
    }

    /** Opens the listener; the result is its port, chosen by the system if the endpoint's port is 0. */
    public Future<Integer> open() {
        Endpoint endpoint = context.endpoint();
        return server.listen(endpoint.port(), endpoint.host()).map(listening -> {
            LOG.info("HTTP API listening address={}", endpoint);
            return listening.actualPort();
        });
    }

    /** Closes the listener and its connections. */
    public Future<Void> close() {
        return server.close();
    }

    /** The routing table: the first route that serves the path handles the request. */
    private List<Route> routes() {
        return List.of(
                Route.exact(WorkerCodec.HEARTBEAT, (request, none) -> receiveHeartbeat(request)),
                Route.exact(JobCodec.READY, (request, none) -> reportReadiness(request)),
                Route.exact(JobCodec.JOBS, (request, none) -> submit(request)),
                Route.between(JOB, JobCodec.CANCEL, id -> true, this::cancel),
                Route.between(JOB, "", id -> id.indexOf('/') < 0, this::query),
                Route.between(JOB, "", path -> true, (request, path) -> rejectPath(request)),
                Route.between(API, "", path -> resource(path).isPresent(), this::serveResource));
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        if (path == null) {
            rejectPath(request);
            return;
        }
        for (Route route : routes) {
            Optional<String> parameter = route.parameter().apply(path);
            if (parameter.isPresent()) {
                route.handler().handle(request, parameter.get());
                return;
            }
        }
        rejectPath(request);
    }

    private void receiveHeartbeat(HttpServerRequest request) {
        withBody(request, HttpMethod.POST, body -> context.heartbeats().receive(body));
    }

    private void reportReadiness(HttpServerRequest request) {
        if (allows(request, HttpMethod.GET)) {
            write(
                    request,
                    context.ready().getAsBoolean() ? ApiResponse.ok(Map.of()) : ApiResponse.retryLater("starting"));
        }
    }

    private void submit(HttpServerRequest request) {
        withBody(
                request,
                HttpMethod.POST,
                body -> admit(commands, client(request), () -> context.jobs().submit(body)));
    }

    private void cancel(HttpServerRequest request, String id) {
        withBody(
                request,
                HttpMethod.POST,
                body -> admit(commands, id, () -> context.jobs().cancel(id)));
    }

    private void query(HttpServerRequest request, String id) {
        if (allows(request, HttpMethod.GET)) {
            respond(request, () -> admit(queries, id, () -> context.jobs().query(id)));
        }
    }

    private void rejectPath(HttpServerRequest request) {
        write(request, ApiResponse.error(NOT_FOUND, "no such path"));
    }

    /** {@code path}: what follows {@link #API}, the name of the resource first. */
    private void serveResource(HttpServerRequest request, String path) {
        Resource resource = resource(path).orElseThrow();
        if (request.method().equals(HttpMethod.GET)) {
            respond(request, () -> serve(resource, request, path, Buffer.buffer()));
        } else {
            withBody(request, request.method(), body -> serve(resource, request, path, body));
        }
    }

    private Future<ApiResponse> serve(Resource resource, HttpServerRequest request, String path, Buffer body) {
        return admit(resourceRequests, client(request), () -> resource.serve(call(request, path, body)));
    }

    private Optional<Resource> resource(String path) {
        return Optional.ofNullable(context.resources().get(resourceName(path)));
    }

    private static String resourceName(String path) {
        int end = path.indexOf('/');
        return end < 0 ? path : path.substring(0, end);
    }

    private static Resource.Call call(HttpServerRequest request, String path, Buffer body) {
        Fields fields = body.length() == 0 ? new Fields(Map.of()) : MessagePackFormat.readMap(body);
        Map<String, String> query = new HashMap<>();
        request.params().forEach(parameter -> query.putIfAbsent(parameter.getKey(), parameter.getValue()));
        String rest = path.substring(resourceName(path).length());
        List<String> segments = Arrays.stream(rest.split("/"))
                .filter(segment -> !segment.isEmpty())
                .map(segment -> URLDecoder.decode(segment, StandardCharsets.UTF_8))
                .toList();
        return new Resource.Call(request.method().name(), segments, query, fields);
    }

    /** Identifies a client by its connection: a retry after a rejection mostly comes on the same one. */
    private static String client(HttpServerRequest request) {
        return request.connection().remoteAddress().toString();
    }

    private static Future<ApiResponse> admit(
            FairAdmission admission, String client, Supplier<Future<ApiResponse>> work) {
        if (!admission.tryEnter(client)) {
            return Future.succeededFuture(ApiResponse.retryLater("too many requests at this node"));
        }
        Future<ApiResponse> result;
        try {
            result = work.get();
        } catch (RuntimeException e) {
            admission.leave();
            throw e;
        }
        return result.onComplete(done -> admission.leave());
    }

    private boolean allows(HttpServerRequest request, HttpMethod method) {
        if (request.method().equals(method)) {
            return true;
        }
        request.response().putHeader("Allow", method.name());
        write(request, ApiResponse.error(METHOD_NOT_ALLOWED, "method not allowed"));
        return false;
    }

    /** Hands the body to the work if the method is right; a body that is too long is rejected. */
    private void withBody(HttpServerRequest request, HttpMethod method, Function<Buffer, Future<ApiResponse>> work) {
        if (!allows(request, method)) {
            return;
        }
        RequestBody.read(request, body -> respond(request, () -> work.apply(body)), () -> rejectLongBody(request));
    }

    private void rejectLongBody(HttpServerRequest request) {
        request.response().putHeader("Connection", "close");
        write(request, ApiResponse.error(CONTENT_TOO_LARGE, "a body may have 64 KiB"))
                .onComplete(written -> request.connection().close());
    }

    /** Writes the result of the work, or the response that stands for its failure. */
    private void respond(HttpServerRequest request, Supplier<Future<ApiResponse>> work) {
        start(work).onComplete(done -> {
            if (done.succeeded()) {
                write(request, done.result());
                return;
            }
            if (!(done.cause() instanceof ApiException)) {
                LOG.debug(
                        "request failed method={} path={} cause={}",
                        request.method(),
                        request.path(),
                        done.cause().toString());
            }
            write(request, ErrorResponses.of(done.cause()));
        });
    }

    /**
     * Starts the work. A {@link WireException} that is thrown here concerns the request; one in a failed future concerns an
     * answer of the state service.
     */
    private static Future<ApiResponse> start(Supplier<Future<ApiResponse>> work) {
        try {
            return work.get();
        } catch (WireException malformed) {
            return Future.failedFuture(new MalformedRequestException(malformed.getMessage()));
        } catch (ApiException rejected) {
            return Future.failedFuture(rejected);
        }
    }

    private static Future<Void> write(HttpServerRequest request, ApiResponse answer) {
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
