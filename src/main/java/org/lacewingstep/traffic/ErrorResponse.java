package org.lacewingstep.traffic;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.error.ErrorCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ratpack.handling.Context;

/** Sends error responses, which state whether the request was run. */
final class ErrorResponse {
    /** Name of the header that carries the request's identifier. */
    static final String REQUEST_HEADER = "X-Request-Id";

    private static final Logger LOGGER = LoggerFactory.getLogger(ErrorResponse.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ErrorResponse() {}

    /**
     * Encodes the body of an error response.
     *
     * @param request the request's identifier, not null
     * @param failure the error to report, not null
     * @return the JSON text, never null
     */
    static String body(final RequestIdentifier request, final RequestFailure failure) {
        final ObjectNode body = MAPPER.createObjectNode();
        body.putObject("error")
                .put("code", failure.code().name())
                .put("message", failure.getMessage())
                .put("run", failure.hasPossiblyRun() ? "may have run" : "not run")
                .put("request", request.value());
        return body.toString();
    }

    /**
     * Sends an error response. A cause other than a {@link RequestFailure} is reported as an internal error of a
     * request that may have run.
     *
     * @param context the Ratpack context of the caller's request, not null
     * @param request the request's identifier, not null
     * @param cause the exception that ended the request, not null
     */
    static void send(final Context context, final RequestIdentifier request, final Throwable cause) {
        final RequestFailure failure = toFailure(request, cause);
        LOGGER.atInfo()
                .addKeyValue("request", request)
                .addKeyValue("step", "answer")
                .log("answered with {}: {}", failure.code(), failure.getMessage());
        if (failure.retryAfter().isPositive()) {
            final long seconds = Math.max(1, failure.retryAfter().toSeconds());
            context.getResponse().getHeaders().set("Retry-After", Long.toString(seconds));
        }
        context.getResponse().getHeaders().set(REQUEST_HEADER, request.value());
        context.getResponse().status(status(failure.code()));
        context.getResponse().send("application/json", body(request, failure));
    }

    /**
     * Converts any exception to a failure whose message may be sent to the caller; other messages are only logged.
     *
     * @param request the request's identifier, not null
     * @param cause the exception that ended the request, not null
     * @return the failure for the caller, never null
     */
    static RequestFailure toFailure(final RequestIdentifier request, final Throwable cause) {
        if (cause instanceof RequestFailure requestFailure) {
            return requestFailure;
        }
        LOGGER.atError().addKeyValue("request", request).setCause(cause).log("unexpected failure");
        return RequestFailure.mayHaveRun(ErrorCode.INTERNAL, "the router failed");
    }

    /**
     * Returns the HTTP status of an error.
     *
     * @param code the error's code, not null
     * @return the HTTP status
     */
    static int status(final ErrorCode code) {
        return switch (code) {
            case REQUEST_INVALID, TOKENS_INVALID, ARGUMENT_INVALID -> 400;
            case KEY_UNKNOWN -> 401;
            case ROUTE_FORBIDDEN -> 403;
            case SERVICE_UNKNOWN -> 404;
            case CALLER_STALLED -> 408;
            case DUPLICATE_CALL -> 409;
            case BODY_TOO_LARGE -> 413;
            case RATE_EXCEEDED -> 429;
            case UPSTREAM_FAILED -> 502;
            case NO_CAPACITY, HOME_UNREACHABLE, INSTANCE_DRAINING, NOT_READY, PROMPT_QUARANTINED, STORE_UNREACHABLE ->
                503;
            case DEADLINE_EXCEEDED -> 504;
            default -> 500;
        };
    }
}
