package io.indigoreach.api;

import io.vertx.core.Future;

/** The only place that maps failures to status codes and bodies. */
public final class ErrorResponses {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private ErrorResponses() {}

    /** The response to a request that failed; any failure that is no {@link ApiException} means that it may be repeated. */
    public static ApiResponse of(Throwable failure) {
        return failure instanceof ApiException known
                ? of(known)
                : ApiResponse.retryLater("the state service does not answer");
    }

    /** The same result, with an {@link ApiException} replaced by its response. Other failures are kept. */
    static Future<ApiResponse> recover(Future<ApiResponse> result) {
        return result.recover(failure -> failure instanceof ApiException known
                ? Future.succeededFuture(of(known))
                : Future.failedFuture(failure));
    }

    private static ApiResponse of(ApiException failure) {
        String reason = failure.getMessage();
        if (failure instanceof RequestRejectedException rejected) {
            return new ApiResponse(rejected.status(), rejected.body(), 0);
        }
        if (failure instanceof MalformedRequestException) {
            return ApiResponse.error(BAD_REQUEST, reason);
        }
        if (failure instanceof NotFoundException) {
            return ApiResponse.error(NOT_FOUND, reason);
        }
        return ApiResponse.retryLater(reason);
    }
}
