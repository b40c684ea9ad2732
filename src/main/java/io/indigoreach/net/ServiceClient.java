package io.indigoreach.net;

import io.indigoreach.core.model.Span;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Map;

/** Calls one other service. A failed future means no answer: what was asked may have happened, or may still happen. */
public final class ServiceClient {
    private static final Span CONNECT = Span.seconds(1);

    private final HttpClient client;
    private final Endpoint endpoint;

    public ServiceClient(Vertx vertx, Endpoint endpoint, int connections) {
        this.endpoint = endpoint;
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) CONNECT.ms())
                .setKeepAliveTimeout(30)
                .setTcpNoDelay(true)
                .setDecompressionSupported(false);
        this.client = vertx.createHttpClient(
                options, new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(200));
    }

    public Future<ServiceResponse> get(String path, Span timeout) {
        return call(HttpMethod.GET, path, null, timeout);
    }

    public Future<ServiceResponse> post(String path, Map<String, Object> body, Span timeout) {
        return call(HttpMethod.POST, path, body, timeout);
    }

    public Future<ServiceResponse> delete(String path, Span timeout) {
        return call(HttpMethod.DELETE, path, null, timeout);
    }

    private Future<ServiceResponse> call(HttpMethod method, String path, Map<String, Object> body, Span timeout) {
        RequestOptions options = new RequestOptions()
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setMethod(method)
                .setURI(path)
                .setConnectTimeout(CONNECT.ms())
                .setIdleTimeout(timeout.ms());
        return open(options).compose(request -> {
            if (body != null) {
                request.putHeader("Content-Type", "application/msgpack");
            }
            return (body == null ? request.send() : request.send(MessagePackFormat.write(body)))
                    .compose(response -> response.body().map(bytes -> {
                        Fields fields = bytes.length() == 0 ? new Fields(Map.of()) : read(response.statusCode(), bytes);
                        return new ServiceResponse(response.statusCode(), fields);
                    }));
        });
    }

    /** A client that was closed throws; whoever still asks as the process ends gets no answer, as of any other cause. */
    private Future<HttpClientRequest> open(RequestOptions options) {
        try {
            return client.request(options);
        } catch (IllegalStateException e) {
            return Future.failedFuture(e);
        }
    }

    /** The body of an error may be anything; that of a success must be readable, or it counts as no answer. */
    private static Fields read(int status, io.vertx.core.buffer.Buffer bytes) {
        try {
            return MessagePackFormat.readMap(bytes);
        } catch (WireException e) {
            if (status == 200) {
                throw e;
            }
            return new Fields(Map.of());
        }
    }

    public Future<Void> close() {
        return client.close();
    }
}
