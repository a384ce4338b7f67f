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
        final AtomicBoolean ended = new AtomicBoolean();
        final ScheduledFuture<?> alarm = startAlarm(context, limits, request, ended);
        return context.getRequest()
                .getBody(limits.bodyBytes(), () -> {
                    alarm.cancel(false);
                    ErrorAnswer.send(context, request, tooLarge(limits));
                })
                .onError(failure -> {
                    alarm.cancel(false);
                    refuseOnce(context, limits, request, ended);
                })
                .wiretap(body -> {
                    alarm.cancel(false);
                    context.getRequest().setIdleTimeout(limits.answerLimit());
                });
    }

    /** The execution that waits for the body cannot answer, so another one on its event loop does. */
    private static ScheduledFuture<?> startAlarm(
            final Context context,
            final TrafficLimits limits,
            final RequestIdentifier request,
            final AtomicBoolean ended) {
        final EventLoop loop = context.getExecution().getEventLoop();
        final ExecController controller = context.getExecution().getController();
        return loop.schedule(
                () -> controller.fork().eventLoop(loop).start(started -> refuseOnce(context, limits, request, ended)),
                limits.idleLimit().toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private static void refuseOnce(
            final Context context,
            final TrafficLimits limits,
            final RequestIdentifier request,
            final AtomicBoolean ended) {
        if (ended.compareAndSet(false, true)) {
            ErrorAnswer.send(context, request, stalled(limits));
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
