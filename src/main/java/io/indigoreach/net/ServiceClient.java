package io.indigoreach.net;

import io.indigoreach.core.model.Span;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Map;

/**
 * An HTTP client of one service. If a future fails, the outcome is unknown: the service may have executed the request, or may still
 * execute it.
 */
public final class ServiceClient {
    private static final Span CONNECT_TIMEOUT = Span.seconds(1);

    private static final int KEEP_ALIVE_S = 30;
    /** Maximum number of requests that wait for a connection; further requests fail immediately. */
    private static final int MAX_QUEUED = 200;

    private final HttpClient client;
    private final Endpoint endpoint;

    /** Creates a client with at most {@code maxConnections} open connections. */
    public ServiceClient(Vertx vertx, Endpoint endpoint, int maxConnections) {
        this.endpoint = endpoint;
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.ms())
                .setKeepAliveTimeout(KEEP_ALIVE_S)
                .setTcpNoDelay(true)
                .setDecompressionSupported(false);
        this.client = vertx.createHttpClient(
                options, new PoolOptions().setHttp1MaxSize(maxConnections).setMaxWaitQueueSize(MAX_QUEUED));
    }

    /** Sends a GET request; fails if no data arrives for {@code timeout}. */
    public Future<ServiceResponse> get(String path, Span timeout) {
        return send(HttpMethod.GET, path, null, timeout);
    }

    /** Sends a POST request with a MessagePack body; fails if no data arrives for {@code timeout}. */
    public Future<ServiceResponse> post(String path, Map<String, Object> body, Span timeout) {
        return send(HttpMethod.POST, path, body, timeout);
    }

    /** Sends a DELETE request; fails if no data arrives for {@code timeout}. */
    public Future<ServiceResponse> delete(String path, Span timeout) {
        return send(HttpMethod.DELETE, path, null, timeout);
    }

    private Future<ServiceResponse> send(HttpMethod method, String path, Map<String, Object> body, Span timeout) {
        RequestOptions options = new RequestOptions()
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setMethod(method)
                .setURI(path)
                .setConnectTimeout(CONNECT_TIMEOUT.ms())
                .setIdleTimeout(timeout.ms());
        return openRequest(options).compose(request -> {
            if (body != null) {
                request.putHeader("Content-Type", "application/msgpack");
            }
            Future<HttpClientResponse> sent =
                    body == null ? request.send() : request.send(MessagePackFormat.write(body));
            return sent.compose(ServiceClient::readResponse);
        });
    }

    private static Future<ServiceResponse> readResponse(HttpClientResponse response) {
        int status = response.statusCode();
        return response.body()
                .map(bytes -> bytes.length() == 0 ? new Fields(Map.of()) : decodeBody(status, bytes))
                .map(fields -> new ServiceResponse(status, fields));
    }

    /** Returns a failed future if the client is closed, because tasks may still send requests during shutdown. */
    private Future<HttpClientRequest> openRequest(RequestOptions options) {
        try {
            return client.request(options);
        } catch (IllegalStateException e) {
            return Future.failedFuture(e);
        }
    }

    /** Decodes the body. An unreadable body of an error response counts as empty; one of a success response throws. */
    private static Fields decodeBody(int status, Buffer bytes) {
        try {
            return MessagePackFormat.readMap(bytes);
        } catch (WireException e) {
            if (status == 200) {
                throw e;
            }
            return new Fields(Map.of());
        }
    }

    /** Closes all connections. */
    public Future<Void> close() {
        return client.close();
    }
}
