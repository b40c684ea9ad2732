package io.indigoreach.api;

import io.vertx.core.Future;

/** Maps failures to status codes and bodies. */
public final class ErrorResponses {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;

    private ErrorResponses() {}

    /**
     * Returns the response to a failed request. Any failure other than an {@link ApiException} is mapped to 503, so the client
     * may retry.
     */
    public static ApiResponse of(Throwable failure) {
        return failure instanceof ApiException known
                ? of(known)
                : ApiResponse.retryLater("the state service does not answer");
    }

    /** Replaces a failure with an {@link ApiException} by its response, and keeps other failures. */
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
