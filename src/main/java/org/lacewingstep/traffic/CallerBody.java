package org.lacewingstep.traffic;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoop;
import org.lacewingstep.blackboard.Refusal;
import org.lacewingstep.domain.RequestIdentifier;
import org.lacewingstep.error.ErrorCode;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.http.TypedData;

/** Reads request bodies within limits of size and time. */
final class CallerBody {
    private CallerBody() {}

    /**
     * Reads a request's body; sends an error response if the body is too large or does not arrive in time.
     *
     * @param context the Ratpack context of the caller's request, not null
     * @param limits the limits of size and time, not null
     * @param request the request's identifier, not null
     * @return the body, if all of it arrives within the limits
     */
    static Promise<TypedData> read(final Context context, final TrafficLimits limits, final RequestIdentifier request) {
        final AtomicBoolean stallReported = new AtomicBoolean();
        final ScheduledFuture<?> timeout = scheduleTimeout(context, limits, request, stallReported);
        return context.getRequest()
                .getBody(limits.bodyBytes(), () -> {
                    timeout.cancel(false);
                    ErrorResponse.send(context, request, tooLarge(limits));
                })
                .onError(failure -> {
                    timeout.cancel(false);
                    reportStallOnce(context, limits, request, stallReported);
                })
                .wiretap(body -> {
                    timeout.cancel(false);
                    context.getRequest().setIdleTimeout(limits.responseLimit());
                });
    }

    /**
     * Schedules the error response to a stalled caller. The execution that waits for the body is suspended and cannot
     * send the response, so another execution on the same event loop sends the response.
     */
    private static ScheduledFuture<?> scheduleTimeout(
            final Context context,
            final TrafficLimits limits,
            final RequestIdentifier request,
            final AtomicBoolean stallReported) {
        final EventLoop loop = context.getExecution().getEventLoop();
        final ExecController controller = context.getExecution().getController();
        return loop.schedule(
                () -> controller
                        .fork()
                        .eventLoop(loop)
                        .start(started -> reportStallOnce(context, limits, request, stallReported)),
                limits.idleLimit().toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private static void reportStallOnce(
            final Context context,
            final TrafficLimits limits,
            final RequestIdentifier request,
            final AtomicBoolean stallReported) {
        if (stallReported.compareAndSet(false, true)) {
            ErrorResponse.send(context, request, stalled(limits));
        }
    }

    private static RequestFailure stalled(final TrafficLimits limits) {
        final String message = "the body did not arrive within " + limits.idleLimit();
        return RequestFailure.notRun(Refusal.of(ErrorCode.CALLER_STALLED, message));
    }

    private static RequestFailure tooLarge(final TrafficLimits limits) {
        final String message = "the body is larger than " + limits.bodyBytes() + " bytes";
        return RequestFailure.notRun(Refusal.of(ErrorCode.BODY_TOO_LARGE, message));
    }
}
