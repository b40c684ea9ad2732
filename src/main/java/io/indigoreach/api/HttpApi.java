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
    private static final String RESOURCE_PATH_PREFIX = "/api/";
    private static final String JOB_PATH_PREFIX = JobCodec.JOBS_PATH + "/";
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

    /** Admits job queries. Queries beyond the limit are rejected, and their clients have precedence when they retry. */
    private final FairAdmission queryAdmission = new FairAdmission();
    /** Admits submissions and cancellations, with a limit of their own so that queries cannot crowd them out. */
    private final FairAdmission commandAdmission = new FairAdmission();
    /** Admits requests to the optional features. */
    private final FairAdmission resourceAdmission = new FairAdmission();

    /**
     * The address and the services of the listener.
     *
     * @param endpoint the address to listen on
     * @param ready returns whether this node is ready to serve users
     * @param resources the resources of the optional features by name
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

    /** Opens the listener. The result is its port, which the system chooses if the endpoint's port is 0. */
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

    /** Returns the routing table. The first route that matches the path handles the request. */
    private List<Route> routes() {
        return List.of(
                Route.exact(WorkerCodec.HEARTBEAT_PATH, (request, none) -> receiveHeartbeat(request)),
                Route.exact(JobCodec.READY_PATH, (request, none) -> reportReadiness(request)),
                Route.exact(JobCodec.JOBS_PATH, (request, none) -> submit(request)),
                Route.withParameter(JOB_PATH_PREFIX, JobCodec.CANCEL_PATH_SUFFIX, id -> true, this::cancel),
                Route.withParameter(JOB_PATH_PREFIX, "", id -> id.indexOf('/') < 0, this::query),
                Route.withParameter(JOB_PATH_PREFIX, "", path -> true, (request, path) -> rejectPath(request)),
                Route.withParameter(
                        RESOURCE_PATH_PREFIX, "", path -> findResource(path).isPresent(), this::serveResource));
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        if (path == null) {
            rejectPath(request);
            return;
        }
        for (Route route : routes) {
            Optional<String> parameter = route.parameterExtractor().apply(path);
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
        if (requireMethod(request, HttpMethod.GET)) {
            write(
                    request,
                    context.ready().getAsBoolean() ? ApiResponse.ok(Map.of()) : ApiResponse.retryLater("starting"));
        }
    }

    private void submit(HttpServerRequest request) {
        withBody(
                request,
                HttpMethod.POST,
                body -> admit(
                        commandAdmission,
                        clientKey(request),
                        () -> context.jobs().submit(body)));
    }

    private void cancel(HttpServerRequest request, String id) {
        withBody(
                request,
                HttpMethod.POST,
                body -> admit(commandAdmission, id, () -> context.jobs().cancel(id)));
    }

    private void query(HttpServerRequest request, String id) {
        if (requireMethod(request, HttpMethod.GET)) {
            respond(
                    request,
                    () -> admit(queryAdmission, id, () -> context.jobs().query(id)));
        }
    }

    private void rejectPath(HttpServerRequest request) {
        write(request, ApiResponse.error(NOT_FOUND, "no such path"));
    }

    /** {@code path}: the path after {@link #RESOURCE_PATH_PREFIX}; its first segment is the name of the resource. */
    private void serveResource(HttpServerRequest request, String path) {
        Resource resource = findResource(path).orElseThrow();
        if (request.method().equals(HttpMethod.GET)) {
            respond(request, () -> serve(resource, request, path, Buffer.buffer()));
        } else {
            withBody(request, request.method(), body -> serve(resource, request, path, body));
        }
    }

    private Future<ApiResponse> serve(Resource resource, HttpServerRequest request, String path, Buffer body) {
        return admit(
                resourceAdmission, clientKey(request), () -> resource.serve(readResourceRequest(request, path, body)));
    }

    private Optional<Resource> findResource(String path) {
        return Optional.ofNullable(context.resources().get(resourceName(path)));
    }

    private static String resourceName(String path) {
        int end = path.indexOf('/');
        return end < 0 ? path : path.substring(0, end);
    }

    private static Resource.Request readResourceRequest(HttpServerRequest request, String path, Buffer body) {
        Fields fields = body.length() == 0 ? new Fields(Map.of()) : MessagePackFormat.readMap(body);
        Map<String, String> query = new HashMap<>();
        request.params().forEach(parameter -> query.putIfAbsent(parameter.getKey(), parameter.getValue()));
        String pathAfterName = path.substring(resourceName(path).length());
        List<String> segments = Arrays.stream(pathAfterName.split("/"))
                .filter(segment -> !segment.isEmpty())
                .map(segment -> URLDecoder.decode(segment, StandardCharsets.UTF_8))
                .toList();
        return new Resource.Request(request.method().name(), segments, query, fields);
    }

    /** Identifies a client by its connection, since most clients retry on the same connection after a rejection. */
    private static String clientKey(HttpServerRequest request) {
        return request.connection().remoteAddress().toString();
    }

    private static Future<ApiResponse> admit(
            FairAdmission admission, String clientKey, Supplier<Future<ApiResponse>> work) {
        if (!admission.tryEnter(clientKey)) {
            return Future.succeededFuture(ApiResponse.retryLater("too many requests at this node"));
        }
        Future<ApiResponse> result;
        try {
            result = work.get();
        } catch (RuntimeException e) {
            admission.release();
            throw e;
        }
        return result.onComplete(done -> admission.release());
    }

    private boolean requireMethod(HttpServerRequest request, HttpMethod method) {
        if (request.method().equals(method)) {
            return true;
        }
        request.response().putHeader("Allow", method.name());
        write(request, ApiResponse.error(METHOD_NOT_ALLOWED, "method not allowed"));
        return false;
    }

    /** Reads the body and passes it to {@code work}. Rejects other methods, and bodies that are too long. */
    private void withBody(HttpServerRequest request, HttpMethod method, Function<Buffer, Future<ApiResponse>> work) {
        if (!requireMethod(request, method)) {
            return;
        }
        RequestBody.read(request, body -> respond(request, () -> work.apply(body)), () -> rejectLongBody(request));
    }

    private void rejectLongBody(HttpServerRequest request) {
        request.response().putHeader("Connection", "close");
        write(request, ApiResponse.error(CONTENT_TOO_LARGE, "a body may have 64 KiB"))
                .onComplete(written -> request.connection().close());
    }

    /** Starts the work and writes its result, or the response to its failure. */
    private void respond(HttpServerRequest request, Supplier<Future<ApiResponse>> work) {
        startWork(work).onComplete(done -> {
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
     * Starts the work. A {@link WireException} that is thrown synchronously means that the request is malformed. One in a failed
     * future concerns a response of the state service.
     */
    private static Future<ApiResponse> startWork(Supplier<Future<ApiResponse>> work) {
        try {
            return work.get();
        } catch (WireException malformed) {
            return Future.failedFuture(new MalformedRequestException(malformed.getMessage()));
        } catch (ApiException rejected) {
            return Future.failedFuture(rejected);
        }
    }

    private static Future<Void> write(HttpServerRequest request, ApiResponse apiResponse) {
        HttpServerResponse response = request.response();
        if (response.closed() || response.ended()) {
            return Future.succeededFuture();
        }
        response.setStatusCode(apiResponse.status()).putHeader("Content-Type", "application/msgpack");
        if (apiResponse.retryAfterS() > 0) {
            response.putHeader("Retry-After", Integer.toString(apiResponse.retryAfterS()));
        }
        return response.end(MessagePackFormat.write(apiResponse.body()));
    }
}
