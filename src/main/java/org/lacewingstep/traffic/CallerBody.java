package org.lacewingstep.traffic;

import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.error.ErrorCode;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.TypedData;

/** Reads the bodies of requests within limits. */
final class CallerBody {
    private CallerBody() {}

    /**
     * Reads the body; answers with an error if it is too large or the caller stalls.
     *
     * @param context the caller's context, not null
     * @param limits the limits, not null
     * @param request the request, not null
     * @return the body
     */
    static Promise<TypedData> read(final Context context, final TrafficLimits limits, final RequestIdentifier request) {
        return context.getRequest()
                .getBody(limits.bodyBytes(), () -> ErrorAnswer.send(context, request, tooLarge(limits)))
                .onError(failure -> ErrorAnswer.send(context, request, stalled(limits)))
                .wiretap(body -> context.getRequest().setIdleTimeout(limits.answerLimit()));
    }

    private static RequestFailure stalled(final TrafficLimits limits) {
        final String message = "the body did not arrive; the caller may stall for " + limits.idleLimit();
        return RequestFailure.notRun(Refusal.of(ErrorCode.CALLER_STALLED, message));
    }

    private static RequestFailure tooLarge(final TrafficLimits limits) {
        final String message = "the body is larger than " + limits.bodyBytes() + " bytes";
        return RequestFailure.notRun(Refusal.of(ErrorCode.BODY_TOO_LARGE, message));
    }
}
